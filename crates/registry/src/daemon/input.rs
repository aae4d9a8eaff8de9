//! Events from connections and from polls of the platform. All of them reach the registry through one queue.

use crate::platform::PlatformError;
use crate::Millis;
use std::net::Ipv4Addr;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use violetyoke_transport::connection::{ConnectionId, Event};
use violetyoke_transport::messages::Backend;

/// An event for the registry to handle.
pub(super) enum Input {
    /// An event on a connection that a proxy or another registry has opened.
    Inbound { connection: ConnectionId, event: Event },
    /// An event on this registry's own connection to another registry.
    Peer { registry: Ipv4Addr, event: Event },
    /// An event on this registry's connection to a store.
    Store { store: Ipv4Addr, event: Event },
    /// The result of a poll of the platform that was sent at `started_at`.
    BackendsPolled { started_at: Millis, result: Result<Vec<Backend>, PlatformError> },
}

/// The sending end of the queue. The queue is unbounded: its input is limited by the rates of the connections, and
/// dropping an event of a connection would leave the state of that peer wrong until the connection ends.
#[derive(Clone)]
pub(super) struct InputSender(UnboundedSender<Input>);

impl InputSender {
    pub(super) fn send(&self, input: Input) {
        // Sending fails only once the daemon has ended, when the input is no longer needed.
        drop(self.0.send(input));
    }
}

/// Creates the queue: its sending and its receiving end.
pub(super) fn channel() -> (InputSender, UnboundedReceiver<Input>) {
    let (sender, queue) = unbounded_channel();
    (InputSender(sender), queue)
}
