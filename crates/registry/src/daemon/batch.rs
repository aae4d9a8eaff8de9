//! What is sent once for all inputs that are there, and not for each: updates to proxies, and reports to other registries.
//!
//! Sending it at each input would make the cost of a wave of sessions grow with its square: each session that begins would be
//! followed by a pass over all proxies, and by a report of all sessions to all registries.

use crate::Millis;

/// Changed sessions are reported to the other registries no more often than this (ms). A change that follows no other is
/// reported at once; after this time at most a proxy that drains is in no answer of any directory, and closes no connection
/// before.
const REPORT_INTERVAL: Millis = 100;

/// What the inputs taken in so far have made due.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// Proxies may lack something.
    is_publication_due: bool,
    /// The sessions with this registry are others than the ones last reported.
    have_sessions_changed: bool,
    sessions_reported_at: Millis,
}

impl Batch {
    /// Proxies may lack something: they are sent it at the end of the batch.
    pub(super) fn request_publication(&mut self) {
        self.is_publication_due = true;
    }

    /// A session with this registry has begun, changed or ended.
    pub(super) fn sessions_changed(&mut self) {
        self.have_sessions_changed = true;
    }

    /// Whether proxies may lack something. They count as sent it then.
    pub(super) fn take_publication(&mut self) -> bool {
        std::mem::take(&mut self.is_publication_due)
    }

    /// Whether the sessions are to be reported now. They count as reported then.
    pub(super) fn take_due_report(&mut self, now: Millis) -> bool {
        let is_due = self.have_sessions_changed && now >= self.sessions_reported_at + REPORT_INTERVAL;
        if is_due {
            self.have_sessions_changed = false;
            self.sessions_reported_at = now;
        }
        is_due
    }
}
