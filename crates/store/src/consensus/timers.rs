//! When a store sends its next heartbeat, and when it may next start an election or a reconfiguration.

use super::event::Millis;

const HEARTBEAT_INTERVAL: Millis = 150;

/// Times that decide when a heartbeat is due, and when an election or a reconfiguration may begin.
#[derive(Clone, Debug)]
pub(super) struct Timers {
    /// Since when no live leader is known; `None` while one is known, or while this store must not become a candidate.
    leaderless_since: Option<Millis>,
    /// No election or reconfiguration starts before this time.
    election_backoff_until: Millis,
    /// When this store last installed a replica set as its leader; its start if it never has.
    installed_at: Millis,
    /// `None` if the next heartbeat is due at once.
    heartbeat_sent_at: Option<Millis>,
}

impl Timers {
    pub(super) fn new(started_at: Millis) -> Timers {
        Timers {
            leaderless_since: None,
            election_backoff_until: 0,
            installed_at: started_at,
            heartbeat_sent_at: None,
        }
    }

    /// Stops the wait for a leader.
    pub(super) fn clear_leaderless(&mut self) {
        self.leaderless_since = None;
    }

    /// Restarts the wait for a leader.
    pub(super) fn restart_leaderless(&mut self, now: Millis) {
        self.leaderless_since = Some(now);
    }

    /// Since when no live leader is known. Starts the wait for a leader if none is under way.
    pub(super) fn leaderless_since(&mut self, now: Millis) -> Millis {
        *self.leaderless_since.get_or_insert(now)
    }

    pub(super) fn set_backoff(&mut self, until: Millis) {
        self.election_backoff_until = until;
    }

    pub(super) fn extend_backoff(&mut self, until: Millis) {
        self.election_backoff_until = self.election_backoff_until.max(until);
    }

    pub(super) fn is_backing_off(&self, now: Millis) -> bool {
        now < self.election_backoff_until
    }

    pub(super) fn on_installed(&mut self, now: Millis) {
        self.installed_at = now;
        self.leaderless_since = None;
    }

    pub(super) fn installed_at(&self) -> Millis {
        self.installed_at
    }

    /// Makes the next heartbeat due at once.
    pub(super) fn request_heartbeat(&mut self) {
        self.heartbeat_sent_at = None;
    }

    pub(super) fn is_heartbeat_due(&self, now: Millis) -> bool {
        self.heartbeat_sent_at.is_none_or(|sent_at| now >= sent_at + HEARTBEAT_INTERVAL)
    }

    pub(super) fn on_heartbeat_sent(&mut self, now: Millis) {
        self.heartbeat_sent_at = Some(now);
    }
}
