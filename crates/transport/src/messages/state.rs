//! The replicated control state, and operators' commands to it.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// Numbers the replica sets of the stores, and thereby the times in which one store leads. 0 is before the first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one.
    #[must_use]
    pub fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl slog::Value for Epoch {
    fn serialize(
        &self,
        _: &slog::Record<'_>,
        key: slog::Key,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        serializer.emit_u64(key, self.0)
    }
}

/// The version of the replicated control state, in its total order: the leader of a higher epoch knows all that a lower
/// epoch acknowledged, and counts its writes by `sequence`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The epoch of the leader that wrote the state.
    pub epoch: Epoch,
    /// The number of the write within the epoch.
    pub sequence: u64,
}

/// The replicated control state: the newest configuration, as its operator sent it, and the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// Identifies this state, and orders it among all others.
    pub revision: Revision,
    /// The version of the configuration, as its operator numbers it; 0 before the first.
    pub version: u64,
    /// The configuration, byte by byte; empty before the first.
    pub text: String,
    /// The zones to which no requests are to be sent.
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
/// Texts are compared byte by byte (through a 64-bit digest): an operator repeats a command unchanged, so a command whose
/// bytes differ is another command, even if it means the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedVersions(BTreeMap<u64, u64>);

impl AcceptedVersions {
    /// The most versions that are remembered: about 3 kB with each state that is sent.
    pub const LIMIT: usize = 256;

    /// Compares a text with what was accepted under `version`.
    pub fn find(&self, version: u64, text: &str) -> Acceptance {
        match self.0.get(&version) {
            None => Acceptance::Unknown,
            Some(accepted) if *accepted == digest_of(text) => Acceptance::SameText,
            Some(_) => Acceptance::OtherText,
        }
    }

    /// Remembers a text under `version`; the oldest version is forgotten if there are too many. Returns whether this
    /// one is remembered: a version older than a full history is not.
    pub fn insert(&mut self, version: u64, text: &str) -> bool {
        self.0.insert(version, digest_of(text));
        if self.0.len() > Self::LIMIT {
            self.0.pop_first();
        }
        self.0.contains_key(&version)
    }
}

fn digest_of(text: &str) -> u64 {
    // Without keys: all builds and all machines have to agree on a digest.
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
    /// Orders assignments: a newer one has a greater token.
    pub fencing_token: Revision,
    /// Among which the tenants are divided; each proxy and registry computes the same division.
    pub registries: Vec<Ipv4Addr>,
}

/// An operator's command to the replicated control state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration, if the version is newer than the one in force.
    Replace {
        /// The version of the configuration.
        version: u64,
        /// The configuration, as its operator sent it.
        text: String,
    },
    /// Begins or ends the evacuation of a zone.
    Evacuate {
        /// The name of the zone.
        zone: String,
        /// Whether the zone is to be left empty.
        empty: bool,
    },
    /// Reads the state in force.
    Read,
}

/// The result of a command. All but `NotLeader` are given after contact with all data replicas that followed the arrival
/// of the command.
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
