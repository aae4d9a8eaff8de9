//! The singleton roles that a process applies for. The control plane assigns each role to one ingress at a time.

use crate::names::is_valid_name;
use crate::section::Section;
use std::net::SocketAddr;

/// The validated configuration of singleton roles.
#[derive(Clone, Debug, PartialEq)]
pub struct SingletonRoles {
    /// The names of the roles.
    pub names: Vec<String>,
    /// The address to which usage reports are sent.
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
