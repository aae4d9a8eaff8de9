//! The route table of the ingress: which pool a request belongs to, by host, path, method and class. It does no I/O, reads
//! no clock and knows no pools: a look-up gives the number of the route that matched.
//!
//! What a request is matched by is its [`Target`], in the one normal form that [`normalize_target`] describes; the same
//! form goes on to the node, so that nothing can be matched as one path and served as another.
//!
//! The most specific route wins: first by host (a name, then the longest suffix, then any), then by path,
//! segment by segment from the left (a literal, then a parameter, then the end of a prefix), then a stated
//! method before any, then a stated class before any. A route that fits all but one of these does not match, and the next
//! specific one is tried. Two routes of which neither is more specific are an error of the table.
//!
//! ```
//! use violetyoke_routes::{Route, RouteTable};
//!
//! let route = |host: &str, path: &str| Route {
//!     host: host.parse().unwrap(),
//!     path: path.parse().unwrap(),
//!     method: None,
//!     class: None,
//! };
//! let table = RouteTable::build(&[route("*.example.org", "/*"), route("avail.example.org", "/hotels/{hotel}")]).unwrap();
//! assert_eq!(table.find("avail.example.org", "/hotels/7", "GET", None), Some(1));
//! assert_eq!(table.find("avail.example.org", "/rooms", "GET", None), Some(0));
//! assert_eq!(table.find("example.org", "/rooms", "GET", None), None);
//! ```

mod host;
mod path;
mod table;
mod target;

pub use host::{HostError, HostPattern};
pub use path::{PathError, PathPattern};
pub use table::{Conflict, Route, RouteTable};
pub use target::{host_from_authority, normalize_target, Target, TargetError};
