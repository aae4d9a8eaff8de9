//! A circuit breaker: after so many failures in a row nothing is asked for a while, then one question tries
//! whether that has passed (M. Nygard, Release It!, 2007, "Circuit Breaker").

/// Microseconds.
pub type Micros = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Failures in a row that open it, at least 1.
    pub failures: u32,
    /// For how long it is open at first; each trial that fails doubles it, up to the longest.
    pub pause: Micros,
    pub longest_pause: Micros,
}

/// Whether to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    /// Ask, and tell what came of it under this epoch.
    Ask { epoch: u64 },
    /// Don't; it may be otherwise after that long.
    Shut { reopens: Micros },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Micros,
    },
    /// One question is out, and nobody else asks until its end is known.
    Trial {
        began: Micros,
    },
}

/// The state between questions. What was asked before a change of state says nothing after it: questions bring
/// the epoch back that they were let out in.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: Settings,
    state: State,
    epoch: u64,
    /// Pauses since it was closed.
    pauses: u32,
    random: u64,
}

impl Breaker {
    /// `seed`: the pauses of several ingresses must not end together, or their trials come as one blow.
    pub fn new(settings: Settings, seed: u64) -> Breaker {
        Breaker { settings, state: State::Closed { failures: 0 }, epoch: 0, pauses: 0, random: seed }
    }

    pub fn change(&mut self, settings: Settings) {
        self.settings = settings;
    }

    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    pub fn ask(&mut self, now: Micros) -> Leave {
        match self.state {
            State::Closed { .. } => Leave::Ask { epoch: self.epoch },
            State::Open { until } if now < until => Leave::Shut { reopens: until - now },
            State::Open { .. } => {
                self.enter(State::Trial { began: now });
                Leave::Ask { epoch: self.epoch }
            }
            // When the trial ends is not known; it was begun so long ago.
            State::Trial { began } => {
                Leave::Shut { reopens: (began + self.settings.pause).saturating_sub(now) }
            }
        }
    }

    pub fn succeeded(&mut self, epoch: u64) {
        if epoch == self.epoch {
            self.pauses = 0;
            match self.state {
                State::Closed { .. } => self.state = State::Closed { failures: 0 },
                _ => self.enter(State::Closed { failures: 0 }),
            }
        }
    }

    /// Returns whether it has opened by this.
    pub fn failed(&mut self, now: Micros, epoch: u64) -> bool {
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
        let pause = pause.min(self.settings.longest_pause);
        self.pauses += 1;
        // Between 80% and all of it.
        let part = 800 + self.next() % 201;
        self.enter(State::Open { until: now + pause * part / 1_000 });
        true
    }

    /// A question ended without telling anything of the other side: its asker went away. Were a trial's not told,
    /// nobody would ever ask again.
    pub fn left(&mut self, now: Micros, epoch: u64) {
        if epoch == self.epoch && matches!(self.state, State::Trial { .. }) {
            self.enter(State::Open { until: now });
        }
    }

    fn enter(&mut self, state: State) {
        self.state = state;
        self.epoch += 1;
    }

    /// SplitMix64 (Steele, Lea, Flood, OOPSLA 2014).
    fn next(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
