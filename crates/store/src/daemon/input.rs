//! The inputs of the event loop, and their sender.

use crate::consensus::WriteNumber;
use crate::disk::operation_log::AppendError;
use crate::disk::WriteError;
use crate::operations::AppendNumber;
use std::net::Ipv4Addr;
use tokio::sync::mpsc::UnboundedSender;
use violetyoke_transport::connection::{self, ConnectionId};

/// One input of the event loop.
pub(super) enum Input {
    /// An event of a connection that another process has opened.
    Accepted(ConnectionId, connection::Event),
    /// An event of a connection that this store opens to another store.
    Peer(Ipv4Addr, connection::Event),
    /// All writes up to this one are on the disk.
    Persisted(WriteNumber),
    /// A write has failed and will be retried.
    WriteFailed(WriteError),
    /// All appends to the log of operations up to this one are on the disk.
    OperationsAppended(AppendNumber),
    /// An append to the log of operations has failed and will be retried.
    OperationAppendFailed(AppendError),
}

/// Sends inputs to the event loop.
#[derive(Clone)]
pub(super) struct InputSender(pub(super) UnboundedSender<Input>);

impl InputSender {
    /// Sends an input. Inputs are dropped once the event loop has ended, because nothing processes them any more.
    pub(super) fn send(&self, input: Input) {
        drop(self.0.send(input));
    }

    /// Whether the event loop has ended.
    pub(super) fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}
