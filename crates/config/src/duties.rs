//! Which singleton roles of the ingresses a process applies for.

use crate::names::is_valid_name;
use crate::section::Section;
use std::net::SocketAddr;

/// Singleton roles that a process applies for at the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Duties {
    /// Names of the roles.
    pub take: Vec<String>,
    /// Address that gets the report of usage.
    pub sink: SocketAddr,
}

impl Duties {
    pub(crate) fn read(section: &Section<'_>) -> Duties {
        if !section.has("take") {
            section.error("take", "is missing");
        }
        let duties = Duties { take: section.text_list("take"), sink: section.required_address("sink") };
        if let Some(name) = duties.take.iter().find(|name| !is_valid_name(name)) {
            section.error("take", format!("{name:?} must be 1 to 40 letters, digits, - or _"));
        }
        duties
    }
}
