//! When the watch on discovery makes its next call, and what that asks for. No I/O and no clock: the caller makes
//! the calls and waits.
//!
//! Discovery can be overbooked by its own callers. A call for the whole list costs it several times what a call for
//! changes does, one that outlasts its time-out has cost as much as one that was answered, and one that is turned
//! away and made again at once keeps the queue full for everyone. All gateways of a fleet start, and come back,
//! within a second. So a watch starts from the version that is known already, and calls that were turned away are
//! made again ever more rarely, at times drawn by chance from spans that grow with the fleet.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use std::time::Duration;

/// How long a call may wait for news: short, so that a call lost in silence is soon made anew. A call that goes on
/// with a watch costs discovery nothing.
pub const WAIT: Duration = Duration::from_millis(3000);
/// Pause after an answer without news that came too soon: an agent that does not wait must not be asked in a loop.
const SOON: Duration = Duration::from_millis(50);
/// Pause after the first call in a row that was lost, within the time in which the next call still goes on with the
/// watch: it may have been lost with its connection alone.
const AGAIN: Duration = Duration::from_millis(50);
/// Mean pause after the first call in a row that was turned away: for each gateway of the fleet, whose calls came at
/// the same time, the least and the most. It doubles with each further one, up to the longest.
const TURNED_AWAY_EACH: Duration = Duration::from_millis(20);
const TURNED_AWAY: Duration = Duration::from_millis(1000);
const MOST_TURNED_AWAY: Duration = Duration::from_secs(4);
const LONGEST_TURNED_AWAY: Duration = Duration::from_secs(16);
/// Mean pause after a call that discovery took and did not answer in time, and longest one after lost calls: what
/// such a call would have told may count as told soon, so the next may not come much later.
const TAKEN: Duration = Duration::from_millis(3500);
/// Drawn pauses lie between this part of their mean and as much above it.
const LEAST_PART: f64 = 0.5;

/// Why a call brought no list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PollFailure {
    /// Discovery said at once that it takes no call now.
    TurnedAway,
    /// Discovery took the call, and gave it up when it had waited in vain.
    Taken,
    /// No answer, or none that can be read.
    Lost,
}

/// One gateway's watch.
pub struct PollSchedule {
    version: Option<u64>,
    turned_away: Duration,
    failures: u32,
    chance: Pcg32,
}

impl PollSchedule {
    /// `known`: the version of the list that the gateway holds already; none: the whole list is asked for. The first
    /// call is due at once, in a fleet of any size: a gateway that does not ask counts as told.
    pub fn new(known: Option<u64>, gateways: u16, seed: u64) -> PollSchedule {
        let turned_away = (TURNED_AWAY_EACH * u32::from(gateways)).clamp(TURNED_AWAY, MOST_TURNED_AWAY);
        PollSchedule { version: known, turned_away, failures: 0, chance: Pcg32::seed_from_u64(seed) }
    }

    /// Path and query of the next call.
    pub fn path(&self) -> String {
        match self.version {
            None => "/api/targets".to_string(),
            Some(version) => format!("/api/targets?index={version}&wait={}", WAIT.as_millis()),
        }
    }

    /// An answer has brought the list up to `version`, so long after the call; returns the pause before the next.
    pub fn on_answer(&mut self, version: u64, news: bool, took: Duration) -> Duration {
        // One that counts anew from less than is known would be waited on for long: it is asked for all it has.
        let anew = self.version.is_some_and(|known| version < known);
        (self.version, self.failures) = (Some(version).filter(|_| !anew), 0);
        if news || took >= SOON {
            Duration::ZERO
        } else {
            SOON
        }
    }

    /// A call has failed; returns the pause before the next. What is held stays, and the next call goes on from it.
    pub fn on_failure(&mut self, failure: PollFailure) -> Duration {
        let doublings = self.failures.min(16);
        self.failures += 1;
        let (first, longest) = match failure {
            PollFailure::TurnedAway => (self.turned_away, LONGEST_TURNED_AWAY),
            PollFailure::Taken => (TAKEN, TAKEN),
            PollFailure::Lost if doublings == 0 => return AGAIN,
            PollFailure::Lost => (AGAIN, TAKEN),
        };
        let mean = (first * 2u32.pow(doublings)).min(longest);
        mean.mul_f64(LEAST_PART + 2.0 * (1.0 - LEAST_PART) * self.chance.random::<f64>())
    }

    /// Calls in a row that have failed.
    pub fn consecutive_failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
