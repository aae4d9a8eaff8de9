//! A sliding window counter: two fixed windows, of which the previous one is weighted by the fraction of it
//! that the sliding window covers.

use crate::{Admission, Limit, Millis};

/// Requests admitted in the current and in the previous fixed window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowCounts {
    /// Requests in the current window.
    pub current: f64,
    /// Requests in the previous window.
    pub previous: f64,
}

impl WindowCounts {
    /// One request, in the current window.
    pub(crate) const ONE_REQUEST: WindowCounts = WindowCounts { current: 1.0, previous: 0.0 };

    /// Whether neither window has a request.
    pub fn is_empty(self) -> bool {
        self.current + self.previous <= 0.0
    }
}

/// A tenant's counter. All calls on one counter must pass a limit with the same window length, which
/// determines the window that a time belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlidingWindow {
    /// Number of the current window, counted from the clock's origin.
    index: u64,
    counts: WindowCounts,
}

impl SlidingWindow {
    /// Makes the window that contains `now` the current one.
    fn advance(&mut self, now: Millis, limit: Limit) {
        let index = now / limit.window_ms;
        if index != self.index {
            let previous = if index == self.index + 1 { self.counts.current } else { 0.0 };
            self.counts = WindowCounts { current: 0.0, previous };
            self.index = index;
        }
    }

    /// Estimated number of requests in the sliding window that ends now, assuming an even distribution within
    /// the previous fixed window.
    pub fn estimate(&mut self, now: Millis, limit: Limit) -> f64 {
        self.advance(now, limit);
        let elapsed_fraction = (now % limit.window_ms) as f64 / limit.window_ms as f64;
        self.counts.previous * (1.0 - elapsed_fraction) + self.counts.current
    }

    /// Counts one request if the limit allows it.
    pub fn try_increment(&mut self, now: Millis, limit: Limit) -> Admission {
        if self.estimate(now, limit) + 1.0 <= limit.max_requests {
            self.counts.current += 1.0;
            return Admission::Admitted;
        }
        Admission::Denied { retry_after_ms: self.retry_after_ms(now, limit) }
    }

    /// Time until one more request can be admitted, if no other is admitted before (ms, at least 1).
    fn retry_after_ms(&self, now: Millis, limit: Limit) -> Millis {
        let window_ms = limit.window_ms as f64;
        let elapsed_ms = (now % limit.window_ms) as f64;
        let WindowCounts { current, previous } = self.counts;
        let remaining_for_previous = limit.max_requests - 1.0 - current;
        let capacity_at_ms = if remaining_for_previous >= 0.0 && previous > 0.0 {
            // Within this window, when the weight of the previous window is low enough.
            window_ms * (1.0 - remaining_for_previous / previous)
        } else {
            // Within the next window, when the weight of this window is low enough.
            window_ms + window_ms * (1.0 - (limit.max_requests - 1.0) / current.max(1.0)).max(0.0)
        };
        (capacity_at_ms - elapsed_ms).max(1.0).ceil() as Millis
    }

    /// The larger count of two counters of the same requests, for each of the two windows.
    #[must_use]
    pub fn max(mut self, mut other: SlidingWindow, now: Millis, limit: Limit) -> SlidingWindow {
        self.advance(now, limit);
        other.advance(now, limit);
        let counts = WindowCounts {
            current: self.counts.current.max(other.counts.current),
            previous: self.counts.previous.max(other.counts.previous),
        };
        SlidingWindow { index: self.index, counts }
    }

    /// Adds requests that were admitted elsewhere, even beyond the limit.
    pub fn record(&mut self, now: Millis, limit: Limit, admitted: WindowCounts) {
        self.advance(now, limit);
        self.counts.current += admitted.current;
        self.counts.previous += admitted.previous;
    }

    /// The counts of the current and the previous window.
    pub fn counts(&mut self, now: Millis, limit: Limit) -> WindowCounts {
        self.advance(now, limit);
        self.counts
    }
}
