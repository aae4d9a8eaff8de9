//! The schedule of the long polls to the discovery service: when the next call is made, and what it requests. There is no
//! I/O here and no clock; the caller makes the calls and waits.
//!
//! The gateways of a fleet can overload discovery, as all of them start, or reconnect, within a second. A call for the
//! complete list costs discovery several times as much as a call for changes. A call that times out costs as much as one
//! that is answered. Calls that are rejected and retried at once keep the queue full for all gateways. The schedule therefore
//! starts from a known version where there is one, and retries rejected calls with exponential backoff and jitter, from a
//! first pause that grows with the size of the fleet.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// The maximum time that discovery holds a call until there are changes. Short, so that a lost call is soon repeated; a
/// call that continues a running watch costs discovery nothing.
pub const POLL_WAIT: Duration = Duration::from_millis(3000);
/// The minimum time between calls without changes, so that a discovery service that does not hold calls is not polled in a
/// busy loop.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after the first of consecutive lost calls. It is short enough for the next call to continue the watch at
/// discovery, as only the connection may have been lost.
const FIRST_LOST_PAUSE: Duration = Duration::from_millis(50);
/// The mean pause after the first of consecutive rejected calls, for each gateway of the fleet, as their calls arrive at the
/// same time. The product is limited by the two values below, and doubles with each further rejection up to
/// `MAX_REJECTED_PAUSE`.
const REJECTED_PAUSE_PER_GATEWAY: Duration = Duration::from_millis(20);
const MIN_FIRST_REJECTED_PAUSE: Duration = Duration::from_millis(1000);
const MAX_FIRST_REJECTED_PAUSE: Duration = Duration::from_secs(4);
const MAX_REJECTED_PAUSE: Duration = Duration::from_secs(16);
/// The mean pause after a call that discovery accepted but did not answer in time, and the maximum mean pause after lost
/// calls. The gateway may soon be regarded as informed of changes in the list, so the next call must not be much later.
const TIMED_OUT_PAUSE: Duration = Duration::from_millis(3500);
/// Random pauses are uniform between this fraction of the mean and the same distance above it.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Why a call returned no list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollFailure {
    /// Discovery rejected the call at once.
    Rejected,
    /// Discovery accepted the call, but failed it later without an answer.
    TimedOut,
    /// There was no reply, or an invalid one.
    NoValidReply,
}

/// The poll schedule of one gateway.
pub struct PollSchedule {
    version: Option<u64>,
    /// The mean pause after the first of consecutive rejected calls.
    first_rejected_pause: Duration,
    consecutive_failures: u32,
    rng: Pcg32,
}

impl PollSchedule {
    /// `known` is the version of the list that the gateway already has; with `None`, the first call requests the complete
    /// list. The first call is due at once in a fleet of any size, as the platform regards gateways that do not call as
    /// informed.
    pub fn new(known: Option<u64>, gateways: u16, seed: u64) -> PollSchedule {
        let first_rejected_pause = (REJECTED_PAUSE_PER_GATEWAY * u32::from(gateways))
            .clamp(MIN_FIRST_REJECTED_PAUSE, MAX_FIRST_REJECTED_PAUSE);
        PollSchedule {
            version: known,
            first_rejected_pause,
            consecutive_failures: 0,
            rng: Pcg32::seed_from_u64(seed),
        }
    }

    /// The path and the query of the next call.
    pub fn path(&self) -> String {
        match self.version {
            None => "/api/targets".to_string(),
            Some(version) => format!("/api/targets?index={version}&wait={}", POLL_WAIT.as_millis()),
        }
    }

    /// A call has returned the list at `version` after the time `took`. Returns the pause before the next call.
    pub fn on_answer(&mut self, version: u64, has_changes: bool, took: Duration) -> Duration {
        // A lower version means that discovery has restarted its count. A call from the known version would be held until
        // the count reaches it, so the complete list is requested.
        let is_restarted = self.version.is_some_and(|known| version < known);
        (self.version, self.consecutive_failures) = (Some(version).filter(|_| !is_restarted), 0);
        if has_changes || took >= MIN_POLL_INTERVAL {
            Duration::ZERO
        } else {
            MIN_POLL_INTERVAL
        }
    }

    /// A call has failed. Returns the pause before the next call, which continues from the known version.
    pub fn on_failure(&mut self, failure: PollFailure) -> Duration {
        let doublings = self.consecutive_failures.min(16);
        self.consecutive_failures += 1;
        let (first, longest) = match failure {
            PollFailure::Rejected => (self.first_rejected_pause, MAX_REJECTED_PAUSE),
            PollFailure::TimedOut => (TIMED_OUT_PAUSE, TIMED_OUT_PAUSE),
            PollFailure::NoValidReply if doublings == 0 => return FIRST_LOST_PAUSE,
            PollFailure::NoValidReply => (FIRST_LOST_PAUSE, TIMED_OUT_PAUSE),
        };
        let mean = (first * 2u32.pow(doublings)).min(longest);
        mean.mul_f64(MIN_JITTER_FACTOR + 2.0 * (1.0 - MIN_JITTER_FACTOR) * self.rng.random::<f64>())
    }

    /// The number of failed calls since the last answer.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }
}

#[cfg(test)]
mod tests;
