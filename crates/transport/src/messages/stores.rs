//! Messages between stores.

use super::{ControlState, Stamp};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A store as others know it. A disk that was lost makes a new one, with another `id`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Member {
    pub id: u64,
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// The configuration of the store's own group under one epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub epoch: u64,
    pub voters: Vec<Member>,
    /// The first is the primary, the others its backups; voters that hold nothing are witnesses.
    pub holders: Vec<u64>,
    /// Lists of voters of the records before this one, until it is known to be installed: a majority of each has to
    /// agree as well.
    pub prior_voters: Vec<Vec<Member>>,
}

impl Record {
    pub fn has_voter(&self, id: u64) -> bool {
        self.voters.iter().any(|voter| voter.id == id)
    }
}

/// What a store sends another, and from whom.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Member,
    pub message: PeerMessage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    Heartbeat(Heartbeat),
    /// May I open this epoch? From then on nothing of a lower one is taken.
    Prepare {
        epoch: u64,
        /// The newest state that the sender has.
        has: Stamp,
    },
    /// Yes; with the newest record that the voter has, and its state where that is newer than the asker's.
    Promise {
        epoch: u64,
        record: Record,
        stamp: Stamp,
        state: Option<ControlState>,
    },
    /// No: a higher one is promised already.
    Refuse {
        epoch: u64,
        promised: u64,
    },
    /// An epoch's record; its holders get the state with it.
    Accept {
        record: Record,
        state: Option<HolderState>,
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
        held: ControlState,
    },
    Written {
        epoch: u64,
        stamp: Stamp,
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
pub enum HolderState {
    /// The one that it has promised with, under a new stamp.
    Promised {
        from: Stamp,
        to: Stamp,
    },
    Whole(ControlState),
}

/// What each store sends all others at an interval.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    pub record: Record,
    /// The sender is primary of its record, and that record is installed.
    pub active: bool,
    /// The newest state known to be on all holders' disks.
    pub committed: Stamp,
    /// The newest state that is on the sender's disk.
    pub persisted: Stamp,
    /// Its disk answers.
    pub disk: bool,
    /// It has got a SIGTERM: it hands over what it has, and ends.
    pub leaving: bool,
    /// First start of the whole system, and no record yet.
    pub fresh: bool,
    /// Other stores that it knows of.
    pub known: Vec<Ipv4Addr>,
}
