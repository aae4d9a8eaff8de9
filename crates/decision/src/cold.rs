//! Cold start: how much a backend that has just started is sent, and the turns that all of them take.

use crate::fleet::Backend;
use crate::interface::*;
use crate::Gateway;

const TURN_GAPS: f64 = 2.0; // mean gaps between two attempts to a backend over which recent attempts decay
const RATE_SPAN: f64 = 2.0; // overload times over which this gateway's rate of attempts is measured
const MIN_CAPACITY: f64 = 0.75; // of a fleet, in warm backends: if all warm up, they can't take its full load
const MAX_AHEAD: f64 = 0.6; // of the overload multiple: how far responses may raise the capacity for an age

impl Gateway {
    /// A cold backend gets turns by what it can do for its age, each earned since the last. Only then the gap
    /// between turns is asked for, as that looks at the whole fleet.
    pub(crate) fn cold_allows(&self, backend: &Backend, gap: impl Fn() -> f64) -> bool {
        let age = self.age(backend, self.now);
        if age >= self.settings.safety.slow_start_time as f64 {
            return true;
        }
        let able = |at: Micros| {
            let age = self.age(backend, at);
            age * (self.settings.safety.slow_start_share + self.warmth(age)) / 2.0
        };
        let earned = (able(self.now) - able(backend.recent.at)) * self.capacity(backend) / self.warmth(age);
        earned >= gap() * backend.phase
    }

    /// How long ago a backend started, up to the time by which all are warm.
    fn age(&self, backend: &Backend, at: Micros) -> f64 {
        let warm = self.settings.safety.slow_start_time;
        let since = if backend.started == 0 { warm } else { at.saturating_sub(backend.started).min(warm) };
        since as f64
    }

    /// Part of its warm capacity that a backend surely has at an age.
    fn warmth(&self, age: f64) -> f64 {
        let safety = &self.settings.safety;
        safety.slow_start_share + (1.0 - safety.slow_start_share) * age / safety.slow_start_time.max(1) as f64
    }

    /// Part of its warm capacity that a backend is taken to have: more than for its age where its answers say
    /// so, but no more than is safe where only its age is right.
    fn capacity(&self, backend: &Backend) -> f64 {
        let warmth = self.warmth(self.age(backend, self.now));
        let most = MAX_AHEAD * self.settings.safety.overload_multiple * warmth;
        backend.speed.min(most).min(1.0).max(warmth)
    }

    /// What all ready backends can do, in warm ones.
    pub(crate) fn able(&self) -> f64 {
        self.over_ready(|backend| self.capacity(backend)).max(MIN_CAPACITY * self.ready())
    }

    /// Time between two attempts to a backend that is warm (us), where each gets the part that it can do.
    pub(crate) fn cold_gap(&self) -> f64 {
        let warm = self.turn() / TURN_GAPS / self.ready() * self.fleet.able.value.max(self.able());
        // Half an attempt at a time from all gateways together is safe: an all cold fleet must not starve.
        let answer = self.fleet.usual.iter().copied().fold(1.0, f64::max);
        warm.min(TURN_GAPS * answer * f64::from(self.settings.gateways))
    }

    /// The time over which a backend's recent attempts fade (us): some usual gaps between two of them.
    pub(crate) fn turn(&self) -> f64 {
        let span = self.rate_span();
        TURN_GAPS * self.ready() * span / self.fleet.sent.left(self.now, span).max(1e-9)
    }

    /// The time over which this gateway's rate of attempts is taken (us).
    pub(crate) fn rate_span(&self) -> f64 {
        RATE_SPAN * self.settings.safety.overload_time.max(1) as f64
    }

    pub(crate) fn ready(&self) -> f64 {
        self.over_ready(|_| 1.0)
    }

    pub(crate) fn over_ready(&self, figure: impl Fn(&Backend) -> f64) -> f64 {
        let ready = |backend: &&Backend| backend.entry.condition == Condition::Ready;
        self.fleet.backends.values().filter(ready).map(figure).sum()
    }
}
