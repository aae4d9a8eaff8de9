//! Claims of named attempts, which ensure that an attempt is counted once even if several ingresses receive queries about it
//! or the request itself. The first ingress that claims the attempt counts it, and the others adopt the outcome.
//!
//! A claim is one counter at the pool's counter service. Its name is made of the account, the units and the attempt's name,
//! so claims of different accounts have different counters. Each ingress that receives the attempt adds the increment of its
//! [`Source`] and learns from the total what came before. The ingress that counts the attempt adds [`ADMITTED`] or
//! [`REJECTED`] once the decision is made. From the lowest digit on, the total consists of the number of queries (two
//! digits), the number of requests (two digits), and the outcome. This fits in the seven digits in which totals are exact.
//!
//! Clients choose the names of attempts, so a name must not admit more than was counted. A counted attempt therefore passes
//! uncounted as one request at most, and as a few queries, which may be repeated by networks. Further requests and queries
//! with the same name are counted like new attempts.
//!
//! If the state of a claim is unknown, the limit is enforced. In each of these cases, the attempt counts as new, and may be
//! counted twice:
//!
//! - the reply to the claim is lost or late;
//! - an earlier claim has no outcome, as its ingress has died or has not decided yet;
//! - the call that reports the outcome is lost;
//! - the counter has expired.
//!
//! So an attempt is never admitted uncounted by its own claim, and is counted at most once more for each loss. An attempt
//! costs two calls to the counter service.

/// How an ingress receives an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// A query about the attempt; nothing is forwarded.
    Query,
    /// The request itself, which is forwarded to a node.
    Request,
}

/// The increment that records that an attempt was admitted.
pub const ADMITTED: f64 = 10_000.0;
/// The increment that records that an attempt was rejected.
pub const REJECTED: f64 = 1_000_000.0;
/// The increment for a request; that for a query is 1.
const REQUEST: f64 = 100.0;
/// The maximum number of queries about one attempt that adopt its outcome.
const MAX_QUERIES: f64 = 4.0;
/// The maximum number of requests of one attempt up to which queries adopt its outcome.
const MAX_REQUESTS: f64 = 2.0;

/// The increment for a claim.
pub fn increment(source: Source) -> f64 {
    match source {
        Source::Query => 1.0,
        Source::Request => REQUEST,
    }
}

/// The state of an attempt, according to the total of its claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The claimant must count the attempt, and report the outcome.
    Fresh,
    /// The attempt was admitted and counted: it passes without being counted again.
    Counted,
    /// The attempt was rejected: it is rejected again, and not counted.
    Rejected,
}

/// Decodes the total of a claim; `None` if there was no reply in time.
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
        // The total includes the request itself, so it is the first one.
        Source::Request => requests == 1.0,
        Source::Query => (1.0..=MAX_QUERIES).contains(&queries) && requests <= MAX_REQUESTS,
    };
    match (admitted > 0.0, rejected > 0.0) {
        (true, _) if may_pass => ClaimState::Counted,
        (false, true) => ClaimState::Rejected,
        _ => ClaimState::Fresh,
    }
}

/// The decision module's verdict on a request or a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted: the request is forwarded for the first time, or the query is answered.
    Admitted,
    /// It is rejected.
    Rejected {
        /// Whether the request was forwarded to a node before.
        was_forwarded: bool,
        /// The time after which the quota admits the request (microseconds); 0 if the quota is not the reason.
        retry_after: u64,
    },
}

/// The outcome that later claims of the attempt must adopt: whether it was admitted. `None` if there is none to report, and
/// the attempt stays fresh for them. A request that is rejected because no node is available has no outcome with regard to
/// the quota, and for a request that was forwarded before, the admission has been reported.
pub fn outcome_to_report(verdict: Verdict) -> Option<bool> {
    match verdict {
        Verdict::Admitted => Some(true),
        Verdict::Rejected { was_forwarded: false, retry_after } if retry_after > 0 => Some(false),
        Verdict::Rejected { .. } => None,
    }
}

/// The increment that reports the outcome of an attempt that was [`ClaimState::Fresh`].
pub fn outcome(is_admitted: bool) -> f64 {
    if is_admitted {
        ADMITTED
    } else {
        REJECTED
    }
}
