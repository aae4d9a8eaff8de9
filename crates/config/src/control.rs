//! The control plane that an ingress gets its tenants from.

use crate::section::Section;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where tenants come from, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    pub address: SocketAddr,
    /// Holds an ingress's key.
    pub key_file: PathBuf,
    /// What the control plane knows this ingress by.
    pub name: String,
    /// Where the last snapshot in force is kept, to start from without the control plane; none: it is not kept.
    pub last_good: Option<PathBuf>,
    /// Requests of all tenants that may be open at once.
    pub open_requests: u64,
}

impl Control {
    pub(crate) fn read(section: Section<'_>) -> Control {
        if !section.has("address") {
            section.error("address", "is missing");
        }
        let control = Control {
            address: section.parsed("address", "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1))),
            key_file: section.needed("key_file").into(),
            name: section.needed("name"),
            last_good: section.text("last_good").map(PathBuf::from),
            open_requests: section.whole("open_requests", 4_096, 1..=1_000_000),
        };
        if section.has("name") && !crate::pool::plain(&control.name) {
            section.error("name", "must be 1 to 40 letters, digits, - or _");
        }
        section.finish();
        control
    }
}
