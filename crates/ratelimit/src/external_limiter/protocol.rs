//! What goes into the limiter and comes out of it.

use crate::breaker::Micros;

/// What to do about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Its units have been counted by the external server already, for a request that was not admitted.
    Credited {
        /// Identifies it until the request's end.
        id: u64,
    },
    /// Send a query.
    Query {
        /// Identifies it until the request's end.
        id: u64,
        /// When to stop waiting for the reply.
        until: Micros,
    },
    /// Send none: there is no time or no slot for it, or the breaker is open.
    NoQuery(Decision),
}

/// What a reply, or the lack of one, means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The pool's own quota decides.
    Proceed,
    /// Over the external limit.
    OverLimit {
        /// Time to wait; 0: none is known.
        retry_after: Micros,
    },
    /// The external server is silent, and [`OnSilence::Reject`](super::OnSilence::Reject) is set.
    Reject {
        /// Time to wait; 0: none is known.
        retry_after: Micros,
    },
}

/// What came of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Within the limit, and counted.
    Ok,
    /// Over the limit, and not counted.
    OverLimit {
        /// Time until the limit has room again, where the server gives one.
        reset: Option<Micros>,
    },
    /// No usable reply: an error, no connection, or an unknown code.
    Failed,
    /// The connection broke, for this query and all others on it.
    ConnectionBroke {
        /// Number of the connection.
        connection: u64,
    },
}

/// How often what happened; a request may be in several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Queries sent.
    pub asked: u64,
    /// Replies in time: within the limit.
    pub ok: u64,
    /// Replies in time: over the limit.
    pub over: u64,
    /// Queries that ended without a reply in time.
    pub silent: u64,
    /// Requests without a query: no slot, no time, or an open breaker.
    pub unasked: u64,
    /// Late replies within the limit, for a request that was admitted meanwhile.
    pub late_ok: u64,
    /// Late replies within the limit, for a request that was not admitted.
    pub late_unused: u64,
    /// Late replies over the limit, for a request that was admitted meanwhile.
    pub late_over_let_in: u64,
    /// Replies that never came: their units may have been counted.
    pub lost: u64,
    /// Requests whose units became a credit.
    pub credited: u64,
    /// Credits that another request used.
    pub credits_used: u64,
    /// Times that the breaker opened.
    pub opened: u64,
}

/// What a limiter keeps at the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Queries that have a slot.
    pub in_flight: usize,
    /// Queries whose request's end is not known.
    pub queries: usize,
    /// Credits.
    pub credits: usize,
}
