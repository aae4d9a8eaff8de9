//! Slow start: a backend that warms up gets a limited rate of requests from all proxies together.
//!
//! Each proxy gets a share of that rate by its rank among the members. Ranks differ between backends, so that
//! no proxy is always without a share.

use crate::Millis;
use siphasher::sip::SipHasher13;
use std::collections::VecDeque;
use std::hash::Hasher;

/// The rate is enforced in each interval of this length (ms).
const INTERVAL_MS: Millis = 1_000;
/// Network delays vary, so requests sent up to this long before an interval may arrive within it (ms).
const JITTER_MS: Millis = 120;

/// The warm-up of one backend, and the requests that this proxy recently sent to it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlowStart {
    /// End of the warm-up according to the newest list; 0 if the backend is not warming up.
    listed_until: Millis,
    /// The backend is assumed to warm up until this time, whatever the newest list says.
    assumed_until: Millis,
    /// Times at which requests were sent within the last interval.
    sent_at: VecDeque<Millis>,
}

impl SlowStart {
    /// Sets the end of the warm-up according to a list; 0 if the backend is not warming up.
    pub(crate) fn set_listed_until(&mut self, until: Millis) {
        self.listed_until = until;
    }

    /// Assumes that the backend warms up until this time: it may have been restarted, which lists show only
    /// after a lag.
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

    /// Whether one more request fits into this proxy's share of the rate (requests per second).
    pub(crate) fn has_capacity(&self, now: Millis, share: u32) -> bool {
        let recent = self.sent_at.iter().filter(|at| **at + INTERVAL_MS + JITTER_MS > now).count();
        recent < share as usize
    }
}

/// Hash of a backend's id, from which the members' ranks at this backend are computed.
#[must_use]
pub fn rank_seed(backend_id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(backend_id.as_bytes());
    hasher.finish()
}

/// This proxy's share of the slow-start rate of a backend (requests per second): `rate_per_s` divided evenly
/// among `members` (sorted). The remainder goes to the members of the highest rank, so that all shares add up
/// to the integer part of the rate. A proxy that is not a member has no session and no share; its former
/// share belongs to others.
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

/// Rendezvous weight of a member at a backend. Proxies of different versions must compute the same weights,
/// or their shares would add up to more than the rate.
fn rank_weight(rank_seed: u64, member: u32) -> u64 {
    let mut mixed = rank_seed ^ u64::from(member).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
