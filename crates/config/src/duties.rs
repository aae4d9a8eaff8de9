//! Which of the fleet's duties a process takes part in.

use crate::section::Section;
use std::net::SocketAddr;

/// Duties of the control plane's fleet, by their names there.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    pub take: Vec<String>,
    /// Who gets the report of use.
    pub sink: SocketAddr,
}

impl Duties {
    pub(crate) fn read(section: Section<'_>) -> Duties {
        for key in ["take", "sink"] {
            if !section.has(key) {
                section.error(key, "is missing");
            }
        }
        let duties = Duties {
            take: section.names("take"),
            sink: section.parsed("sink", "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1))),
        };
        if let Some(name) = duties.take.iter().find(|name| !crate::pool::plain(name)) {
            section.error("take", format!("{name:?} must be 1 to 40 letters, digits, - or _"));
        }
        section.finish();
        duties
    }
}
