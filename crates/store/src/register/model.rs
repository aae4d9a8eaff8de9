//! What goes into a register and what comes out of it.

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Command, ControlState, Envelope, Outcome, PeerMessage, ReplicaConfig};

/// Milliseconds of a clock that only advances; it begins anywhere.
pub type Millis = u64;
/// Who is to get an answer.
pub type Client = u64;

/// What must not be forgotten: the whole of it is written each time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Durable {
    pub id: u64,
    /// First start of the whole system, and no replica set since.
    pub fresh: bool,
    pub promised: u64,
    pub config: ReplicaConfig,
    pub held: ControlState,
}

#[derive(Clone, Debug)]
pub enum Event {
    Envelope(Envelope),
    /// All that was asked to be kept up to this number is on the disk.
    Kept(u64),
    /// Time has passed; whether the disk answers.
    Tick {
        disk: bool,
    },
    Command {
        client: Client,
        order: Command,
    },
    /// The process is to end: others take over what this store has.
    Leave,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    Send {
        to: Ipv4Addr,
        message: PeerMessage,
    },
    Keep {
        number: u64,
        state: Durable,
    },
    Answer {
        client: Client,
        outcome: Outcome,
    },
    /// There is a newer state that all data_replicas have, or this store's standing is another.
    Publish,
}

/// Where the store begins from.
#[derive(Clone, Debug)]
pub struct Start {
    pub ip: Ipv4Addr,
    pub zone: String,
    /// Machines whose stores are asked first.
    pub seeds: Vec<Ipv4Addr>,
    /// Machines that may be lost at once.
    pub tolerance: u32,
    pub kept: Durable,
}

/// Checks that tests take out one by one, to see what each is for. A store has them all.
#[doc(hidden)]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Guards {
    /// A replica set needs a majority of the voters before it too.
    pub prior_majorities: bool,
    /// Only a voter of the newest replica set takes over and is a holder.
    pub holders_vote: bool,
    /// Only a learner that has the state gets a vote.
    pub learner_first: bool,
}

impl Default for Guards {
    fn default() -> Guards {
        Guards { prior_majorities: true, holders_vote: true, learner_first: true }
    }
}
