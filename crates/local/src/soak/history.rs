//! The requests of clients and their responses.

use std::time::Instant;

/// The operation of a request: requests of one tenant with the same key are one operation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Operation {
    pub(super) tenant: &'static str,
    pub(super) key: String,
}

/// A response as a client got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ClientResponse {
    pub(super) status: u16,
    pub(super) attempt: Option<String>,
    pub(super) seal: Option<String>,
    pub(super) body: Vec<u8>,
}

/// One request of a client.
#[derive(Clone, Debug)]
pub(super) struct ClientRequest {
    pub(super) operation: Operation,
    pub(super) path: String,
    /// The attempt id of this request.
    pub(super) attempt: String,
    /// The index of the proxy that it was sent to.
    pub(super) edge: usize,
    pub(super) sent_at: Instant,
    pub(super) ended_at: Instant,
    /// `None` if the client received no response in time.
    pub(super) response: Option<ClientResponse>,
}

impl ClientRequest {
    /// The status; 0 if there is no response.
    pub(super) fn status(&self) -> u16 {
        self.response.as_ref().map_or(0, |response| response.status)
    }

    /// Whether the client was waiting for the response at that time.
    pub(super) fn is_open_at(&self, at: Instant) -> bool {
        self.sent_at <= at && at < self.ended_at
    }
}
