//! Words between stores.

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

/// Who may do what while an epoch stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    pub epoch: u64,
    pub voters: Vec<Member>,
    /// The first is the primary, the others its backups; voters that hold nothing are witnesses.
    pub holders: Vec<u64>,
    /// Voters of records before this one, as long as it is not known to stand.
    pub bases: Vec<Vec<Member>>,
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
    },
    /// Yes; with the newest record and state that the voter has.
    Promise {
        epoch: u64,
        record: Record,
        held: ControlState,
    },
    /// No: a higher one is promised already.
    Refuse {
        epoch: u64,
        promised: u64,
    },
    /// An epoch's record; its holders get the state with it.
    Accept {
        record: Record,
        held: Option<ControlState>,
    },
    Accepted {
        epoch: u64,
    },
    /// That record stands.
    Installed {
        epoch: u64,
    },
    /// A state under an epoch that stands.
    Write {
        epoch: u64,
        held: ControlState,
    },
    Written {
        epoch: u64,
        stamp: Stamp,
    },
    /// Does this epoch still stand?
    Confirm {
        epoch: u64,
        nonce: u64,
    },
    Confirmed {
        epoch: u64,
        nonce: u64,
    },
}

/// What each store tells all others all the time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Heartbeat {
    pub record: Record,
    /// The sender is primary of its record, and the epoch stands.
    pub active: bool,
    /// The newest state known to be on all holders' disks.
    pub committed: Stamp,
    /// Its disk answers.
    pub disk: bool,
    /// First start of the whole system, and nothing held.
    pub fresh: bool,
    /// Other stores that it knows of.
    pub known: Vec<Ipv4Addr>,
}
