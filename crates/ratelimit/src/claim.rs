//! Claims: an attempt is counted once, though several ingresses may be asked about it, and by several ways.
//!
//! An attempt that has a name may be asked about through several ingresses; the first to claim it counts it, and the
//! others adopt the outcome.
//!
//! A claim is one number on the pool's counting service, under a name made of the account, the units and the attempt's
//! name: claims of different accounts never meet. Whoever meets the attempt adds its [`Source`] and sees by the total who
//! came before; the one that counted it adds [`ADMITTED`] or [`REJECTED`] when that is decided. From the lowest digits on,
//! the number holds how many queries came (two digits), how many requests (two), and what was decided; all of it fits into
//! the seven digits that totals are exact in.
//!
//! A name is only what a client states, and must not let more through than was counted. So a counted attempt passes
//! uncounted as one request at most, and as a few queries, which networks repeat; whatever comes more often under one name
//! is counted like an attempt of its own.
//!
//! What is not known is decided so that the limit holds:
//!
//! - the claim's reply is lost or late: the attempt counts as new, and may be counted twice;
//! - an earlier claim has no outcome (its ingress died, or has not decided yet): the same;
//! - the outcome's call is lost: later claims find none, and the same;
//! - the number has expired: the same.
//!
//! So an attempt is never admitted uncounted by its own claim, and is counted at most once more for each loss. An attempt
//! costs two calls to the counting service.

/// How an ingress meets an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A query about it, which forwards nothing.
    Query,
    /// A request, which is forwarded to a node.
    Request,
}

/// What is added when an attempt was admitted.
pub const ADMITTED: f64 = 10_000.0;
/// What is added when an attempt was rejected.
pub const REJECTED: f64 = 1_000_000.0;
/// What is added for a request; a query adds one.
const REQUEST: f64 = 100.0;
/// Queries about one attempt that adopt its outcome.
const MAX_QUERIES: f64 = 4.0;
/// Requests of one attempt beside which queries adopt its outcome.
const MAX_REQUESTS: f64 = 2.0;

/// What to add for a claim.
pub fn increment(source: Source) -> f64 {
    match source {
        Source::Query => 1.0,
        Source::Request => REQUEST,
    }
}

/// What a claim's total says of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The claimant has to count it, and to report the outcome.
    Fresh,
    /// It was admitted and counted: it passes without being counted again.
    Counted,
    /// It was rejected: it gets the same response, and nothing is counted.
    Rejected,
}

/// Decodes the total that a claim came back with; `None`: no reply, or none in time.
pub fn decode(source: Source, total: Option<f64>) -> ClaimState {
    let Some(total) = total.filter(|total| total.fract() == 0.0 && (increment(source)..1e7).contains(total))
    else {
        return ClaimState::Fresh;
    };
    let rejected = (total / REJECTED).floor();
    let admitted = (total % REJECTED / ADMITTED).floor();
    let requests = (total % ADMITTED / REQUEST).floor();
    let queries = total % REQUEST;
    let may_pass = match source {
        // This one is the first request that comes.
        Source::Request => requests == 1.0,
        Source::Query => (1.0..=MAX_QUERIES).contains(&queries) && requests <= MAX_REQUESTS,
    };
    match (admitted > 0.0, rejected > 0.0) {
        (true, _) if may_pass => ClaimState::Counted,
        (false, true) => ClaimState::Rejected,
        _ => ClaimState::Fresh,
    }
}

/// What the decision module made of a request or a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted: it is forwarded for the first time, or its query is answered.
    Admitted,
    /// It is rejected.
    Rejected {
        /// Whether an attempt of it was forwarded before.
        was_forwarded: bool,
        /// Microseconds after which its quota has room; 0: the quota is not the reason.
        retry_after: u64,
    },
}

/// Whether others that claim the attempt have to adopt that it was admitted or rejected; `None`: it stays fresh for them. A
/// request that is rejected for lack of a node says nothing of its quota, and one that was forwarded has been admitted.
pub fn outcome_to_report(verdict: Verdict) -> Option<bool> {
    match verdict {
        Verdict::Admitted => Some(true),
        Verdict::Rejected { was_forwarded: false, retry_after } if retry_after > 0 => Some(false),
        Verdict::Rejected { .. } => None,
    }
}

/// What to add when an attempt that was [`ClaimState::Fresh`] has been decided.
pub fn outcome(is_admitted: bool) -> f64 {
    if is_admitted {
        ADMITTED
    } else {
        REJECTED
    }
}
