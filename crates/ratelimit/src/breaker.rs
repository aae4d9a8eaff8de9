//! A circuit breaker: after several consecutive failures, calls are suspended for a time. Then a single trial call finds out
//! whether the server has recovered (M. Nygard, Release It!, 2007, "Circuit Breaker").

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// The number of consecutive failures that opens the breaker, at least 1.
    pub failures: u32,
    /// How long the breaker stays open at first. Each failed trial doubles the time.
    pub pause: Micros,
    /// The maximum time for which it stays open.
    pub max_pause: Micros,
}

/// Whether a call may be made.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The call may be made, and its result must be reported.
    Granted {
        /// The epoch to report the result with.
        epoch: u64,
    },
    /// The call must not be made.
    Denied {
        /// The time after which a call may be granted.
        retry_after: Micros,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Micros,
    },
    /// One trial call is in flight. No other call is granted until its result is known.
    Trial {
        started_at: Micros,
    },
}

/// A circuit breaker. Each change of state starts a new epoch, and results of calls that were granted in an earlier epoch
/// are ignored.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    epoch: u64,
    /// The number of pauses since the breaker was last closed.
    pauses: u32,
    rng_state: u64,
}

impl Breaker {
    /// Creates a closed breaker. `seed` must differ among ingresses, so that their pauses end at different times and their
    /// trials do not coincide.
    pub fn new(settings: BreakerSettings, seed: u64) -> Breaker {
        Breaker { settings, state: State::Closed { failures: 0 }, epoch: 0, pauses: 0, rng_state: seed }
    }

    /// Applies new settings. The end of a pause that has started does not change.
    pub fn update_settings(&mut self, settings: BreakerSettings) {
        self.settings = settings;
    }

    /// Whether every call is granted.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Requests a permit for a call.
    pub fn acquire(&mut self, now: Micros) -> Permit {
        match self.state {
            State::Closed { .. } => Permit::Granted { epoch: self.epoch },
            State::Open { until } if now < until => Permit::Denied { retry_after: until - now },
            State::Open { .. } => {
                self.enter(State::Trial { started_at: now });
                Permit::Granted { epoch: self.epoch }
            }
            // The end of the trial is unknown, so one pause after its start is returned as an estimate.
            State::Trial { started_at } => {
                Permit::Denied { retry_after: (started_at + self.settings.pause).saturating_sub(now) }
            }
        }
    }

    /// A call succeeded.
    pub fn on_success(&mut self, epoch: u64) {
        if epoch == self.epoch {
            self.pauses = 0;
            match self.state {
                State::Closed { .. } => self.state = State::Closed { failures: 0 },
                _ => self.enter(State::Closed { failures: 0 }),
            }
        }
    }

    /// A call failed. Returns whether this has opened the breaker.
    pub fn on_failure(&mut self, now: Micros, epoch: u64) -> bool {
        if epoch != self.epoch {
            return false;
        }
        if let State::Closed { failures } = self.state {
            if failures + 1 < self.settings.failures {
                self.state = State::Closed { failures: failures + 1 };
                return false;
            }
        }
        let pause = self.settings.pause.saturating_mul(1 << self.pauses.min(20));
        let pause = pause.min(self.settings.max_pause);
        self.pauses += 1;
        // Jitter: between 80% and 100% of the pause.
        let permille = 800 + self.next_random() % 201;
        self.enter(State::Open { until: now + pause * permille / 1_000 });
        true
    }

    /// A call ended without a result, because its caller was cancelled. If it was the trial, the next call becomes the trial;
    /// otherwise no call would ever be granted again.
    pub fn on_abandoned(&mut self, now: Micros, epoch: u64) {
        if epoch == self.epoch && matches!(self.state, State::Trial { .. }) {
            self.enter(State::Open { until: now });
        }
    }

    fn enter(&mut self, state: State) {
        self.state = state;
        self.epoch += 1;
    }

    /// SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.rng_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
