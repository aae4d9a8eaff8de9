//! Passive outlier ejection: a backend that fails repeatedly gets no requests for a while.

use crate::Millis;

/// Consecutive failures that eject a backend. One broken response among many says little; several in a row, or silence,
/// say that the backend is unhealthy.
const EJECTION_THRESHOLD: u32 = 2;
/// Length of the first ejection (ms); doubled with each further consecutive failure.
const BASE_EJECTION_MS: Millis = 250;
const MAX_EJECTION_MS: Millis = 4_000;
/// A backend that refused a request as full is passed over for so long (ms).
const REJECTION_PAUSE_MS: Millis = 100;

/// Failure history of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutlierDetector {
    consecutive_failures: u32,
    ejected_until: Millis,
    is_unreachable: bool,
}

impl OutlierDetector {
    /// A response ends the ejection and its history.
    pub(crate) fn record_success(&mut self) {
        *self = OutlierDetector::default();
    }

    /// The backend refused a request: it is healthy, but full.
    pub(crate) fn record_rejection(&mut self, now: Millis) {
        self.ejected_until = self.ejected_until.max(now + REJECTION_PAUSE_MS);
    }

    /// No connection could be opened; ejects at once.
    pub(crate) fn record_unreachable(&mut self, now: Millis) {
        self.is_unreachable = true;
        self.record_failures(now, EJECTION_THRESHOLD);
    }

    /// The attempt timed out; ejects at once.
    pub(crate) fn record_timeout(&mut self, now: Millis) {
        self.record_failures(now, EJECTION_THRESHOLD);
    }

    /// The connection broke, or the response was invalid; ejects when repeated.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.record_failures(now, 0);
    }

    fn record_failures(&mut self, now: Millis, at_least: u32) {
        self.consecutive_failures = (self.consecutive_failures + 1).max(at_least);
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            let doublings = (self.consecutive_failures - EJECTION_THRESHOLD).min(5);
            self.ejected_until = now + (BASE_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        }
    }

    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// When the ejection ends (ms); 0 where there was none.
    pub(crate) fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Was ejected and has not responded since: it gets one request at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.consecutive_failures >= EJECTION_THRESHOLD
    }

    /// Nothing listened there at the last attempt: the machine may have lost its power.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }
}
