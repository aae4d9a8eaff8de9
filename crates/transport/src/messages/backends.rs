//! The list of backends, which registries request from the platform.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use violetyoke_api::quantity::deserialize_millis;

/// Identifies the content of a backend list. Encoded as a plain number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ListDigest(pub u64);

impl ListDigest {
    /// The digest of a receiver without a list.
    pub const NONE: ListDigest = ListDigest(0);
}

/// The platform's list of backends at some time in the past.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendList {
    /// Identifies the content.
    pub digest: ListDigest,
    /// The time since the list was requested from the platform (ms).
    #[serde(deserialize_with = "deserialize_millis")]
    pub age_ms: u64,
    /// All backends, ordered by id.
    pub backends: Vec<Backend>,
}

/// A backend in the platform's list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Backend {
    /// The platform's id of the instance.
    pub id: String,
    /// The name of its service.
    pub service: String,
    /// The address on which it accepts requests.
    pub address: SocketAddrV4,
    /// The zone of its machine.
    pub zone: String,
    /// The number of requests that it can process at once.
    pub slots: u32,
    /// Whether it is about to shut down and accepts no further requests.
    pub draining: bool,
    /// The remaining time of its slow start when the list was requested (ms).
    #[serde(deserialize_with = "deserialize_millis")]
    pub slow_start_left_ms: u64,
}

/// The difference between two backend lists.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BackendListChange {
    /// The digest of the list to which the change applies.
    pub from: ListDigest,
    /// The digest of the resulting list.
    pub digest: ListDigest,
    /// The time since the resulting list was requested from the platform (ms).
    #[serde(deserialize_with = "deserialize_millis")]
    pub age_ms: u64,
    /// New and changed backends.
    pub upserted: Vec<Backend>,
    /// The ids of removed backends.
    pub removed: Vec<String>,
}
