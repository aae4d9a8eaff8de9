//! Parameters of one attempt.

use crate::operations::Claim;
use crate::request_body::RequestBody;
use bytes::Bytes;
use std::net::SocketAddrV4;
use tokio::time::Instant;

/// The request of one attempt, its backend, and its time limits.
pub(crate) struct AttemptRequest<'a> {
    pub(crate) backend_id: &'a str,
    pub(crate) service: &'a str,
    pub(crate) address: SocketAddrV4,
    pub(crate) is_same_region: bool,
    /// Id that the response must repeat.
    pub(crate) attempt_id: &'a str,
    /// The head and the buffered part of the body.
    pub(crate) bytes: Bytes,
    /// The body, of which the unbuffered rest is sent after `bytes`.
    pub(crate) body: &'a RequestBody,
    /// Whether this is a HEAD request, whose response has no body.
    pub(crate) is_head: bool,
    /// Whether the request is idempotent and completely buffered, so that it can be sent again.
    pub(crate) is_replayable: bool,
    /// The claim of the request's operation, on a keyed route.
    pub(crate) claim: Option<&'a Claim>,
    /// Time after which the attempt may be abandoned for a retry at another backend.
    pub(crate) timeout: Option<Instant>,
    /// When the time-out of the client or of the route expires.
    pub(crate) deadline: Instant,
}
