//! Encodes a message with a full state once for all receivers: compressing a megabyte takes tens of milliseconds.

use bytes::Bytes;
use violetyoke_transport::codec::encode_deflated;
use violetyoke_transport::messages::{
    ControlState, Envelope, PeerMessage, Revision, StoreNode, StoreReply, StoreRequest,
};

/// The minimum encoded length of a message between stores that is cached (bytes).
const CACHE_FROM: usize = 1 << 10;

/// Caches the last message of each kind that carries a state.
#[derive(Debug, Default)]
pub(super) struct Encoder {
    peer_message: Option<(PeerMessage, Bytes)>,
    /// The last committed state sent, by its revision: a revision always identifies the same state.
    state_reply: Option<(Revision, Bytes)>,
}

impl Encoder {
    /// Encodes a message to another store; `from` is always this store.
    pub(super) fn encode_envelope(&mut self, from: &StoreNode, message: PeerMessage) -> Bytes {
        if let Some((_, bytes)) = self.peer_message.as_ref().filter(|(cached, _)| *cached == message) {
            return bytes.clone();
        }
        let request = StoreRequest::Envelope(Envelope { from: from.clone(), message });
        let bytes = encode_deflated(&request);
        if let (CACHE_FROM.., StoreRequest::Envelope(envelope)) = (bytes.len(), request) {
            self.peer_message = Some((envelope.message, bytes.clone()));
        }
        bytes
    }

    /// Drops the cached message to other stores. Only the effects of the same event send the same state to several
    /// stores.
    pub(super) fn clear_peer_message(&mut self) {
        self.peer_message = None;
    }

    /// Encodes a committed state for registries.
    pub(super) fn encode_state(&mut self, state: &ControlState) -> Bytes {
        if let Some((_, bytes)) =
            self.state_reply.as_ref().filter(|(revision, _)| *revision == state.revision)
        {
            return bytes.clone();
        }
        let bytes = encode_deflated(&StoreReply::State(state.clone()));
        self.state_reply = Some((state.revision, bytes.clone()));
        bytes
    }
}
