//! The choice of a backend for one attempt.

use crate::backend::Backend;
use crate::cold::part;
use crate::fleet::Fleet;
use crate::Millis;

/// What a way is held to cost, in ms of waiting: bytes between zones and between regions are paid for.
const OTHER_ZONE: f64 = 25.0;
const OTHER_REGION: f64 = 350.0;
/// The pace of a backend that has shown none (ms).
const UNKNOWN_PACE: f64 = 100.0;
/// A cold backend is slower by about so much.
const COLD: f64 = 2.0;
/// Requests beyond its slots that a backend may have waiting there, as part of its slots.
const QUEUED: f64 = 0.34;

/// What an attempt is for.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    pub service: &'a str,
    /// Backends that this request was sent to already.
    pub tried: &'a [String],
    /// Regions that it is bound to, by its route and by its tenant; empty: none.
    pub homes: [&'a [String]; 2],
}

#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    Backend(String),
    /// Some are there, and none has room now.
    Full,
    /// None is known that may take it.
    Nobody,
}

impl Fleet {
    /// Chooses a backend; nothing is noted of it until it is [`Fleet::sent`] to.
    pub fn choose(&self, now: Millis, wanted: Wanted<'_>) -> Choice {
        let Some(ids) = self.by_service.get(wanted.service) else { return Choice::Nobody };
        let mut best: Option<(f64, &Backend)> = None;
        let mut resting: Option<&Backend> = None;
        let mut known = false;
        for backend in ids.iter().filter_map(|id| self.backends.get(id)) {
            if !self.allowed(backend, wanted) {
                continue;
            }
            known = true;
            if backend.cold.is(now) && !backend.cold.room(now, self.cold_part(backend)) {
                continue;
            }
            if backend.resting(now) {
                if backend.open == 0
                    && resting.is_none_or(|other| backend.resting_until < other.resting_until)
                {
                    resting = Some(backend);
                }
                continue;
            }
            let Some(cost) = self.cost(now, backend) else { continue };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, backend));
            }
        }
        match (best, resting, known) {
            (Some((_, backend)), ..) | (None, Some(backend), _) => Choice::Backend(backend.id.clone()),
            (None, None, true) => Choice::Full,
            (None, None, false) => Choice::Nobody,
        }
    }

    fn allowed(&self, backend: &Backend, wanted: Wanted<'_>) -> bool {
        !self.evacuated.contains(&backend.zone)
            && wanted.homes.iter().all(|homes| homes.is_empty() || homes.contains(&backend.region))
            && !wanted.tried.contains(&backend.id)
    }

    fn cold_part(&self, backend: &Backend) -> u32 {
        let rate = self.warming.get(&backend.service).map_or(0.0, |warming| warming.rate);
        part(backend.seed, rate, self.place.me, &self.place.members)
    }

    /// What an answer from there is held to take (ms), ways paid for among it; nothing where it has no room.
    fn cost(&self, now: Millis, backend: &Backend) -> Option<f64> {
        let slots = f64::from(backend.slots);
        let load = backend.load(now);
        if load + 1.0 > (slots * (1.0 + QUEUED)).max(slots + 1.0).floor() {
            return None;
        }
        let pace = backend.pace.unwrap_or(UNKNOWN_PACE) * if backend.cold.is(now) { COLD } else { 1.0 };
        let waits = (load + 1.0 - slots).max(0.0) / slots;
        // Among free ones the emptier: loads that were told are old, and others choose by them too.
        let busy = 0.5 * (load / slots).min(1.0);
        let way = if backend.zone == self.place.zone {
            0.0
        } else if backend.region == self.place.region {
            OTHER_ZONE
        } else {
            OTHER_REGION
        };
        Some(pace * (1.0 + waits + busy) + way)
    }
}
