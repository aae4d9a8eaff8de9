//! Tracks the writes that a worker has not finished: how long they take, and whether they fail.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A disk is unhealthy while a write has taken longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_millis(600);

/// A write that is not on the disk yet, with the time of its request.
struct Unfinished<N> {
    number: N,
    requested_at: Instant,
}

/// The unfinished writes of one worker, which finishes them in order.
pub(super) struct PendingWrites<N> {
    unfinished: VecDeque<Unfinished<N>>,
    /// Whether the last attempt to write has failed.
    is_failing: bool,
}

impl<N> Default for PendingWrites<N> {
    fn default() -> PendingWrites<N> {
        PendingWrites { unfinished: VecDeque::new(), is_failing: false }
    }
}

impl<N: Copy + Ord> PendingWrites<N> {
    /// Records that a write is requested.
    pub(super) fn begin(&mut self, number: N) {
        self.unfinished.push_back(Unfinished { number, requested_at: Instant::now() });
    }

    /// Records that all writes up to this one are on the disk. Returns whether it is the first success after a failure.
    pub(super) fn finish(&mut self, number: N) -> bool {
        self.unfinished.retain(|unfinished| unfinished.number > number);
        std::mem::replace(&mut self.is_failing, false)
    }

    /// Records that a write has failed. Returns whether it is the first failure after a success.
    pub(super) fn fail(&mut self) -> bool {
        !std::mem::replace(&mut self.is_failing, true)
    }

    /// Whether the oldest unfinished write is still within the time-out.
    pub(super) fn is_in_time(&self) -> bool {
        self.unfinished.front().is_none_or(|oldest| oldest.requested_at.elapsed() < WRITE_TIMEOUT)
    }
}
