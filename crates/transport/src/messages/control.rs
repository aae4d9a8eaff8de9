//! The control state, and operators' orders on their way between registries and stores.

use super::Envelope;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// The version of the replicated control state, in its total order: the leader of a higher epoch knows all that a lower
/// epoch acknowledged, and counts its writes by `sequence`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    pub epoch: u64,
    pub sequence: u64,
}

/// The whole control state: the newest configuration, as its operator sent it, and the zones to be left empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    pub revision: Revision,
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

/// The registries that own the tenants' quota counters. The token fences off increments of an earlier assignment: it
/// begins with the epoch of the store that published it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwners {
    pub fencing_token: Revision,
    pub registries: Vec<Ipv4Addr>,
}

/// An operator's command to the replicated control state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    Replace { version: u64, text: String },
    Evacuate { zone: String, empty: bool },
    Read,
}

/// From a registry to a store.
///
/// Variants keep the names under which builds up to 0.2 encode them: an upgrade mixes both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Subscribes to states that are newer than `known`.
    Watch { registry: Ipv4Addr, known: Revision },
    /// Executes a command. A registry uses each `request_id` once in one incarnation, also for a command that it repeats.
    #[serde(rename = "Do")]
    Execute { request_id: u64, command: Command },
    /// A message between stores, which share the port.
    Envelope(Envelope),
}

/// From a store to a registry.
///
/// Variants keep the names under which builds up to 0.2 encode them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// `is_leader`: this store is the leader of that epoch and in contact with all its backups.
    Status { epoch: u64, is_leader: bool, shard_owners: ShardOwners, stores: Vec<Ipv4Addr> },
    /// A newer control state.
    #[serde(rename = "News")]
    State(ControlState),
    /// The answer to the [`StoreRequest::Execute`] with that number, on the connection on which it came.
    #[serde(rename = "Done")]
    Completed { request_id: u64, outcome: Outcome },
}

/// The result of a command. All but `NotLeader` are given after contact with all backups that followed its arrival.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The command's effect is on the disks of all data replicas.
    Acknowledged,
    /// The state in force.
    Read(ControlState),
    /// Another text was accepted under the version; this one has no effect.
    VersionTaken,
    /// This store is not the leader; another has to be asked. (Encoded as before 0.3.)
    #[serde(rename = "Elsewhere")]
    NotLeader,
}
