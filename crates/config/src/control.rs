//! The control plane that an ingress gets its tenants from.

use crate::names::check_name;
use crate::section::Section;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where tenants come from, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// Address of the control plane.
    pub address: SocketAddr,
    /// The file that has this ingress's key.
    pub key_file: PathBuf,
    /// The name of this ingress at the control plane.
    pub name: String,
    /// The file in which the last snapshot in force is stored, so that the ingress can start without the control plane;
    /// `None`: it is not stored.
    pub snapshot_file: Option<PathBuf>,
    /// Requests in flight of all tenants together.
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
