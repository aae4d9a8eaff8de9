//! The newest list of backends that any registry has received from the platform.
//!
//! [`BackendListCache`] decides which registry polls the platform, how often, and which of several lists is the
//! newest; `daemon` makes the calls and sends lists to peers. [`change_between`] computes the change from one list to
//! another.

mod change;

pub use change::{change_between, digest_of};

use crate::Millis;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Backend, BackendList, ListDigest};

/// The interval between two polls of the platform while the list changes (ms).
const POLL_INTERVAL: Millis = 500;
/// The list counts as changing for this time after a change (ms), because changes mostly come in series.
const CHANGING_FOR: Millis = 4_000;
/// A list that another registry polls for counts as stale once it is older than the longest interval between polls by
/// this margin (ms); this registry then polls too. A poll may take 900 ms, and reports to peers are 700 ms apart.
const STALE_MARGIN: Millis = 1_200;
/// The backoff after a failed poll (ms), doubled with each failure in a row up to the maximum.
const INITIAL_BACKOFF: Millis = 400;
const MAX_BACKOFF: Millis = 3_000;
/// Maximum number of times that the backoff is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// A list, and when it was polled by this registry's clock.
#[derive(Clone, Debug)]
struct PolledList {
    polled_at: Millis,
    list: BackendList,
}

/// The newest list, and when the platform is to be polled for the next one.
#[derive(Clone, Debug)]
pub struct BackendListCache {
    /// The interval between two polls while the list stays the same (ms).
    max_interval: Millis,
    newest: Option<PolledList>,
    /// When the list last changed.
    changed_at: Millis,
    next_poll_at: Millis,
    consecutive_failures: u32,
    is_polling: bool,
}

impl BackendListCache {
    /// A cache without a list. Polls are `max_interval` (ms) apart while the list stays the same, and closer while it
    /// changes.
    pub fn new(max_interval: Millis) -> BackendListCache {
        BackendListCache {
            max_interval: max_interval.max(POLL_INTERVAL),
            newest: None,
            changed_at: 0,
            next_poll_at: 0,
            consecutive_failures: 0,
            is_polling: false,
        }
    }

    fn poll_interval(&self, now: Millis) -> Millis {
        if now < self.changed_at + CHANGING_FOR {
            POLL_INTERVAL
        } else {
            self.max_interval
        }
    }

    /// Whether `local`, one of the connected `registries`, is to poll now. The registry with the lowest address polls
    /// for all of them; another one polls while it receives no fresh list. Only one poll runs at a time.
    pub fn is_poll_due(&self, now: Millis, local: Ipv4Addr, registries: &[Ipv4Addr]) -> bool {
        let is_poller = registries.iter().min().is_none_or(|lowest| *lowest == local);
        let is_fresh = self
            .newest
            .as_ref()
            .is_some_and(|newest| now < newest.polled_at + self.max_interval + STALE_MARGIN);
        !self.is_polling && now >= self.next_poll_at && (is_poller || !is_fresh)
    }

    /// Records that a poll has been sent.
    pub fn poll_started(&mut self) {
        self.is_polling = true;
    }

    /// Handles the response to a poll that was sent at `started_at`. Returns whether the list differs from the one
    /// before.
    pub fn poll_succeeded(&mut self, now: Millis, started_at: Millis, mut backends: Vec<Backend>) -> bool {
        self.is_polling = false;
        self.consecutive_failures = 0;
        // The remaining time of a slow start counts from when the platform wrote the page. This may be long after the
        // poll was sent, such as for the last of many pages from a distant platform. Counted from the response, a
        // slow start may end late, but never early.
        let elapsed = now.saturating_sub(started_at);
        for backend in backends.iter_mut().filter(|backend| backend.slow_start_left_ms > 0) {
            backend.slow_start_left_ms += elapsed;
        }
        backends.sort_by(|a, b| a.id.cmp(&b.id));
        let digest = digest_of(&backends, started_at);
        let is_changed = self.replace_if_newer(now, started_at, BackendList { digest, age_ms: 0, backends });
        self.next_poll_at = now.max(started_at + self.poll_interval(now));
        is_changed
    }

    /// Handles a poll that was refused or not answered. Returns whether this is the first failure in a row.
    pub fn poll_failed(&mut self, now: Millis) -> bool {
        self.is_polling = false;
        self.consecutive_failures += 1;
        let backoff = INITIAL_BACKOFF << self.consecutive_failures.min(MAX_DOUBLINGS);
        self.next_poll_at = now + backoff.min(MAX_BACKOFF);
        self.consecutive_failures == 1
    }

    /// Merges the list of a peer. A list without backends only reports that the peer's last list is still current.
    /// Returns whether the list differs from the one before.
    pub fn merge_peer_list(&mut self, now: Millis, list: BackendList) -> bool {
        let polled_at = now.saturating_sub(list.age_ms);
        match &mut self.newest {
            Some(newest) if list.backends.is_empty() => {
                if newest.list.digest == list.digest {
                    newest.polled_at = polled_at.max(newest.polled_at);
                }
                false
            }
            _ => self.replace_if_newer(now, polled_at, list),
        }
    }

    /// The newest list, with its present age.
    pub fn newest(&self, now: Millis) -> Option<BackendList> {
        let newest = self.newest.as_ref()?;
        Some(BackendList { age_ms: now.saturating_sub(newest.polled_at), ..newest.list.clone() })
    }

    /// The newest list's digest and age, without its backends: for peers that have the list already.
    pub fn newest_without_backends(&self, now: Millis) -> Option<BackendList> {
        let newest = self.newest.as_ref()?;
        let age_ms = now.saturating_sub(newest.polled_at);
        Some(BackendList { digest: newest.list.digest, age_ms, backends: Vec::new() })
    }

    /// The digest of the newest list, or [`ListDigest::NONE`] without a list.
    pub fn digest(&self) -> ListDigest {
        self.newest.as_ref().map_or(ListDigest::NONE, |newest| newest.list.digest)
    }

    fn replace_if_newer(&mut self, now: Millis, polled_at: Millis, list: BackendList) -> bool {
        match &mut self.newest {
            Some(newest) if polled_at < newest.polled_at => false,
            // The content is the same, so only the time is updated.
            Some(newest) if newest.list.digest == list.digest => {
                newest.polled_at = polled_at;
                false
            }
            newest => {
                *newest = Some(PolledList { polled_at, list });
                self.changed_at = now;
                true
            }
        }
    }
}
