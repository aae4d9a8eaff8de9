//! The state of one query.

use crate::breaker::Micros;

/// A query, from its start to the end of its request.
pub(super) struct Query {
    /// A hash of the contents of the query, except the name of the attempt.
    pub(super) key: u64,
    /// The breaker's epoch in which the query was sent.
    pub(super) breaker_epoch: u64,
    pub(super) state: QueryState,
    /// Whether the request was admitted; `None` until that is known.
    pub(super) is_admitted: Option<bool>,
    /// The expiry of the credit that the request uses; `None` if it uses none.
    pub(super) credit_expiry: Option<Micros>,
}

/// The state of a query.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryState {
    /// The request waits for the reply.
    AwaitingReply,
    /// The reply was OK and in time, or a credit is used.
    Counted,
    /// The request no longer waits for the reply.
    Abandoned,
}
