//! Cold start: how much a backend that has just started is sent, and the turns that all of them take.

use crate::fleet::Backend;
use crate::interface::*;
use crate::Gateway;

/// Usual gaps between two attempts to one backend over which recent ones count: they keep turns even.
pub(crate) const TURN_GAPS: f64 = 2.0;
/// Fall times over which this gateway's rate of attempts is taken.
pub(crate) const RATE_SPAN: f64 = 2.0;

impl Gateway {
    /// A cold backend gets this gateway's usual turns, each earned by work it surely could do since the last.
    /// Over all gateways, that is its usual load for its age, far from falling over, however many they are.
    pub(crate) fn cold_allows(&self, backend: &Backend, usual_gap: f64) -> bool {
        let safety = &self.settings.safety;
        let warm = safety.cold_time as f64;
        let age = |at: Micros| (at.saturating_sub(backend.started) as f64).min(warm);
        if backend.started == 0 || age(self.now) >= warm {
            return true;
        }
        let able = |age: f64| age * (safety.cold_share + (1.0 - safety.cold_share) * age / (2.0 * warm));
        // Half an attempt at a time from all gateways together is safe: an all cold fleet must not starve.
        let answer = self.fleet.usual.iter().copied().fold(1.0, f64::max);
        let gap = usual_gap.min(TURN_GAPS * answer * f64::from(self.settings.gateways));
        able(age(self.now)) - able(age(backend.sent_at)) >= gap * backend.phase
    }

    /// The time over which a backend's recent attempts fade (us): some usual gaps between two of them.
    pub(crate) fn turn(&self) -> f64 {
        let span = RATE_SPAN * self.settings.safety.fall_time.max(1) as f64;
        TURN_GAPS * self.ready() * span
            / (self.fleet.sent_lately * self.faded(self.fleet.sent_at, span)).max(1e-9)
    }

    pub(crate) fn ready(&self) -> f64 {
        self.fleet.backends.values().filter(|backend| !backend.told_gone).count() as f64
    }
}
