//! The decision on one request.

use crate::Millis;

/// Whether a request is within its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Admission {
    /// The request is counted and may be forwarded.
    Admitted,
    /// The request would exceed the limit and is not counted.
    Denied {
        /// Time until the limit may have capacity for one more request, if no other request uses it first
        /// (ms).
        retry_after_ms: Millis,
    },
}

impl Admission {
    /// Whether the request may be forwarded.
    pub fn is_admitted(self) -> bool {
        self == Admission::Admitted
    }
}
