//! The list of backends, as registries have it from the platform.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Identifies the content of a backend list. Encoded as the number alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListDigest(pub u64);

impl ListDigest {
    /// Stands for having no list.
    pub const NONE: ListDigest = ListDigest(0);
}

/// The platform's list of backends, as it was some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendList {
    /// Identifies the content.
    pub digest: ListDigest,
    /// How long ago it was polled for (ms).
    pub age_ms: u64,
    /// All backends, by id.
    pub backends: Vec<Backend>,
}

/// A backend, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The platform's name of the instance.
    pub id: String,
    /// The service that it serves.
    pub service: String,
    /// Where it accepts requests.
    pub address: SocketAddrV4,
    /// The zone of its machine.
    pub zone: String,
    /// How many requests it can process at once.
    pub slots: u32,
    /// It is about to shut down, and accepts no further requests.
    pub draining: bool,
    /// How much longer its slow start lasts, counted from when the list was polled for (ms).
    pub slow_start_left_ms: u64,
}

/// What changed from one list to another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendListChange {
    /// The list to which the change is to be applied.
    pub from: ListDigest,
    /// The list to which it leads.
    pub digest: ListDigest,
    /// How long ago that list was polled for (ms).
    pub age_ms: u64,
    /// Backends that are new or changed.
    pub upserted: Vec<Backend>,
    /// Ids of backends that left the list.
    pub removed: Vec<String>,
}
