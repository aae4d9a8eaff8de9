//! What each backend was given and has shown, for operators.

use crate::backend::{Backend, Observation};
use crate::fleet::Fleet;
use crate::Millis;

/// Attempts by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub given: u64,
    pub answered: u64,
    pub turned_away: u64,
    pub failed: u64,
}

impl Counts {
    pub(crate) fn ended(&mut self, observed: Observation) {
        match observed {
            Observation::Answer { .. } => self.answered += 1,
            Observation::TurnedAway | Observation::NotThere => self.turned_away += 1,
            Observation::Dead | Observation::Broke | Observation::Silent => self.failed += 1,
            Observation::Nothing => {}
        }
    }
}

/// Why a backend gets less than it could, or nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It gets what it has room for.
    Back,
    Leaving,
    Evacuated,
    Resting,
    Cold,
    Full,
}

impl Availability {
    pub fn text(self) -> &'static str {
        match self {
            Availability::Back => "well",
            Availability::Leaving => "leaving",
            Availability::Evacuated => "evacuated",
            Availability::Resting => "resting",
            Availability::Cold => "cold",
            Availability::Full => "full",
        }
    }
}

/// One backend as this ingress sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendReport {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    /// Requests of this ingress that are there, and those of all as far as answers told.
    pub open: u32,
    pub load: f64,
    /// Mean time of an answer (ms).
    pub pace_ms: Option<f64>,
    pub counts: Counts,
    pub held: Availability,
}

impl Fleet {
    /// All backends by service and id.
    pub fn shown(&self, now: Millis) -> Vec<BackendReport> {
        let mut all: Vec<BackendReport> =
            self.backends.values().map(|backend| self.show(now, backend)).collect();
        all.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
        all
    }

    fn show(&self, now: Millis, backend: &Backend) -> BackendReport {
        let held = if backend.leaving {
            Availability::Leaving
        } else if self.evacuated.contains(&backend.zone) {
            Availability::Evacuated
        } else if backend.resting(now) {
            Availability::Resting
        } else if backend.cold.is(now) {
            Availability::Cold
        } else if self.room(now, backend) {
            Availability::Back
        } else {
            Availability::Full
        };
        BackendReport {
            id: backend.id.clone(),
            service: backend.service.clone(),
            zone: backend.zone.clone(),
            slots: backend.slots,
            open: backend.open,
            load: backend.load(now),
            pace_ms: backend.pace,
            counts: backend.counts,
            held,
        }
    }
}
