//! The control state, and operators' orders on their way between registries and stores.

use super::Envelope;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// The order of all states of control: a higher epoch's holder knows all that a lower one acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    pub epoch: u64,
    pub seq: u64,
}

/// The whole control state: the newest configuration, as its operator sent it, and the zones to be left empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    pub stamp: Stamp,
    pub version: u64,
    pub text: String,
    pub evacuated: BTreeSet<String>,
    /// Which text was accepted under which version. Last, and absent in files written before it existed.
    #[serde(default)]
    pub accepted: AcceptedVersions,
}

/// Whether a configuration with a given version and text was accepted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// This very text was accepted under this version.
    SameText,
    /// Another text was accepted under this version.
    OtherText,
    /// Nothing is known about the version: it was never accepted, or it is older than the history reaches.
    Unknown,
}

/// The digests of accepted configurations by version: the newest [`AcceptedVersions::LIMIT`] of them.
///
/// Texts are compared byte by byte (through a 64-bit digest): an operator repeats an order unchanged, so an order whose
/// bytes differ is another order, even if it means the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedVersions(BTreeMap<u64, u64>);

impl AcceptedVersions {
    /// Versions that are remembered: about 3 kB with each state that is sent.
    pub const LIMIT: usize = 256;

    /// Compares a text with what was accepted under `version`.
    pub fn find(&self, version: u64, text: &str) -> Acceptance {
        match self.0.get(&version) {
            None => Acceptance::Unknown,
            Some(accepted) if *accepted == digest_of(text) => Acceptance::SameText,
            Some(_) => Acceptance::OtherText,
        }
    }

    /// Remembers a text under `version`; the oldest version is forgotten where there are too many. Returns whether
    /// this one is remembered: a version older than a full history is not.
    pub fn insert(&mut self, version: u64, text: &str) -> bool {
        self.0.insert(version, digest_of(text));
        if self.0.len() > Self::LIMIT {
            self.0.pop_first();
        }
        self.0.contains_key(&version)
    }
}

fn digest_of(text: &str) -> u64 {
    // Without keys: all builds and all members have to agree on a digest.
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

impl ControlState {
    /// Whether a configuration has been accepted by now.
    pub fn acceptance(&self, version: u64, text: &str) -> Acceptance {
        // A state written before there was a history has the text alone.
        match self.accepted.find(version, text) {
            Acceptance::Unknown if version == self.version && !self.text.is_empty() => {
                if text == self.text {
                    Acceptance::SameText
                } else {
                    Acceptance::OtherText
                }
            }
            known => known,
        }
    }

    /// Whether a configuration would replace the one in force.
    pub fn is_newer(&self, version: u64) -> bool {
        version > self.version || self.text.is_empty()
    }
}

/// Which registries count for which tenants, under the store's epoch as a fence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    pub fence: Stamp,
    pub registries: Vec<Ipv4Addr>,
}

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Order {
    Replace { version: u64, text: String },
    Evacuate { zone: String, empty: bool },
    Read,
}

/// A registry to a store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Tell me what is newer than this.
    Watch { registry: Ipv4Addr, have: Stamp },
    /// Run an order. `call` is never used twice in one life of a registry, not even for the same order.
    Do { call: u64, order: Order },
    /// An envelope between stores comes on the same port.
    Envelope(Envelope),
}

/// A store to a registry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// `active`: this store is the primary of that epoch and hears all its backups.
    Status {
        epoch: u64,
        active: bool,
        owners: Owners,
        stores: Vec<Ipv4Addr>,
    },
    News(ControlState),
    /// The answer to the [`StoreRequest::Do`] with that number, on the connection on which it came.
    Done {
        call: u64,
        outcome: Outcome,
    },
}

/// What became of an order. All but `Elsewhere` rest on contact with all backups after the order came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It is on the disks of all holders.
    Acknowledged,
    Read(ControlState),
    /// Another text was accepted under the version; this one has no effect.
    VersionTaken,
    /// This store may not say; ask another.
    Elsewhere,
}
