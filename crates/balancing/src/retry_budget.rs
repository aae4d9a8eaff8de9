//! The retry budget of a service: retries are limited to a ratio of the requests in a sliding window.
//!
//! The budget applies to all proxies together. Each proxy uses at most its share: the ratio of its own
//! requests, and an even share of the allowance, which does not depend on requests.

use crate::Millis;

/// Number of steps in which the window slides.
const BUCKETS: usize = 20;
/// Fraction of its share that a proxy uses. The rest is a margin because the proxies' windows are not aligned
/// and the number of proxies changes.
const SAFETY_FACTOR: f64 = 0.8;

/// The retry budget of a service, for all proxies together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window (ms).
    pub window_ms: Millis,
    /// Retries in each window on top of the ratio.
    pub allowance: f64,
}

/// Requests and retries of this proxy to one service within the window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    requests: [u32; BUCKETS],
    retries: [u32; BUCKETS],
    /// Number of the current bucket, counted from the clock's origin.
    current: u64,
}

impl RetryBudget {
    /// A budget with no requests in its window.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> RetryBudget {
        RetryBudget { limits, requests: [0; BUCKETS], retries: [0; BUCKETS], current: 0 }
    }

    /// Clears the buckets that have left the window. Returns the index of the current bucket.
    fn advance(&mut self, now: Millis) -> usize {
        let bucket_ms = (self.limits.window_ms / BUCKETS as u64).max(1);
        let current = now / bucket_ms;
        let steps = (current - self.current.min(current)).min(BUCKETS as u64);
        for age in 0..steps {
            let index = ((current - age) % BUCKETS as u64) as usize;
            (self.requests[index], self.retries[index]) = (0, 0);
        }
        self.current = current;
        (current % BUCKETS as u64) as usize
    }

    /// Counts a client's request (not each of its attempts).
    pub fn record_request(&mut self, now: Millis) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Whether one more retry fits into this proxy's share. `proxy_count` is the number of proxies that share
    /// the budget.
    pub fn has_capacity(&mut self, now: Millis, proxy_count: usize) -> bool {
        self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let allowance = self.limits.allowance / proxy_count.max(1) as f64;
        let limit = SAFETY_FACTOR * (self.limits.ratio * f64::from(requests) + allowance);
        f64::from(retries) + 1.0 <= limit
    }

    /// Takes one retry from the budget. Returns whether the budget allowed it.
    #[must_use]
    pub fn try_acquire(&mut self, now: Millis, proxy_count: usize) -> bool {
        let is_allowed = self.has_capacity(now, proxy_count);
        let index = self.advance(now);
        self.retries[index] += u32::from(is_allowed);
        is_allowed
    }
}
