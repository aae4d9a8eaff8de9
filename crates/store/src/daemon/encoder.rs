//! Messages with a whole state are encoded once for all who get the same: deflating a megabyte takes tens of milliseconds.

use bytes::Bytes;
use violetyoke_transport::codec::encode_deflated;
use violetyoke_transport::messages::{
    ControlState, Envelope, PeerMessage, Revision, StoreNode, StoreReply, StoreRequest,
};

/// Messages between stores are remembered from so many bytes on.
const LARGE: usize = 1 << 10;

/// Remembers the last message of each kind that carries a state.
#[derive(Debug, Default)]
pub(super) struct Encoder {
    peer: Option<(PeerMessage, Bytes)>,
    /// A revision names one state for good.
    news: Option<(Revision, Bytes)>,
}

impl Encoder {
    /// The bytes of a message to another store; `from` is always this store.
    pub fn envelope(&mut self, from: &StoreNode, message: PeerMessage) -> Bytes {
        if let Some((_, bytes)) = self.peer.as_ref().filter(|(last, _)| *last == message) {
            return bytes.clone();
        }
        let request = StoreRequest::Envelope(Envelope { from: from.clone(), message });
        let bytes = encode_deflated(&request);
        if let (LARGE.., StoreRequest::Envelope(envelope)) = (bytes.len(), request) {
            self.peer = Some((envelope.message, bytes.clone()));
        }
        bytes
    }

    /// Forgets the last message to another store: the same state goes out in one go.
    pub fn sent(&mut self) {
        self.peer = None;
    }

    /// The bytes that tell registries of a state.
    pub fn news(&mut self, state: &ControlState) -> Bytes {
        if let Some((_, bytes)) = self.news.as_ref().filter(|(revision, _)| *revision == state.revision) {
            return bytes.clone();
        }
        let bytes = encode_deflated(&StoreReply::State(state.clone()));
        self.news = Some((state.revision, bytes.clone()));
        bytes
    }
}
