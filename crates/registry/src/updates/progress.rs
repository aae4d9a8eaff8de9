//! Tracks the versions that one proxy has, and decides which updates are due for it.

use super::staleness::{StalenessTimers, UpdateKinds, FIRST_FALLBACK_DELAY};
use crate::Millis;
use violetyoke_transport::messages::{ListDigest, MembershipDigest, Ownership, Revision};

/// The newest versions that this registry has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LatestVersions {
    /// The control state, if there is one.
    pub state: Option<Revision>,
    /// The digest of the backend list, or [`ListDigest::NONE`] without a list.
    pub backend_list: ListDigest,
    /// The membership.
    pub membership: MembershipDigest,
    /// The ownership in the membership. Its changes are never delayed.
    pub ownership: Ownership,
}

/// The versions that a proxy reports in a poll.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyVersions {
    /// The revision of its control state.
    pub state: Revision,
    /// The digest of its backend list.
    pub backend_list: ListDigest,
    /// The membership that it received from this registry.
    pub membership: MembershipDigest,
}

/// An update that was sent counts as lost only after this time (ms), because connections deliver in order and a large
/// list takes long on a slow link. Until then, a poll that reports the same versions as the one before is assumed to
/// have crossed the update.
pub const RESEND_AFTER: Millis = 2_000;

/// The versions that one proxy was sent and has reported, and since when it has been behind.
///
/// ```
/// use violetyoke_registry::updates::{LatestVersions, ProxyProgress, ProxyVersions, FALLBACK_DELAY};
/// use violetyoke_transport::messages::{Epoch, Revision};
///
/// let revision = Revision { epoch: Epoch(1), sequence: 2 };
/// let latest = LatestVersions { state: Some(revision), ..LatestVersions::default() };
/// let mut proxy = ProxyProgress::default();
/// // The proxy has an older state and another primary registry, which gets time to send the update.
/// let older = Revision { epoch: Epoch(1), sequence: 1 };
/// proxy.on_poll(900, ProxyVersions { state: older, ..ProxyVersions::default() }, false);
/// assert!(!proxy.due_updates(1_000, &latest).state);
/// assert!(proxy.due_updates(1_000 + FALLBACK_DELAY, &latest).state);
/// // A state that was sent is not due again.
/// proxy.state_sent(1_600, revision);
/// assert!(!proxy.due_updates(2_000 + FALLBACK_DELAY, &latest).state);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ProxyProgress {
    /// Whether this is the proxy's primary registry, which sends updates without delay.
    is_primary: bool,
    /// The versions that the proxy has, or will have once it has received all updates that were sent.
    sent: ProxyVersions,
    /// The versions in the proxy's last poll.
    reported: ProxyVersions,
    /// The ownership in the last membership that the proxy was sent.
    sent_ownership: Ownership,
    timers: StalenessTimers,
    /// When the last state and the last list were sent.
    sent_at: SentTimes,
}

#[derive(Clone, Copy, Debug, Default)]
struct SentTimes {
    state: Option<Millis>,
    backend_list: Option<Millis>,
}

/// Whether an update that was sent at `sent_at` may still be in transit.
fn is_in_transit(now: Millis, sent_at: Option<Millis>) -> bool {
    sent_at.is_some_and(|at| now < at + RESEND_AFTER)
}

impl ProxyProgress {
    /// Handles a poll, in which the proxy reports the versions that it has. `is_primary`: whether this is its primary
    /// registry.
    pub fn on_poll(&mut self, now: Millis, versions: ProxyVersions, is_primary: bool) {
        let has_newer_state = versions.state > self.reported.state;
        let has_other_list = versions.backend_list != self.reported.backend_list;
        self.timers.on_poll(has_newer_state, has_other_list);
        self.is_primary = is_primary;
        if versions.state != self.reported.state || !is_in_transit(now, self.sent_at.state) {
            self.sent.state = versions.state;
        }
        if has_other_list || !is_in_transit(now, self.sent_at.backend_list) {
            self.sent.backend_list = versions.backend_list;
        }
        // A membership is small, so it is sent again instead of being assumed to be in transit.
        self.sent.membership = versions.membership;
        self.reported = versions;
    }

    /// Makes a state or a list due again that was sent more than [`RESEND_AFTER`] ago and has not been reported.
    /// Memberships are left out: proxies report them only in polls that have another cause.
    fn expire_sent(&mut self, now: Millis) {
        if !is_in_transit(now, self.sent_at.state) {
            self.sent.state = self.reported.state;
        }
        if !is_in_transit(now, self.sent_at.backend_list) {
            self.sent.backend_list = self.reported.backend_list;
        }
    }

    /// Makes the update from the state `known` due at once, even if it was sent before, because the proxy waits for
    /// it.
    pub fn request_state_since(&mut self, known: Revision) {
        self.sent.state = known;
        self.sent_at.state = None;
        self.is_primary = true;
    }

    /// The revision of the state in the proxy's last poll.
    pub fn reported_state(&self) -> Revision {
        self.reported.state
    }

    /// The versions to which the next updates apply.
    pub fn sent(&self) -> ProxyVersions {
        self.sent
    }

    /// Decides which updates are due at `now`: those that the proxy lacks, at once if this is its primary registry,
    /// and after [`super::FALLBACK_DELAY`] otherwise.
    #[must_use]
    pub fn due_updates(&mut self, now: Millis, latest: &LatestVersions) -> UpdateKinds {
        self.expire_sent(now);
        let missing = self.missing(latest);
        self.timers.update(now, missing);
        let overdue = self.overdue(now);
        // A proxy without a membership from this registry has just started. It does not serve requests until all
        // registries have sent theirs.
        let is_membership_urgent =
            self.sent.membership == MembershipDigest::NONE || self.sent_ownership != latest.ownership;
        UpdateKinds {
            state: missing.state && (self.is_primary || overdue.state),
            backend_list: missing.backend_list && (self.is_primary || overdue.backend_list),
            membership: missing.membership && (self.is_primary || is_membership_urgent || overdue.membership),
        }
    }

    /// The kinds of updates that the proxy has lacked for so long that a registry other than its primary sends them.
    fn overdue(&self, now: Millis) -> UpdateKinds {
        let overdue = self.timers.overdue(now);
        let overdue_first = self.timers.missing_for(now, FIRST_FALLBACK_DELAY);
        let has_state = self.reported.state != Revision::default();
        let has_list = self.reported.backend_list != ListDigest::NONE;
        UpdateKinds {
            state: if has_state { overdue.state } else { overdue_first.state },
            backend_list: if has_list { overdue.backend_list } else { overdue_first.backend_list },
            membership: overdue.membership,
        }
    }

    fn missing(&self, latest: &LatestVersions) -> UpdateKinds {
        let has_list = latest.backend_list != ListDigest::NONE;
        UpdateKinds {
            state: latest.state.is_some_and(|state| state > self.sent.state),
            backend_list: has_list && latest.backend_list != self.sent.backend_list,
            membership: latest.membership != self.sent.membership,
        }
    }

    /// Records that the state of that revision has been sent.
    pub fn state_sent(&mut self, now: Millis, revision: Revision) {
        self.sent_at.state = Some(now);
        self.sent.state = revision;
        self.timers.reset_state();
    }

    /// Records that the backend list with that digest has been sent.
    pub fn backend_list_sent(&mut self, now: Millis, digest: ListDigest) {
        self.sent_at.backend_list = Some(now);
        self.sent.backend_list = digest;
        self.timers.reset_backend_list();
    }

    /// Records that the membership with that digest and that ownership has been sent.
    pub fn membership_sent(&mut self, digest: MembershipDigest, ownership: Ownership) {
        self.sent.membership = digest;
        self.sent_ownership = ownership;
        self.timers.reset_membership();
    }
}

/// Whether all proxies have installed the state of revision `target` or a later one. `reported`: the revisions in
/// their last polls.
pub fn is_installed_by_all(target: Revision, reported: impl IntoIterator<Item = Revision>) -> bool {
    reported.into_iter().all(|revision| revision >= target)
}
