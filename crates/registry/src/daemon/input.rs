//! What happens outside the registry's state: all of it reaches the registry in one queue.

use crate::platform::PlatformError;
use crate::Millis;
use std::net::Ipv4Addr;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use violetyoke_transport::connection::{ConnectionId, Event};
use violetyoke_transport::messages::Backend;

/// Something that the registry has to take in.
pub(super) enum Input {
    /// On a connection that a proxy or another registry has opened.
    Inbound { connection: ConnectionId, event: Event },
    /// On this registry's own connection to another registry.
    Peer { registry: Ipv4Addr, event: Event },
    /// On this registry's connection to a store.
    Store { store: Ipv4Addr, event: Event },
    /// The platform has answered a poll that was sent at `started_at`, or has not.
    BackendsPolled { started_at: Millis, result: Result<Vec<Backend>, PlatformError> },
}

/// Adds to the queue. It is not bounded: what fills it is bounded by the connections' own rates, and an event of a
/// connection that were dropped would leave a peer's state wrong until the connection ends.
#[derive(Clone)]
pub(super) struct InputSender(UnboundedSender<Input>);

impl InputSender {
    pub(super) fn send(&self, input: Input) {
        // The queue is closed only once the daemon has ended: nothing is lost that anybody could act on.
        drop(self.0.send(input));
    }
}

/// The queue, and what adds to it.
pub(super) fn channel() -> (InputSender, UnboundedReceiver<Input>) {
    let (sender, queue) = unbounded_channel();
    (InputSender(sender), queue)
}
