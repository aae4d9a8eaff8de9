//! The route table of an ingress: which pool a request belongs to, by host, path, method and class. It has no
//! input or output and no clock, and holds no pools: a look-up gives the number of the rule that matched.
//!
//! What a request is matched by is its [`Target`], in the one normal form that [`target`] describes; the same
//! form goes on to the node, so that nothing can be matched as one path and served as another.
//!
//! The most specific rule wins: first by host (a name, then the longest suffix, then any), then by path,
//! segment by segment from the left (a literal, then a parameter, then a prefix's open end), then a stated
//! method before any, then a stated class before any. A rule that fits all but one of these does not fit, and
//! the next specific one is looked at. Two rules that would tie are an error of the table.
//!
//! ```
//! use violetyoke_routes::{Host, Path, Rule, Table};
//!
//! let rule = |host: &str, path: &str| Rule {
//!     host: Host::parse(host).unwrap(),
//!     path: Path::parse(path).unwrap(),
//!     method: None,
//!     class: None,
//! };
//! let table = Table::build(&[rule("*.example.org", "/*"), rule("avail.example.org", "/hotels/{hotel}")]).unwrap();
//! assert_eq!(table.find("avail.example.org", "/hotels/7", "GET", None), Some(1));
//! assert_eq!(table.find("avail.example.org", "/rooms", "GET", None), Some(0));
//! assert_eq!(table.find("example.org", "/rooms", "GET", None), None);
//! ```

#![allow(
    clippy::semicolon_if_nothing_returned,
    missing_docs,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

mod host;
mod path;
mod table;
mod target;

pub use host::Host;
pub use path::Path;
pub use table::{Rule, Table, Tie};
pub use target::{authority, target, Bad, Target};
