//! Messages between stores.

use super::{ControlState, Revision};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A store as others know it. A disk that was lost makes a new one, with another `id`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StoreNode {
    pub id: u64,
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// The configuration of the store's own group under one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReplicaConfig {
    pub epoch: u64,
    pub voters: Vec<StoreNode>,
    /// The first is the primary, the others its backups; voters that hold nothing are witnesses.
    pub data_replicas: Vec<u64>,
    /// Lists of voters of the configurations before this one, until it is known to be installed: a majority of each has to
    /// agree as well.
    pub previous_voters: Vec<Vec<StoreNode>>,
}

impl ReplicaConfig {
    pub fn has_voter(&self, id: u64) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }
}

/// What a store sends another, and from whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    pub from: StoreNode,
    pub message: PeerMessage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    Heartbeat(Heartbeat),
    /// May I open this epoch? From then on nothing of a lower one is taken.
    Prepare {
        epoch: u64,
        /// The newest state that the sender has.
        newest: Revision,
    },
    /// Yes; with the newest replica set that the voter has, and its state where that is newer than the asker's.
    Promise {
        epoch: u64,
        config: ReplicaConfig,
        revision: Revision,
        state: Option<ControlState>,
    },
    /// No: a higher one is promised already.
    Refuse {
        epoch: u64,
        promised: u64,
    },
    /// An epoch's replica set; its data_replicas get the state with it.
    Accept {
        config: ReplicaConfig,
        state: Option<InitialState>,
    },
    Accepted {
        epoch: u64,
    },
    /// The newest committed state, for a learner (a store without a vote). Its heartbeats say when it is persisted.
    Snapshot {
        epoch: u64,
        state: ControlState,
    },
    /// A state under an installed epoch, for a backup.
    Write {
        epoch: u64,
        state: ControlState,
    },
    Written {
        epoch: u64,
        revision: Revision,
    },
    /// Has no higher epoch been promised?
    Confirm {
        epoch: u64,
        nonce: u64,
    },
    Confirmed {
        epoch: u64,
        nonce: u64,
    },
}

/// The state with which a holder begins an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum InitialState {
    /// The one that it has promised with, under a new revision.
    Promised { from: Revision, to: Revision },
    /// The full state. (Encoded as before 0.3.)
    #[serde(rename = "Whole")]
    Full(ControlState),
}

/// What each store sends all others at an interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    pub config: ReplicaConfig,
    /// The sender is primary of its replica set, and that replica set is installed.
    pub is_leader: bool,
    /// The newest state known to be on all data_replicas' disks.
    pub committed: Revision,
    /// The newest state that is on the sender's disk.
    pub persisted: Revision,
    /// Its disk answers.
    pub disk_healthy: bool,
    /// It has got a SIGTERM: it hands over what it has, and ends.
    pub is_leaving: bool,
    /// First start of the whole system, and no replica set yet.
    pub is_bootstrapping: bool,
    /// Other stores that it knows of.
    pub known_stores: Vec<Ipv4Addr>,
}
