//! Slow start: a backend that warms up executes a few requests a second, of all proxies together.
//!
//! Each proxy gets a share of that rate by its rank among the members. Ranks differ from backend to backend, so that no
//! proxy is always the one without a share.

use crate::Millis;
use siphasher::sip::SipHasher13;
use std::collections::VecDeque;
use std::hash::Hasher;

/// The rate holds in every interval of this length (ms).
const INTERVAL_MS: Millis = 1_000;
/// Network delays differ: a request that was sent a little more than an interval ago may arrive within it (ms).
const JITTER_MS: Millis = 120;

/// The warm-up of one backend, and what this proxy sent it lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// End of the warm-up as the newest list has it; 0: not warming up.
    listed_until: Millis,
    /// Until then it is assumed to warm up, whatever an older list says.
    assumed_until: Millis,
    /// When requests were sent within the last interval.
    sent_at: VecDeque<Millis>,
}

impl SlowStart {
    /// A list says when the warm-up ends; 0 for a backend that is warm.
    pub(crate) fn set_listed_until(&mut self, until: Millis) {
        self.listed_until = until;
    }

    /// The backend may have been restarted just now, and a list that says so comes later.
    pub(crate) fn assume_until(&mut self, until: Millis) {
        self.assumed_until = self.assumed_until.max(until);
    }

    pub(crate) fn is_active(&self, now: Millis) -> bool {
        now < self.listed_until || now < self.assumed_until
    }

    pub(crate) fn record_sent(&mut self, now: Millis) {
        while self.sent_at.front().is_some_and(|at| at + INTERVAL_MS + JITTER_MS <= now) {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
    }

    /// Whether one more request fits into this proxy's share of the rate (requests a second).
    pub(crate) fn has_capacity(&self, now: Millis, share: u32) -> bool {
        let recent = self.sent_at.iter().filter(|at| **at + INTERVAL_MS + JITTER_MS > now).count();
        recent < share as usize
    }
}

/// The number that orders the members for one backend; drawn from the backend's id.
#[must_use]
pub fn rank_seed(backend_id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(backend_id.as_bytes());
    hasher.finish()
}

/// This proxy's share of what a warming backend takes a second: `rate_per_s` divided over `members` (sorted), the
/// remainder going to the members of the highest rank. The shares of all members add up to the whole part of the rate.
/// A proxy that is no member has no share: it has no session, and others have its share by then.
#[must_use]
pub fn rate_share(rank_seed: u64, rate_per_s: f64, proxy_id: u32, members: &[u32]) -> u32 {
    if members.binary_search(&proxy_id).is_err() {
        return 0;
    }
    let own_weight = rank_weight(rank_seed, proxy_id);
    let rank = members.iter().filter(|member| rank_weight(rank_seed, **member) > own_weight).count();
    let requests = rate_per_s.max(0.0) as usize;
    let (each, remainder) = (requests / members.len(), requests % members.len());
    (each + usize::from(rank < remainder)) as u32
}

/// Rendezvous weight of a member at a backend. All proxies of a mixed-version fleet must compute the same, or their
/// shares add up to more than the rate.
fn rank_weight(rank_seed: u64, member: u32) -> u64 {
    let mut mixed = rank_seed ^ u64::from(member).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
