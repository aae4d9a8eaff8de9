//! A circuit breaker: after a number of failures in a row calls are suspended for a while, then one trial call finds out
//! whether the other side has recovered (M. Nygard, Release It!, 2007, "Circuit Breaker").

/// Microseconds.
pub type Micros = u64;

/// When a breaker opens, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Failures in a row that open it, at least 1.
    pub failures: u32,
    /// For how long it is open at first; each trial that fails doubles it.
    pub pause: Micros,
    /// For how long it is open at most.
    pub max_pause: Micros,
}

/// Whether a call may be made.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Make it, and report its result.
    Granted {
        /// To be given back with the result.
        epoch: u64,
    },
    /// Don't.
    Denied {
        /// Time after which it may be granted.
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
    /// One call is in flight, and no other is granted until its result is known.
    Trial {
        started: Micros,
    },
}

/// The state between calls. The result of a call that began before a change of state is ignored after it: results bring
/// back the epoch in which their call was granted.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    state: State,
    epoch: u64,
    /// Pauses since it was closed.
    pauses: u32,
    random: u64,
}

impl Breaker {
    /// A closed breaker. `seed` has to differ among ingresses, so that their pauses end apart and their trials don't come at
    /// once.
    pub fn new(settings: BreakerSettings, seed: u64) -> Breaker {
        Breaker { settings, state: State::Closed { failures: 0 }, epoch: 0, pauses: 0, random: seed }
    }

    /// Other settings from now on; a pause that has begun keeps its end.
    pub fn update_settings(&mut self, settings: BreakerSettings) {
        self.settings = settings;
    }

    /// Whether every call is granted.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Asks for a call.
    pub fn acquire(&mut self, now: Micros) -> Permit {
        match self.state {
            State::Closed { .. } => Permit::Granted { epoch: self.epoch },
            State::Open { until } if now < until => Permit::Denied { retry_after: until - now },
            State::Open { .. } => {
                self.enter(State::Trial { started: now });
                Permit::Granted { epoch: self.epoch }
            }
            // When the trial ends is not known; a pause after its start is an estimate.
            State::Trial { started } => {
                Permit::Denied { retry_after: (started + self.settings.pause).saturating_sub(now) }
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

    /// A call failed. Returns whether that has opened the breaker.
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
        // Between 80% and all of it.
        let permille = 800 + self.next_random() % 201;
        self.enter(State::Open { until: now + pause * permille / 1_000 });
        true
    }

    /// A call ended without a result: its caller went away. If that was the trial, the next call is one. Without this, no
    /// call would be granted any more.
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
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
