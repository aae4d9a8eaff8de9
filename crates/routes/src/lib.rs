//! The route table of the ingress: finds the route of a request by host, path, method and class. The crate does no I/O and
//! reads no clock. It does not know the pools of nodes either: a lookup returns the index of the matching route.
//!
//! Requests are matched by their [`Target`] in the normal form that [`normalize_target`] returns. The ingress forwards the
//! same normal form to the node, so a request cannot be matched as one path and served as another.
//!
//! The most specific matching route wins. Routes are compared by these criteria, in this order:
//!
//! 1. host: an exact name, then the longest matching suffix, then any host;
//! 2. path, segment by segment from the left: a literal, then a parameter, then the end of a prefix;
//! 3. method: a required method before any method;
//! 4. class: a required class before any class.
//!
//! A route matches only if all four match. Two routes that match the same requests and of which neither is more specific
//! are a [`Conflict`], and the table cannot be built.
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
