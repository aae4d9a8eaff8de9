//! Messages between stores.

use super::{ControlState, Epoch, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::Ipv4Addr;

/// Identifies a store: its disk, not its machine. A random number that is drawn when the disk is empty; 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl fmt::Display for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A store as others know it. A disk that was lost makes a new one, with another `id`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreNode {
    /// The id of its disk.
    pub id: StoreId,
    /// The address of its machine.
    pub ip: Ipv4Addr,
    /// The failure domain of its machine.
    pub zone: String,
}

/// The replica set of the stores in one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaConfig {
    /// The epoch that it opens.
    pub epoch: Epoch,
    /// The stores that vote.
    pub voters: Vec<StoreNode>,
    /// The ids of the voters that have the control state: the first is the leader. The others are witnesses.
    pub data_replicas: Vec<StoreId>,
    /// The voters of earlier replica sets, until this one is known to be installed: a majority of each has to agree as
    /// well (joint consensus).
    pub previous_voters: Vec<Vec<StoreNode>>,
}

impl ReplicaConfig {
    /// Whether the store with that id votes.
    pub fn has_voter(&self, id: StoreId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }
}

/// What a store sends another, and from whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: StoreNode,
    /// What it sends.
    pub message: PeerMessage,
}

/// A message from one store to another. An election has the two phases of Paxos: prepare and promise, accept and accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// How the sender stands.
    Heartbeat(Heartbeat),
    /// A candidate asks to open an epoch. A voter that promises it accepts nothing of a lower one from then on.
    Prepare {
        /// The epoch to be opened.
        epoch: Epoch,
        /// The newest state that the sender has.
        newest: Revision,
    },
    /// A voter promises the epoch.
    Promise {
        /// The promised epoch.
        epoch: Epoch,
        /// The newest replica set that the voter has.
        config: ReplicaConfig,
        /// The newest state that the voter has.
        revision: Revision,
        /// That state, if it is newer than the candidate's.
        state: Option<ControlState>,
    },
    /// A voter refuses the epoch, because it has promised a higher one.
    Refuse {
        /// The refused epoch.
        epoch: Epoch,
        /// The promised one.
        promised: Epoch,
    },
    /// A candidate that has the promises of a majority proposes the replica set of its epoch.
    Accept {
        /// The replica set, with its epoch.
        config: ReplicaConfig,
        /// The state with which the epoch begins, for a data replica.
        state: Option<InitialState>,
    },
    /// The receiver has the replica set, and the state if it was sent one, on its disk.
    Accepted {
        /// The epoch of the replica set.
        epoch: Epoch,
    },
    /// The newest committed state, for a learner (a store without a vote). Its heartbeats say when it is persisted.
    Snapshot {
        /// The leader's epoch.
        epoch: Epoch,
        /// The state.
        state: ControlState,
    },
    /// The leader of an installed epoch replicates a state to a data replica.
    Write {
        /// The leader's epoch.
        epoch: Epoch,
        /// The state.
        state: ControlState,
    },
    /// A data replica has a state on its disk.
    Written {
        /// The epoch under which it was written.
        epoch: Epoch,
        /// The state's revision.
        revision: Revision,
    },
    /// The leader asks a data replica whether it has promised no higher epoch.
    Confirm {
        /// The leader's epoch.
        epoch: Epoch,
        /// Repeated in the answer.
        nonce: u64,
    },
    /// A data replica has promised no higher epoch.
    Confirmed {
        /// The leader's epoch.
        epoch: Epoch,
        /// That of the question.
        nonce: u64,
    },
}

/// The state with which a data replica begins an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InitialState {
    /// The one that it has promised with, under a new revision.
    Promised {
        /// The revision in its promise.
        from: Revision,
        /// The new one.
        to: Revision,
    },
    /// The full state. (Encoded as before 0.3.)
    #[serde(rename = "Whole")]
    Full(ControlState),
}

/// What each store sends all others at an interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The newest replica set that the sender has.
    pub config: ReplicaConfig,
    /// The sender is the leader of its replica set, which is installed; also while it prepares the epoch after it, until
    /// its proposal.
    pub is_leader: bool,
    /// The newest state known to be on the disks of all data replicas.
    pub committed: Revision,
    /// The newest state that is on the sender's disk.
    pub persisted: Revision,
    /// Its disk completes writes in time.
    pub disk_healthy: bool,
    /// It was told to shut down (SIGTERM): it hands over what it has, and ends.
    pub is_leaving: bool,
    /// First start of the whole system, and no replica set yet.
    pub is_bootstrapping: bool,
    /// Other stores that it knows of.
    pub known_stores: Vec<Ipv4Addr>,
}
