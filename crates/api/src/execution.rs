//! Whether a request may have been executed: after one attempt, after several, and the only place where this becomes a
//! status. 408, 421, 429 and 503 promise that a request has not run and never will; 502 and 504 do not.
//!
//! ```
//! use violetyoke_api::execution::{Execution, FailureReason};
//!
//! let rejected = Execution::NotExecuted;
//! let reset_after_sending = Execution::Unknown;
//! assert_eq!(rejected.combine(reset_after_sending), Execution::Unknown);
//! assert_eq!(rejected.status(FailureReason::Overloaded), 503);
//! assert_eq!(reset_after_sending.status(FailureReason::Overloaded), 502);
//! assert_eq!(reset_after_sending.status(FailureReason::DeadlineExceeded), 504);
//! assert!(rejected.may_retry(false) && !reset_after_sending.may_retry(false));
//! ```

/// What is known of all attempts at one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No backend executed it, and none will.
    NotExecuted,
    /// It was sent to a backend that did not say that it was not executed.
    Unknown,
}

/// Why a request ends without a backend's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FailureReason {
    /// Its tenant is over the rate limit.
    #[error("over the tenant's rate limit")]
    OverLimit,
    /// No backend had capacity in time, or none is known.
    #[error("no backend with capacity")]
    Overloaded,
    /// Its deadline has passed.
    #[error("the deadline has passed")]
    DeadlineExceeded,
}

impl Execution {
    /// What is known after two attempts: unknown if it is for either.
    #[must_use]
    pub fn combine(self, other: Execution) -> Execution {
        self.max(other)
    }

    /// Whether the request may be sent to another backend; `idempotent`: the route's requests may be executed twice.
    #[must_use]
    pub fn may_retry(self, idempotent: bool) -> bool {
        idempotent || self == Execution::NotExecuted
    }

    /// The status for the client. 429 and 503 promise that the request was not executed and never will be; 502 and 504
    /// do not.
    #[must_use]
    pub fn status(self, reason: FailureReason) -> u16 {
        match (self, reason) {
            (Execution::NotExecuted, FailureReason::OverLimit) => 429,
            (Execution::NotExecuted, _) => 503,
            (Execution::Unknown, FailureReason::DeadlineExceeded) => 504,
            (Execution::Unknown, _) => 502,
        }
    }
}
