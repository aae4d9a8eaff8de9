//! Messages with a full state are encoded once for all who get the same: compressing a megabyte takes tens of
//! milliseconds.

use bytes::Bytes;
use violetyoke_transport::codec::encode_deflated;
use violetyoke_transport::messages::{
    ControlState, Envelope, PeerMessage, Revision, StoreNode, StoreReply, StoreRequest,
};

/// Messages between stores are cached from this length on (bytes).
const CACHE_FROM: usize = 1 << 10;

/// Caches the last message of each kind that carries a state.
#[derive(Debug, Default)]
pub(super) struct Encoder {
    peer_message: Option<(PeerMessage, Bytes)>,
    /// By its revision, which belongs to one state for good.
    state_reply: Option<(Revision, Bytes)>,
}

impl Encoder {
    /// The bytes of a message to another store; `from` is always this store.
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

    /// Drops the cached message to other stores. The effects of one event are where the same state goes to several.
    pub(super) fn clear_peer_message(&mut self) {
        self.peer_message = None;
    }

    /// The bytes that send a state to a registry.
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
