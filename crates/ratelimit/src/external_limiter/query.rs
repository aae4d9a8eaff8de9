//! One query and where it stands.

use crate::breaker::Micros;

/// A query, from its start to the end of its request.
pub(super) struct Query {
    /// Stands for all that the query says but the attempt's name.
    pub(super) key: u64,
    pub(super) breaker_epoch: u64,
    pub(super) state: QueryState,
    /// Whether the request was admitted, once that is known.
    pub(super) is_admitted: Option<bool>,
    /// Where the request used a credit: its expiry.
    pub(super) credit_expiry: Option<Micros>,
}

/// Where a query stands.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryState {
    /// Its reply is waited for.
    AwaitingReply,
    /// The reply was OK and in time, or a credit was used.
    Counted,
    /// Nobody waits for the reply any more.
    Abandoned,
}
