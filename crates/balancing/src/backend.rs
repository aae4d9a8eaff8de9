//! One life of a backend: what is known of it, and what it has shown.

use crate::cold::Cold;
use crate::report::Counts;
use crate::Millis;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::net::SocketAddrV4;

/// What others had there fades from a told load within this time (ms).
const FADES: f64 = 600.0;
/// Weight of the newest answer's time in a backend's pace.
const NEWEST: f64 = 0.1;
/// A backend that failed is left alone for so long, doubled with each failure in a row.
const REST: Millis = 250;
const LONGEST_REST: Millis = 4_000;

/// How one attempt ended, as far as it tells of the backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// An answer, after so many ms; `load` is what it told of itself: running, waiting.
    Answer { took: Millis, load: Option<(u32, u32)> },
    /// It turned the request away: full, or leaving.
    TurnedAway,
    /// Nothing listens, or nobody answers there.
    Dead,
    /// It broke off, or sent what is no answer.
    Broke,
    /// It was silent for as long as was waited.
    Silent,
    /// Another life answers at its address.
    NotThere,
    /// Nothing is known: the client went, or the time was up early.
    Nothing,
}

fn seed(id: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(id.as_bytes());
    hasher.finish()
}

#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    /// Drawn from its id: ranks of ingresses differ from backend to backend.
    pub seed: u64,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub region: String,
    pub slots: u32,
    /// Told to be leaving, or gone from the list, or another life has its address.
    pub leaving: bool,
    pub cold: Cold,
    /// Requests of this ingress that are there now.
    pub open: u32,
    /// Mean time of an answer (ms), where one is known.
    pub pace: Option<f64>,
    others: f64,
    told: Millis,
    failures: u32,
    /// Nothing listened there when it was last tried: it may have lost its power.
    pub(crate) away: bool,
    pub resting_until: Millis,
    pub answered: Millis,
    pub counts: Counts,
}

impl Backend {
    pub fn new(
        id: String,
        service: String,
        address: SocketAddrV4,
        zone: String,
        region: String,
        slots: u32,
    ) -> Backend {
        Backend {
            seed: seed(&id),
            id,
            service,
            address,
            zone,
            region,
            slots: slots.max(1),
            leaving: false,
            cold: Cold::default(),
            open: 0,
            pace: None,
            others: 0.0,
            told: 0,
            failures: 0,
            away: false,
            resting_until: 0,
            answered: 0,
            counts: Counts::default(),
        }
    }

    /// Requests that are there by now, of all ingresses, as far as answers told.
    pub fn load(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.told) as f64;
        f64::from(self.open) + self.others * (-age / FADES).exp()
    }

    /// It has failed so that it gets one request at a time until it answers one.
    pub fn on_trial(&self) -> bool {
        self.failures >= 2
    }

    pub fn resting(&self, now: Millis) -> bool {
        now < self.resting_until
    }

    pub fn sent(&mut self, now: Millis) {
        self.open += 1;
        self.counts.given += 1;
        self.cold.sent(now);
    }

    /// An attempt has ended.
    pub fn ended(&mut self, now: Millis, observed: Observation) {
        self.counts.ended(observed);
        let open = self.open;
        self.open = self.open.saturating_sub(1);
        match observed {
            Observation::Answer { took, load } => {
                (self.failures, self.away) = (0, false);
                self.resting_until = 0;
                self.answered = now;
                let took = took as f64;
                self.pace = Some(self.pace.map_or(took, |pace| pace + NEWEST * (took - pace)));
                if let Some((running, waiting)) = load {
                    // What it tells holds this ingress's requests too, this one among them perhaps.
                    self.others = (f64::from(running + waiting) - f64::from(open)).max(0.0);
                    self.told = now;
                }
            }
            Observation::TurnedAway => {
                self.answered = now;
                self.others = f64::from(self.slots).max(self.others);
                self.told = now;
                self.resting_until = self.resting_until.max(now + 100);
            }
            Observation::Dead => {
                self.away = true;
                self.fail(now, 2);
            }
            Observation::Silent => self.fail(now, 2),
            Observation::Broke => self.fail(now, 0),
            Observation::NotThere => self.leaving = true,
            Observation::Nothing => {}
        }
    }

    fn fail(&mut self, now: Millis, at_once: u32) {
        self.failures = (self.failures + 1).max(at_once);
        // One broken answer among many says little; several in a row, or silence, say that it is ill.
        if self.failures >= 2 {
            let rest = REST << (self.failures - 2).min(5);
            self.resting_until = now + rest.min(LONGEST_REST);
        }
    }
}
