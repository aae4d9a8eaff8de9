//! What the end of an attempt tells about the backend that it was sent to.

use crate::Millis;

/// The largest number of requests that a report is believed to mean. Estimates of a service are averages over its backends,
/// so one report of billions would make the service look overloaded for a minute.
const MAX_REPORTED_REQUESTS: u32 = 10_000;

/// The load that a backend reported with a response. It covers the requests of all proxies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    running: u32,
    waiting: u32,
}

impl ReportedLoad {
    /// A report of `running` requests that are being executed, and `waiting` requests in the backend's own queue. `None` if
    /// either number is larger than any backend has.
    #[must_use]
    pub fn new(running: u32, waiting: u32) -> Option<ReportedLoad> {
        let is_believed = running.max(waiting) <= MAX_REPORTED_REQUESTS;
        is_believed.then_some(ReportedLoad { running, waiting })
    }

    /// Requests at the backend, executed or queued.
    pub(crate) fn requests(self) -> f64 {
        f64::from(self.running + self.waiting)
    }

    /// Queued requests per slot.
    pub(crate) fn waiting_per_slot(self, slots: u32) -> f64 {
        f64::from(self.waiting) / f64::from(slots)
    }

    /// Requests per slot, without the one that the response finished.
    pub(crate) fn per_slot(self, slots: u32) -> f64 {
        (self.requests() - 1.0).max(0.0) / f64::from(slots)
    }
}

/// The outcome of one attempt with respect to the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A complete response, or the beginning of a streamed one.
    Response {
        /// Time from sending the request to the response (ms).
        latency_ms: Millis,
        /// The load report, if the response has one.
        load: Option<ReportedLoad>,
    },
    /// The backend rejected the request without executing it, because it is at capacity or draining.
    Rejected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the response was invalid.
    Broken,
    /// No response before the attempt's time-out.
    TimedOut,
    /// Another instance responds at the backend's address.
    WrongInstance,
    /// The attempt tells nothing about the backend, for example because the client disconnected or a reused
    /// connection broke.
    Inconclusive,
}

/// Attempts of this proxy at one backend, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Started attempts.
    pub sent: u64,
    /// Attempts that got a response.
    pub answered: u64,
    /// Attempts that the backend rejected without executing them.
    pub rejected: u64,
    /// Attempts that failed or timed out.
    pub failed: u64,
}

impl AttemptCounts {
    pub(crate) fn record(&mut self, observation: Observation) {
        match observation {
            Observation::Response { .. } => self.answered += 1,
            Observation::Rejected | Observation::WrongInstance => self.rejected += 1,
            Observation::Unreachable | Observation::Broken | Observation::TimedOut => self.failed += 1,
            Observation::Inconclusive => {}
        }
    }
}
