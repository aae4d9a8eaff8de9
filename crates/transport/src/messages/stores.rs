//! Messages between stores.

use super::{ControlState, Epoch, Revision};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::Ipv4Addr;

/// Identifies a store by its disk, not by its machine. A random number that is generated when the disk is empty; 0 is no
/// store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreId(pub u64);

impl fmt::Display for StoreId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// What other stores know of a store. If its disk is lost, the store gets a new `id`.
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
    /// The epoch of the replica set.
    pub epoch: Epoch,
    /// The stores that vote.
    pub voters: Vec<StoreNode>,
    /// The ids of the voters that have the control state; the first one is the leader. The other voters are witnesses.
    pub data_replicas: Vec<StoreId>,
    /// The voters of earlier replica sets, until this one is known to be installed. A majority of each must agree too (joint
    /// consensus).
    pub previous_voters: Vec<Vec<StoreNode>>,
}

impl ReplicaConfig {
    /// Whether the store with this id votes.
    pub fn has_voter(&self, id: StoreId) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }
}

/// A message from one store to another, with its sender.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: StoreNode,
    /// The message.
    pub message: PeerMessage,
}

/// A message from one store to another. An election has the two phases of Paxos: prepare and promise, accept and accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// The status of the sender.
    Heartbeat(Heartbeat),
    /// A candidate requests promises for an epoch. A voter that promises it accepts no messages of lower epochs from then on.
    Prepare {
        /// The new epoch.
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
    /// A voter rejects the epoch, because it has promised a higher one.
    Refuse {
        /// The rejected epoch.
        epoch: Epoch,
        /// The promised epoch.
        promised: Epoch,
    },
    /// A candidate that has the promises of a majority proposes the replica set of its epoch.
    Accept {
        /// The replica set, with its epoch.
        config: ReplicaConfig,
        /// The initial state of the epoch, for a data replica.
        state: Option<InitialState>,
    },
    /// The receiver has written the replica set, and the state if there was one, to its disk.
    Accepted {
        /// The epoch of the replica set.
        epoch: Epoch,
    },
    /// The newest committed state, for a learner (a store without a vote). The learner's heartbeats report when it is persisted.
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
    /// A data replica has written a state to its disk.
    Written {
        /// The epoch in which it was written.
        epoch: Epoch,
        /// The state's revision.
        revision: Revision,
    },
    /// The leader queries whether a data replica has promised a higher epoch.
    Confirm {
        /// The leader's epoch.
        epoch: Epoch,
        /// Repeated in the reply.
        nonce: u64,
    },
    /// A data replica confirms that it has not promised a higher epoch.
    Confirmed {
        /// The leader's epoch.
        epoch: Epoch,
        /// The nonce of the query.
        nonce: u64,
    },
}

/// The state of a data replica at the start of an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InitialState {
    /// The state that the replica had when it promised the epoch, under a new revision.
    Promised {
        /// The revision in its promise.
        from: Revision,
        /// The new revision.
        to: Revision,
    },
    /// The full state. (Encoded as before 0.3.)
    #[serde(rename = "Whole")]
    Full(ControlState),
}

/// The status that each store sends to all others at an interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The newest replica set that the sender has.
    pub config: ReplicaConfig,
    /// Whether the sender is the leader of its replica set, which is installed. This stays true while it prepares the next
    /// epoch, until it proposes that epoch's replica set.
    pub is_leader: bool,
    /// The newest state known to be on the disks of all data replicas.
    pub committed: Revision,
    /// The newest state on the sender's disk.
    pub persisted: Revision,
    /// Whether the sender's disk completes writes in time.
    pub disk_healthy: bool,
    /// Whether the sender is shutting down (SIGTERM): it transfers its roles and its state, then ends.
    pub is_leaving: bool,
    /// Whether this is the first start of the system, so that there is no replica set yet.
    pub is_bootstrapping: bool,
    /// The other stores that the sender knows.
    pub known_stores: Vec<Ipv4Addr>,
}
