//! Inputs and outputs of an operation replica.

use crate::consensus::ClientId;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{
    Epoch, OperationMessage, OperationRecord, OperationReply, OperationRequest, StoreId, StoreNode,
};

/// The number of an append that a replica requests from its log: 1, 2, 3 and so on in one run of the replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AppendNumber(pub u64);

/// Input of an operation replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A proxy's request, forwarded by a registry.
    Request {
        /// Who gets the reply.
        client: ClientId,
        /// The request.
        request: OperationRequest,
    },
    /// A message from another store. Messages may be lost, repeated and reordered. A message that was sent to an
    /// earlier process of this store must not arrive: the connections of a process end with it, and their queued
    /// messages are dropped.
    Message {
        /// The sender.
        from: StoreNode,
        /// The message.
        message: OperationMessage,
    },
    /// All appends up to and including this one are on the disk.
    Appended(AppendNumber),
    /// Time has passed.
    Tick,
}

/// Output of an operation replica. Effects have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to other stores. It may be lost: the replica repeats messages that it depends on.
    Send {
        /// The addresses of the other stores.
        to: Vec<Ipv4Addr>,
        /// The message.
        message: OperationMessage,
    },
    /// Append records to the log, and report [`Event::Appended`] with the same number once they are synced.
    Append {
        /// The number of this append.
        number: AppendNumber,
        /// The records.
        records: Vec<OperationRecord>,
    },
    /// Reply to a request. Each client gets one reply at most.
    Reply {
        /// Who sent the request.
        client: ClientId,
        /// The answer.
        reply: OperationReply,
    },
}

/// The state of the store's consensus core that an operation replica needs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConsensusView {
    /// The highest epoch that this store has promised.
    pub promised: Epoch,
    /// Present while this store leads under an installed replica set.
    pub leadership: Option<Leadership>,
}

/// The replica set that this store leads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Leadership {
    /// The epoch of the replica set.
    pub epoch: Epoch,
    /// The stores that vote.
    pub voters: Vec<StoreNode>,
    /// The regions of the voters.
    pub voter_regions: Vec<String>,
    /// The voters of the replica sets before it, as reported in the promises for the epoch: a majority of each list has
    /// promised the epoch.
    pub previous_voters: Vec<Vec<StoreNode>>,
    /// The other stores that are alive, with a vote or without.
    pub live_peers: Vec<StoreNode>,
    /// Learners that the leader will give a vote once they have all records.
    pub awaited_learners: Vec<StoreId>,
}
