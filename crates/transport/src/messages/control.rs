//! Messages between registries and stores.

use super::{
    Command, ControlState, Envelope, Epoch, OperationMessage, OperationReply, OperationRequest, Outcome,
    Revision, ShardOwners, StoreNode,
};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A message from a registry to a store.
///
/// Renamed variants keep the encoded names of builds up to 0.2, as an upgrade mixes both.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Subscribes to states that are newer than `known`.
    Watch {
        /// The address of the sender.
        registry: Ipv4Addr,
        /// The newest revision that the sender has.
        known: Revision,
    },
    /// Executes a command.
    #[serde(rename = "Do")]
    Execute {
        /// Repeated in the reply. Within one incarnation, a registry uses each id once; a command that is sent again gets a new
        /// one.
        request_id: u64,
        /// The command.
        command: Command,
    },
    /// A message between stores, which use the same port.
    Envelope(Envelope),
    /// A proxy's request about an operation.
    Operation {
        /// Repeated in the reply.
        request_id: u64,
        /// The request.
        request: OperationRequest,
    },
    /// A message between stores about operations.
    Replication {
        /// The sender.
        from: StoreNode,
        /// The message.
        message: OperationMessage,
    },
}

/// A message from a store to a registry.
///
/// Renamed variants keep the encoded names of builds up to 0.2.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The status of the store; sent at each change.
    Status {
        /// The present epoch of the store.
        epoch: Epoch,
        /// Whether the store is the leader of that epoch and in contact with all data replicas.
        is_leader: bool,
        /// The newest owners of quota counters that the store knows.
        shard_owners: ShardOwners,
        /// The addresses of all stores that the store knows.
        stores: Vec<Ipv4Addr>,
    },
    /// A newer control state.
    #[serde(rename = "News")]
    State(ControlState),
    /// The reply to a [`StoreRequest::Execute`], sent on the connection of the request.
    #[serde(rename = "Done")]
    Completed {
        /// The id of the request.
        request_id: u64,
        /// The result of the command.
        outcome: Outcome,
    },
    /// The reply to a [`StoreRequest::Operation`], sent on the connection of the request.
    Operation {
        /// The id of the request.
        request_id: u64,
        /// The reply.
        reply: OperationReply,
    },
}
