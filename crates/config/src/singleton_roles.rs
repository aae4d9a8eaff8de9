//! Which singleton roles of the ingresses a process applies for.

use crate::names::is_valid_name;
use crate::section::Section;
use std::net::SocketAddr;

/// Singleton roles that a process applies for at the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct SingletonRoles {
    /// Names of the roles.
    pub names: Vec<String>,
    /// Address that gets the report of usage.
    pub report_address: SocketAddr,
}

impl SingletonRoles {
    pub(crate) fn read(section: &Section<'_>) -> SingletonRoles {
        if !section.has("take") {
            section.error("take", "is missing");
        }
        let roles = SingletonRoles {
            names: section.text_list("take"),
            report_address: section.required_address("sink"),
        };
        if let Some(name) = roles.names.iter().find(|name| !is_valid_name(name)) {
            section.error("take", format!("{name:?} must be 1 to 40 letters, digits, - or _"));
        }
        roles
    }
}
