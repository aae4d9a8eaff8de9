//! Whether a request may have been executed, after one or several attempts, and the mapping of this to a status. The statuses
//! 408, 421, 429 and 503 guarantee that a request was not executed and never will be; 502 and 504 do not.
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

/// Whether a request may have been executed by any of its attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Execution {
    /// No backend has executed the request, and none will.
    NotExecuted,
    /// The request was sent to a backend that did not confirm that it was not executed.
    Unknown,
}

/// Why a request ends without a backend's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FailureReason {
    /// The tenant is over its rate limit.
    #[error("over the tenant's rate limit")]
    OverLimit,
    /// No backend had capacity in time, or there is none.
    #[error("no backend with capacity")]
    Overloaded,
    /// The deadline of the request has passed.
    #[error("the deadline has passed")]
    DeadlineExceeded,
}

impl Execution {
    /// Combines the results of two attempts: unknown if either is unknown.
    #[must_use]
    pub fn combine(self, other: Execution) -> Execution {
        self.max(other)
    }

    /// Whether the request may be sent to another backend. `idempotent` tells whether the route's requests may be executed
    /// several times.
    #[must_use]
    pub fn may_retry(self, idempotent: bool) -> bool {
        idempotent || self == Execution::NotExecuted
    }

    /// The status for the client. 429 and 503 guarantee that the request was not executed and never will be; 502 and 504 do
    /// not.
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
