//! Tracks since when a proxy has lacked the newest state, backend list or membership of this registry.
//!
//! A proxy's primary registry may be partitioned from the store and still send backend lists all the time. Each kind
//! of update therefore has its own timer, which is reset only when the proxy has received a newer version of that
//! kind.

use crate::Millis;

/// A registry that is not the primary of a proxy sends an update only after this delay (ms), and only if the proxy
/// has not received it from another registry by then.
pub const FALLBACK_DELAY: Millis = 600;

/// The fallback delay (ms) for a proxy that has no state or no list yet. When many proxies start at once, their
/// primary may take longer than [`FALLBACK_DELAY`] to serve all of them, and each other registry would send all of
/// them the full state and list as well. The end of the connection to a failed primary is detected within 1,100 ms,
/// after which the proxy takes another registry as its primary.
pub const FIRST_FALLBACK_DELAY: Millis = 1_800;

/// A set of kinds of updates: those that a proxy lacks, or those that are due for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateKinds {
    /// Of the control state.
    pub state: bool,
    /// Of the backend list.
    pub backend_list: bool,
    /// Of the membership.
    pub membership: bool,
}

/// For each kind of update, since when the proxy has lacked it (ms); `None` while it is up to date.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StalenessTimers {
    state: Option<Millis>,
    backend_list: Option<Millis>,
    membership: Option<Millis>,
}

impl StalenessTimers {
    /// Handles a poll that reports a newer state, or another list, than the poll before.
    pub fn on_poll(&mut self, has_newer_state: bool, has_other_list: bool) {
        if has_newer_state {
            self.state = None;
        }
        if has_other_list {
            self.backend_list = None;
        }
    }

    /// Starts the timers of the kinds that are missing now, and resets those of the others.
    pub fn update(&mut self, now: Millis, missing: UpdateKinds) {
        self.state = missing.state.then(|| self.state.unwrap_or(now));
        self.backend_list = missing.backend_list.then(|| self.backend_list.unwrap_or(now));
        self.membership = missing.membership.then(|| self.membership.unwrap_or(now));
    }

    /// The kinds that have been missing for [`FALLBACK_DELAY`] or longer.
    pub fn overdue(&self, now: Millis) -> UpdateKinds {
        self.missing_for(now, FALLBACK_DELAY)
    }

    /// The kinds that have been missing for `delay` (ms) or longer.
    pub fn missing_for(&self, now: Millis, delay: Millis) -> UpdateKinds {
        let is_overdue = |since: Option<Millis>| since.is_some_and(|since| now >= since + delay);
        UpdateKinds {
            state: is_overdue(self.state),
            backend_list: is_overdue(self.backend_list),
            membership: is_overdue(self.membership),
        }
    }

    /// Resets the timer of the state, because it has been sent.
    pub fn reset_state(&mut self) {
        self.state = None;
    }

    /// Resets the timer of the backend list, because it has been sent.
    pub fn reset_backend_list(&mut self) {
        self.backend_list = None;
    }

    /// Resets the timer of the membership, because it has been sent.
    pub fn reset_membership(&mut self) {
        self.membership = None;
    }
}
