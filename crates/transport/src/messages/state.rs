//! The replicated control state, and operators' commands to it.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::hash::Hasher;
use std::net::Ipv4Addr;

/// The number of a replica set of the stores, and so of the period in which one store leads. 0 is the time before the first
/// replica set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch after this one. There is none after the largest, which no store reaches by counting.
    #[must_use]
    pub fn next(self) -> Epoch {
        Epoch(self.0.saturating_add(1))
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

/// The version of the replicated control state. Revisions are totally ordered: the leader of a higher epoch has all writes
/// that were acknowledged in lower epochs, and numbers its own writes with `sequence`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The epoch of the leader that wrote the state.
    pub epoch: Epoch,
    /// The number of the write within the epoch.
    pub sequence: u64,
}

/// The replicated control state: the newest configuration, as the operator sent it, and the evacuated zones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ControlState {
    /// Identifies and orders the states.
    pub revision: Revision,
    /// The version of the configuration, which the operator assigns; 0 before the first configuration.
    pub version: u64,
    /// The text of the configuration, exactly as the operator sent it; empty before the first configuration.
    pub text: String,
    /// The evacuated zones, to which no requests must be sent.
    pub evacuated: BTreeSet<String>,
    /// The texts that were accepted, by version. Must be the last field, as it is absent in files of older builds.
    #[serde(default)]
    pub accepted: AcceptedVersions,
}

/// Whether a configuration with a given version and text was accepted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The same text was accepted under this version.
    SameText,
    /// Another text was accepted under this version.
    OtherText,
    /// The version was never accepted, or is older than the history.
    Unknown,
}

/// The history of accepted configurations: the digests of the newest [`AcceptedVersions::LIMIT`] of them, by version.
///
/// Texts are compared by their bytes (with a 64-bit digest). A command that an operator repeats has the same bytes, so a
/// command with other bytes is a different one, even if its meaning is the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedVersions(BTreeMap<u64, u64>);

impl AcceptedVersions {
    /// The maximum number of versions in the history, which adds about 3 kB to each state that is sent.
    pub const LIMIT: usize = 256;

    /// Compares a text with the one that was accepted under `version`.
    pub fn find(&self, version: u64, text: &str) -> Acceptance {
        match self.0.get(&version) {
            None => Acceptance::Unknown,
            Some(accepted) if *accepted == digest_of(text) => Acceptance::SameText,
            Some(_) => Acceptance::OtherText,
        }
    }

    /// Adds a text under `version`, and removes the oldest version if there are too many. Returns whether the new version is
    /// in the history, which it is not if the history is full of newer versions.
    pub fn insert(&mut self, version: u64, text: &str) -> bool {
        self.0.insert(version, digest_of(text));
        if self.0.len() > Self::LIMIT {
            self.0.pop_first();
        }
        self.0.contains_key(&version)
    }
}

fn digest_of(text: &str) -> u64 {
    // Without keys, so that the digest is the same in all builds and on all machines.
    let mut hasher = SipHasher13::new();
    hasher.write(text.as_bytes());
    hasher.finish()
}

impl ControlState {
    /// Whether a configuration has been accepted before.
    pub fn acceptance(&self, version: u64, text: &str) -> Acceptance {
        // A state that was written by a build without the history has only the text.
        match self.accepted.find(version, text) {
            Acceptance::Unknown if version == self.version && !self.text.is_empty() => {
                if text == self.text {
                    Acceptance::SameText
                } else {
                    Acceptance::OtherText
                }
            }
            acceptance => acceptance,
        }
    }

    /// Whether a configuration would replace the one in force.
    pub fn is_newer(&self, version: u64) -> bool {
        version > self.version || self.text.is_empty()
    }
}

/// The registries that own the tenants' quota counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardOwners {
    /// Orders assignments: a newer one has a greater token. Owners reject increments with the token of an earlier assignment.
    /// The token starts with the epoch of the store that published the assignment.
    pub fencing_token: Revision,
    /// The registries to which the tenants are assigned. Each proxy and registry computes the same assignment.
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
    /// Starts or ends the evacuation of a zone.
    Evacuate {
        /// The name of the zone.
        zone: String,
        /// Whether the zone is evacuated.
        empty: bool,
    },
    /// Reads the state in force.
    Read,
}

/// The result of a command. All results except `NotLeader` are returned only after the leader has contacted all data replicas
/// since the command arrived.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The effect of the command is on the disks of all data replicas.
    Acknowledged,
    /// The state in force.
    Read(ControlState),
    /// Another text was accepted under the version, so the command has no effect.
    VersionTaken,
    /// This store is not the leader. The command must be sent to another store. (Encoded as before 0.3.)
    #[serde(rename = "Elsewhere")]
    NotLeader,
}
