//! Cold backends: they bear a few requests a second of all ingresses together, so each ingress has a part of that few,
//! cut by rank; ranks differ from backend to backend, so that no ingress is always the one without.

use crate::Millis;
use std::collections::VecDeque;

/// Every span of this length is held to the rate (ms).
const SPAN: Millis = 1_000;
/// Ways differ in length: what was sent a little more than a span ago may arrive within it.
const SLACK: Millis = 120;

#[derive(Clone, Debug, Default)]
pub struct Cold {
    until: Millis,
    /// Until then it is taken for cold, whatever an older list says.
    doubted_until: Millis,
    sent: VecDeque<Millis>,
}

impl Cold {
    pub fn set(&mut self, until: Millis) {
        self.until = until;
    }

    /// It may have become cold just now.
    pub fn doubt(&mut self, until: Millis) {
        self.doubted_until = self.doubted_until.max(until);
    }

    pub fn is(&self, now: Millis) -> bool {
        now < self.until || now < self.doubted_until
    }

    pub(crate) fn sent(&mut self, now: Millis) {
        while self.sent.front().is_some_and(|at| at + SPAN + SLACK <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }

    /// Whether one more fits, with `part` of them a span.
    pub fn room(&self, now: Millis, part: u32) -> bool {
        let lately = self.sent.iter().filter(|at| **at + SPAN + SLACK > now).count();
        lately < part as usize
    }
}

/// This ingress's part of what a cold backend bears a second: `rate` cut over `members`, by rank.
pub fn part(seed: u64, rate: f64, me: u32, members: &[u32]) -> u32 {
    if members.binary_search(&me).is_err() {
        return 0;
    }
    let weight = |proxy_id: u32| {
        let mut x = seed ^ u64::from(proxy_id).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x ^ (x >> 27)
    };
    let mine = weight(me);
    let rank = members.iter().filter(|proxy_id| weight(**proxy_id) > mine).count();
    let whole = rate.max(0.0) as usize;
    let (each, rest) = (whole / members.len(), whole % members.len());
    (each + usize::from(rank < rest)) as u32
}
