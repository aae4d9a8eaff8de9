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
/// Costs that differ by less than this part are the same: all ingresses see the same list, and must not choose alike.
const SPREAD: f64 = 0.3;
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
        let connections = self.connections(wanted.service);
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
            let room = backend.open < connections && !(backend.on_trial() && backend.open > 0);
            let Some(cost) = self.cost(now, backend).filter(|_| room) else { continue };
            let cost = cost * (1.0 + SPREAD * self.draw());
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

    /// Uniform in 0..1, other each time.
    pub fn draw(&self) -> f64 {
        let state = self.draws.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draws.set(state);
        let mut x = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn allowed(&self, backend: &Backend, wanted: Wanted<'_>) -> bool {
        !self.evacuated.contains(&backend.zone)
            && wanted.homes.iter().all(|homes| homes.is_empty() || homes.contains(&backend.region))
            && !wanted.tried.contains(&backend.id)
    }

    fn cold_part(&self, backend: &Backend) -> u32 {
        let rate = self.terms.get(&backend.service).map_or(0.0, |terms| terms.cold_rate);
        part(backend.seed, rate, self.place.me, &self.place.members)
    }

    /// One more would wait there for a short while at most.
    pub(crate) fn room(&self, now: Millis, backend: &Backend) -> bool {
        let slots = f64::from(backend.slots);
        backend.load(now) + 1.0 <= (slots * (1.0 + QUEUED)).max(slots + 1.0).floor()
    }

    /// What an answer from there is held to take (ms), ways paid for among it; nothing where it has no room.
    fn cost(&self, now: Millis, backend: &Backend) -> Option<f64> {
        if !self.room(now, backend) {
            return None;
        }
        let (slots, load) = (f64::from(backend.slots), backend.load(now));
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
