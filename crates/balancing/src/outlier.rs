//! Passive outlier ejection: a backend that fails repeatedly gets no requests for a while.

use crate::Millis;

/// Consecutive failures that eject a backend. A single broken response is no sign of an unhealthy backend;
/// consecutive failures or a time-out are.
const EJECTION_THRESHOLD: u32 = 2;
/// Duration of the first ejection (ms); doubled with each further consecutive failure.
const BASE_EJECTION_MS: Millis = 250;
const MAX_EJECTION_MS: Millis = 4_000;
/// How long a backend gets no attempts after it rejected a request for lack of capacity (ms).
const REJECTION_PAUSE_MS: Millis = 100;

/// Failure history of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct OutlierDetector {
    consecutive_failures: u32,
    ejected_until: Millis,
    is_unreachable: bool,
}

impl OutlierDetector {
    /// Records a response, which ends the ejection and resets the failure history.
    pub(crate) fn record_success(&mut self) {
        *self = OutlierDetector::default();
    }

    /// Records a rejected request: the backend is healthy, but at capacity.
    pub(crate) fn record_rejection(&mut self, now: Millis) {
        self.ejected_until = self.ejected_until.max(now + REJECTION_PAUSE_MS);
    }

    /// Records that no connection could be opened. Ejects the backend immediately.
    pub(crate) fn record_unreachable(&mut self, now: Millis) {
        self.is_unreachable = true;
        self.record_failures(now, EJECTION_THRESHOLD);
    }

    /// Records a timed-out attempt. Ejects the backend immediately.
    pub(crate) fn record_timeout(&mut self, now: Millis) {
        self.record_failures(now, EJECTION_THRESHOLD);
    }

    /// Records a broken connection or an invalid response. Ejects the backend after [`EJECTION_THRESHOLD`]
    /// consecutive failures.
    pub(crate) fn record_failure(&mut self, now: Millis) {
        self.record_failures(now, 0);
    }

    fn record_failures(&mut self, now: Millis, min_failures: u32) {
        self.consecutive_failures = (self.consecutive_failures + 1).max(min_failures);
        if self.consecutive_failures >= EJECTION_THRESHOLD {
            let doublings = (self.consecutive_failures - EJECTION_THRESHOLD).min(5);
            self.ejected_until = now + (BASE_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        }
    }

    pub(crate) fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until
    }

    /// When the ejection ends (ms); 0 if the backend was not ejected since its last response.
    pub(crate) fn ejected_until(&self) -> Millis {
        self.ejected_until
    }

    /// Whether the backend was ejected and has not responded since. It then gets one request at a time.
    pub(crate) fn is_on_probation(&self) -> bool {
        self.consecutive_failures >= EJECTION_THRESHOLD
    }

    /// Whether no connection could be opened since the last response: the machine may have lost power.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }
}
