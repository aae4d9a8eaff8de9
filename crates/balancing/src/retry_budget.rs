//! The retry budget of a service: retries are limited to a ratio of the requests in a sliding window.
//!
//! The budget holds for all proxies together. Each proxy keeps to its part: the ratio of its own requests, and an even
//! share of the allowance that does not depend on requests.

use crate::Millis;

/// The window slides in so many steps.
const BUCKETS: usize = 20;
/// The fraction of its part that a proxy uses: windows of proxies slide apart, and members come and go.
const SAFETY_FACTOR: f64 = 0.8;

/// What the budget of a service allows, to all proxies together.
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
    /// Number of the current bucket since the clock's zero.
    current: u64,
}

impl RetryBudget {
    /// A budget with no requests in its window.
    #[must_use]
    pub fn new(limits: RetryBudgetLimits) -> RetryBudget {
        RetryBudget { limits, requests: [0; BUCKETS], retries: [0; BUCKETS], current: 0 }
    }

    /// Clears the buckets that have left the window; returns the index of the current one.
    fn advance(&mut self, now: Millis) -> usize {
        let bucket_ms = (self.limits.window_ms / BUCKETS as u64).max(1);
        let current = now / bucket_ms;
        let steps = (current - self.current.min(current)).min(BUCKETS as u64);
        for step in 0..steps {
            let index = ((current - step) % BUCKETS as u64) as usize;
            (self.requests[index], self.retries[index]) = (0, 0);
        }
        self.current = current;
        (current % BUCKETS as u64) as usize
    }

    /// Counts a client's request, once for all of its attempts.
    pub fn record_request(&mut self, now: Millis) {
        let index = self.advance(now);
        self.requests[index] += 1;
    }

    /// Whether one more retry fits into this proxy's part, `proxy_count` being the number of proxies that share the
    /// budget.
    pub fn has_capacity(&mut self, now: Millis, proxy_count: usize) -> bool {
        self.advance(now);
        let requests: u32 = self.requests.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let allowance = self.limits.allowance / proxy_count.max(1) as f64;
        let limit = SAFETY_FACTOR * (self.limits.ratio * f64::from(requests) + allowance);
        f64::from(retries) + 1.0 <= limit
    }

    /// Takes one retry from the budget; returns whether there was one.
    #[must_use]
    pub fn try_acquire(&mut self, now: Millis, proxy_count: usize) -> bool {
        let is_allowed = self.has_capacity(now, proxy_count);
        let index = self.advance(now);
        self.retries[index] += u32::from(is_allowed);
        is_allowed
    }
}
