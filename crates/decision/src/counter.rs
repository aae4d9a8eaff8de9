//! Counter health: one judgement for a silent, slow, crowded or refusing counter.

use crate::interface::*;
use crate::peers::NEWS_STAY;
use crate::Gateway;

/// Part of the counter's time-out after which an answer counts as late: before that, queues still drain.
const LATE_ANSWER: f64 = 0.5;
/// Bad answers in a row after which requests no longer wait for the counter, until a good one.
pub(crate) const UNWELL_AFTER: u32 = 2;
/// Factors on the spacing of calls with a bad and a good answer (in balance one in four is late), its fading
/// and its longest (us), and the windows up to which a customer's wait for a call counts.
const SPACING_UP: f64 = 1.5;
const SPACING_DOWN: f64 = 0.88;
const SPACING_FADE: f64 = 10e6;
const LONGEST_SPACING: f64 = 120e6;
pub(crate) const LONGEST_WAIT: f64 = 2.0;

#[derive(Default)]
pub(crate) struct CounterHealth {
    /// Time between a customer's calls from which each of its requests asks (us); 0: each does.
    pub(crate) spacing: f64,
    pub(crate) judged_at: Micros,
    pub(crate) spaced_at: Micros,
    pub(crate) bad: u32,
}

impl Gateway {
    pub(crate) fn spacing(&self) -> f64 {
        self.counter.spacing * self.faded(self.counter.judged_at, SPACING_FADE)
    }

    /// One judgement for a silent, slow, crowded or refusing counter: answers do not come in time.
    pub(crate) fn judge_counter(&mut self, outcome: Outcome, waited: Micros) {
        let timeout = self.settings.counter.map_or(1.0, |counter| counter.timeout as f64);
        let fade = self.faded(self.counter.judged_at, SPACING_FADE);
        let health = &mut self.counter;
        (health.spacing, health.judged_at) = (health.spacing * fade, self.now);
        let early = (waited as f64) < LATE_ANSWER * timeout;
        if outcome == Outcome::Ok && early {
            (health.bad, health.spacing) = (0, health.spacing * SPACING_DOWN);
        } else {
            health.bad += 1;
            // An answer lost early, spoilt or with its connection, does not tell of a crowd.
            // Calls made before the last step could take effect tell of the same crowd once more.
            let same = (self.now - health.spaced_at) as f64 <= waited as f64;
            if !(same || outcome == Outcome::Timeout && early) {
                health.spaced_at = self.now;
                health.spacing = (health.spacing * SPACING_UP).clamp(timeout, LONGEST_SPACING);
                let limits = &self.settings.limits;
                if limits.peer_messages && limits.peer_intake > 0.0 && health.spacing > timeout {
                    self.news.until = self.now + NEWS_STAY as Micros;
                }
            }
        }
    }
}
