//! The control plane from which an ingress receives its tenants.

use crate::names::check_name;
use crate::section::Section;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The validated configuration of the connection to the control plane.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// The address of the control plane.
    pub address: SocketAddr,
    /// The file with the API key of this ingress.
    pub key_file: PathBuf,
    /// The name of this ingress at the control plane.
    pub name: String,
    /// The file that stores the last snapshot that was in force, so that the ingress can start while the control plane is
    /// unavailable. With `None`, no snapshot is stored.
    pub snapshot_file: Option<PathBuf>,
    /// The maximum number of open requests of all tenants together.
    pub open_requests: u64,
}

impl Control {
    pub(crate) fn read(section: &Section<'_>) -> Control {
        let control = Control {
            address: section.required_address("address"),
            key_file: section.required_text("key_file").into(),
            name: section.required_text("name"),
            snapshot_file: section.text("last_good").map(PathBuf::from),
            open_requests: section.integer("open_requests", 4_096, 1..=1_000_000),
        };
        check_name(section, "name", &control.name);
        control
    }
}
