//! Batches updates to proxies and reports to other registries: they are sent once for all queued inputs, and not for
//! each input.
//!
//! Sending them for each input would make the cost of a wave of sessions quadratic: each new session would cause a
//! pass over all proxies, and a report of all sessions to all registries.

use crate::Millis;

/// Minimum interval (ms) between two reports of changed sessions to the other registries; a change after a longer
/// pause is reported at once. No directory therefore returns a draining proxy after this time, and the proxy closes
/// no connection before then.
const REPORT_INTERVAL: Millis = 100;

/// The work that is due because of the inputs handled so far.
#[derive(Debug, Default)]
pub(super) struct Batch {
    /// Proxies may lack updates.
    is_publication_due: bool,
    /// The sessions with this registry differ from those last reported.
    have_sessions_changed: bool,
    sessions_reported_at: Millis,
}

impl Batch {
    /// Requests that proxies are sent the updates that they lack at the end of the batch.
    pub(super) fn request_publication(&mut self) {
        self.is_publication_due = true;
    }

    /// Records that a session with this registry has begun, changed or ended.
    pub(super) fn sessions_changed(&mut self) {
        self.have_sessions_changed = true;
    }

    /// Returns whether a publication was requested, and clears the request.
    pub(super) fn take_publication(&mut self) -> bool {
        std::mem::take(&mut self.is_publication_due)
    }

    /// Returns whether the sessions are to be reported now. If so, they count as reported.
    pub(super) fn take_due_report(&mut self, now: Millis) -> bool {
        let is_due = self.have_sessions_changed && now >= self.sessions_reported_at + REPORT_INTERVAL;
        if is_due {
            self.have_sessions_changed = false;
            self.sessions_reported_at = now;
        }
        is_due
    }
}
