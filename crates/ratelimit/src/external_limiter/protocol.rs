//! The types that are passed to the limiter and returned by it.

use crate::breaker::Micros;

/// How to start the check of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// A credit is used: the external server has already counted the units, for a request that was not admitted.
    Credited {
        /// Identifies the use of the credit until the end of the request.
        id: u64,
    },
    /// A query must be sent.
    Query {
        /// Identifies the query until the end of the request.
        id: u64,
        /// The time-out of the reply.
        until: Micros,
    },
    /// No query is sent: there is no time or no slot for one, or the breaker is open.
    NoQuery(Decision),
}

/// What a reply, or the lack of one, means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The pool's own quota decides.
    Proceed,
    /// The request is over the external limit.
    OverLimit {
        /// The time after which the client may retry; 0 if it is unknown.
        retry_after: Micros,
    },
    /// There is no reply, and the policy is [`FallbackPolicy::Reject`](super::FallbackPolicy::Reject).
    Reject {
        /// The time after which the client may retry; 0 if it is unknown.
        retry_after: Micros,
    },
}

/// The result of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Within the limit, and counted.
    Ok,
    /// Over the limit, and not counted.
    OverLimit {
        /// The time until the limit is reset, if the server gives it.
        reset: Option<Micros>,
    },
    /// No usable reply: an error, no connection, or an unknown code.
    Failed,
    /// The connection broke, which ends all queries on it.
    ConnectionBroke {
        /// The number of the connection.
        connection: u64,
    },
}

/// Counts of events; a request may be counted in several. The names of the fields are written to the log of the ingress and
/// must not change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Queries that were sent.
    pub asked: u64,
    /// Replies in time that were within the limit.
    pub ok: u64,
    /// Replies in time that were over the limit.
    pub over: u64,
    /// Queries without a usable reply in time.
    pub silent: u64,
    /// Requests without a query, because there was no slot or no time, or the breaker was open.
    pub unasked: u64,
    /// Late replies within the limit, for requests that were admitted without them.
    pub late_ok: u64,
    /// Late replies within the limit, for requests that were not admitted.
    pub late_unused: u64,
    /// Late replies over the limit, for requests that were admitted without them.
    pub late_over_let_in: u64,
    /// Replies that never arrived; their units may have been counted.
    pub lost: u64,
    /// Requests whose units became a credit.
    pub credited: u64,
    /// Credits that were used by other requests.
    pub credits_used: u64,
    /// The number of times that the breaker opened.
    pub opened: u64,
}

/// The present size of a limiter's state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Queries that occupy a slot.
    pub in_flight: usize,
    /// Queries of requests whose end has not been reported.
    pub queries: usize,
    /// Unused credits.
    pub credits: usize,
}
