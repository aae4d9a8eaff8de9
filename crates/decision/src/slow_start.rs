//! Slow start: when a backend that has just started gets its next attempt.

use crate::{backends::Backend, interface::*, Gateway};

const DECAY_GAPS: f64 = 2.0; // decay time of recent attempts, in mean intervals between two to a backend
const RATE_SPAN: f64 = 2.0; // time over which this gateway's attempt rate is measured, in overload times
const MIN_FLEET_CAPACITY: f64 = 0.75; // least, of a warm fleet's: one that warms up can't take the full load
const MAX_CAPACITY_FACTOR: f64 = 0.6; // of overload_multiple times the minimum for an age: the most estimated

impl Gateway {
    /// A backend that warms up gets an attempt once its capacity, integrated since its last one, reaches a
    /// mean attempt gap. `gap` is only called for such a backend, as it iterates over the fleet.
    pub(crate) fn slow_start_permits(&self, backend: &Backend, gap: impl Fn() -> f64) -> bool {
        let age = self.age(backend, self.now);
        if age >= self.settings.safety.slow_start_time as f64 {
            return true;
        }
        let ramp_area = |at: Micros| {
            let age = self.age(backend, at);
            age * (self.settings.safety.slow_start_share + self.min_capacity(age)) / 2.0
        };
        let accrued = (ramp_area(self.now) - ramp_area(backend.attempts.updated_at)) * self.capacity(backend)
            / self.min_capacity(age);
        accrued >= gap() * backend.gaps_needed
    }

    /// Time since a backend's start (us), at most the time that warming up takes.
    fn age(&self, backend: &Backend, at: Micros) -> f64 {
        let full = self.settings.safety.slow_start_time;
        let age = if backend.started == 0 { full } else { at.saturating_sub(backend.started).min(full) };
        age as f64
    }

    /// Part of its full capacity that a backend is certain to have at an age.
    fn min_capacity(&self, age: f64) -> f64 {
        let safety = &self.settings.safety;
        safety.slow_start_share + (1.0 - safety.slow_start_share) * age / safety.slow_start_time.max(1) as f64
    }

    /// Estimate of the part of its full capacity that a backend has: more than the minimum for its age if it
    /// responds fast, but never so much that it would be overloaded if it only had the minimum.
    fn capacity(&self, backend: &Backend) -> f64 {
        let min = self.min_capacity(self.age(backend, self.now));
        let max = MAX_CAPACITY_FACTOR * self.settings.safety.overload_multiple * min;
        backend.speed.min(max).min(1.0).max(min)
    }

    /// Capacity of all ready backends, in backends at full capacity.
    pub(crate) fn fleet_capacity(&self) -> f64 {
        self.sum_over_ready(|backend| self.capacity(backend)).max(MIN_FLEET_CAPACITY * self.ready_count())
    }

    /// Mean time between two attempts to a backend at full capacity (us), if load is spread by capacity.
    pub(crate) fn attempt_gap(&self) -> f64 {
        let gap = self.attempt_decay() / DECAY_GAPS / self.ready_count()
            * self.fleet.capacity.value.max(self.fleet_capacity());
        // Half an attempt in flight per backend is safe; else a fleet that is all warming up gets no traffic.
        let latency = self.fleet.typical.iter().copied().fold(1.0, f64::max);
        gap.min(DECAY_GAPS * latency * f64::from(self.settings.gateways))
    }

    /// Time over which a backend's recent attempts decay (us): some mean gaps between two of them.
    pub(crate) fn attempt_decay(&self) -> f64 {
        let span = self.rate_span();
        DECAY_GAPS * self.ready_count() * span / self.fleet.attempts.value_at(self.now, span).max(1e-9)
    }

    /// Time over which this gateway's rate of attempts is measured (us).
    pub(crate) fn rate_span(&self) -> f64 {
        RATE_SPAN * self.settings.safety.overload_time.max(1) as f64
    }

    pub(crate) fn ready_count(&self) -> f64 {
        self.sum_over_ready(|_| 1.0)
    }

    pub(crate) fn sum_over_ready(&self, value: impl Fn(&Backend) -> f64) -> f64 {
        let ready = |backend: &&Backend| backend.entry.condition == Condition::Ready;
        self.fleet.backends.values().filter(ready).map(value).sum()
    }
}
