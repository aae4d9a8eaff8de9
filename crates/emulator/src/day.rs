//! A day: a schedule of events. Random days are generated from a seed, with no more core machines lost at the same time
//! than the deployment has to tolerate.

use crate::event::{Event, EventKind};
use crate::records::Millis;
use crate::site::Site;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The time between the start of the machines and the start of the traffic.
pub(crate) const START_DELAY: Millis = 8_000;
/// The span of the traffic in which faults and planned work happen. Afterwards there may be a closing fault.
const FAULT_WINDOW: std::ops::Range<Millis> = 2_000..16_000;
const CLOSING_FAULT_AT: Millis = 20_000;
/// Distinguishes the seed of spoiled numbers from that of the other events.
const SPOILED_SEED: u64 = 0x7370_6f69_6c65_6400;
/// The fraction of responses and of entries of the list that are spoiled.
const SPOILED_PART: f64 = 0.05;
/// The duration of the traffic on a generated day.
pub(crate) const DAY_LENGTH: Millis = 26_000;
/// A machine still counts as lost for this time after its return.
const RECOVERY_TIME: Millis = 4_000;

/// A day: the events, and the seed of all other random decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Day {
    /// The seed of everything random on the day apart from the events.
    pub seed: u64,
    /// The events, ordered by time.
    pub events: Vec<Event>,
    /// The duration of the traffic.
    pub length: Millis,
}

impl Day {
    /// A day without faults.
    #[must_use]
    pub fn quiet(seed: u64) -> Day {
        let kind = EventKind::AddTenant { name: "newcomer-1".into() };
        Day { seed, events: vec![Event { at: 2_500, kind }], length: DAY_LENGTH }
    }

    /// Generates a day from a seed.
    #[must_use]
    pub fn from_seed(seed: u64, site: &Site) -> Day {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let cores = site.core_count();
        let mut day = Day { seed, events: Vec::new(), length: DAY_LENGTH };
        // The end of the last loss that counts towards the tolerance: no other one starts before it.
        let mut lost_until = 0;
        let mut at = FAULT_WINDOW.start;
        while at < FAULT_WINDOW.end {
            let span = rng.random_range(1_000..5_000);
            let kind = sample_event(&mut rng, site, at, span, at >= lost_until);
            if kind.is_counted_loss(cores) {
                lost_until = at + span + RECOVERY_TIME;
            }
            day.events.push(Event { at, kind });
            at += rng.random_range(200..2_200);
        }
        let closing = sample_closing_fault(&mut rng, site, lost_until);
        day.events.extend(closing.map(|kind| Event { at: CLOSING_FAULT_AT, kind }));
        day.add_spoiled_numbers();
        day
    }

    /// Adds a span of spoiled numbers to every other day. It is drawn apart, so that a seed gives the same other events.
    fn add_spoiled_numbers(&mut self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ SPOILED_SEED);
        if rng.random::<bool>() {
            let at = rng.random_range(FAULT_WINDOW);
            let kind = EventKind::SpoilNumbers { part: SPOILED_PART, span: rng.random_range(1_000..5_000) };
            self.events.push(Event { at, kind });
            self.events.sort_by_key(|event| event.at);
        }
    }

    /// Generates a day with one fault of core machines after another, with no more lost at the same time than
    /// tolerated.
    #[must_use]
    pub fn with_core_faults(seed: u64, site: &Site) -> Day {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut day = Day { seed, events: Vec::new(), length: DAY_LENGTH };
        let mut at = FAULT_WINDOW.start;
        while at < CLOSING_FAULT_AT {
            let span = rng.random_range(300..2_500);
            day.events.push(Event { at, kind: sample_core_fault(&mut rng, site, span) });
            at += span + rng.random_range(RECOVERY_TIME / 4..RECOVERY_TIME);
        }
        let closing = sample_closing_fault(&mut rng, site, 0);
        day.events.extend(closing.map(|kind| Event { at: CLOSING_FAULT_AT + RECOVERY_TIME, kind }));
        day
    }

    /// The same day without one of its events.
    #[must_use]
    pub fn without(&self, index: usize) -> Day {
        let mut day = self.clone();
        day.events.remove(index);
        day
    }
}

/// A random event. Events that count as the loss of a core machine are chosen only if `may_lose_core`.
fn sample_event(rng: &mut Pcg64Mcg, site: &Site, at: Millis, span: Millis, may_lose_core: bool) -> EventKind {
    let (cores, edges) = (site.core_count(), site.edge_count());
    let core = rng.random_range(0..cores);
    let edge = cores + rng.random_range(0..edges);
    match rng.random_range(0..24) {
        0 if may_lose_core => {
            EventKind::Kill { machines: vec![core], is_power_lost: rng.random(), down: span }
        }
        1 if may_lose_core => EventKind::Wipe { machine: core, down: span },
        2 if may_lose_core => EventKind::KillAcknowledger { is_wiped: rng.random(), down: span },
        3 if may_lose_core => EventKind::Freeze { machine: core, span },
        4 | 5 if may_lose_core => {
            EventKind::Partition { machines: vec![core], is_one_way: rng.random(), span }
        }
        6 if may_lose_core => EventKind::StallDisk { machine: core, span },
        7 if may_lose_core => EventKind::LoseZone { zone: rng.random_range(0..site.zones.len()), span },
        8 => {
            let machines = (0..edges).filter(|_| rng.random_range(0..2) == 0).map(|n| cores + n).collect();
            EventKind::Kill { machines, is_power_lost: rng.random(), down: span / 2 }
        }
        9 => EventKind::Freeze { machine: edge, span },
        10 => EventKind::Partition { machines: vec![edge], is_one_way: rng.random(), span },
        11 => EventKind::ShutDown { machine: edge },
        12 => EventKind::Change { moves_searches: rng.random() },
        13 => EventKind::ConcurrentChanges,
        14 => EventKind::InvalidChange,
        15 => EventKind::AddTenant { name: format!("newcomer-{at}") },
        16 => EventKind::RevokeKey { tenant: rng.random_range(0..site.tenants) },
        17 => EventKind::Evacuate { zone: rng.random_range(0..site.zones.len()), span: span + 3_000 },
        18 => EventKind::TenantBurst { tenant: rng.random_range(0..site.tenants), factor: 8.0, span },
        19 => EventKind::CrashBackends { service: rng.random_range(0..site.services.len()), count: 1 },
        20 if may_lose_core => EventKind::SplitCore { half: (0..cores / 2).collect(), span },
        21 if may_lose_core => {
            EventKind::Kill { machines: (0..cores).collect(), is_power_lost: rng.random(), down: span / 4 }
        }
        22 => EventKind::ReplaceBackends { service: rng.random_range(0..site.services.len()), count: 4 },
        _ => EventKind::LoseResponses { part: 0.02, span },
    }
}

fn sample_core_fault(rng: &mut Pcg64Mcg, site: &Site, span: Millis) -> EventKind {
    let cores = site.core_count();
    let core = rng.random_range(0..cores);
    let edge = cores + rng.random_range(0..site.edge_count());
    match rng.random_range(0..11) {
        0 => EventKind::Wipe { machine: core, down: span },
        1 => EventKind::KillAcknowledger { is_wiped: true, down: span },
        2 => EventKind::Freeze { machine: core, span },
        3 => EventKind::Partition { machines: vec![core], is_one_way: rng.random(), span },
        4 => EventKind::StallDisk { machine: core, span },
        5 => EventKind::SplitCore { half: (0..cores / 2).collect(), span },
        6 => EventKind::Kill { machines: (0..cores).collect(), is_power_lost: rng.random(), down: span / 4 },
        7 => EventKind::ShutDown { machine: core },
        8 => EventKind::Kill { machines: vec![core], is_power_lost: rng.random(), down: span },
        9 => EventKind::Freeze { machine: edge, span },
        _ => EventKind::LoseResponses { part: 0.05, span },
    }
}

fn sample_closing_fault(rng: &mut Pcg64Mcg, site: &Site, lost_until: Millis) -> Option<EventKind> {
    let machines = (0..site.core_count() + site.edge_count()).collect();
    match rng.random_range(0..7) {
        0 => Some(EventKind::Kill { machines, is_power_lost: false, down: 800 }),
        1 => Some(EventKind::Kill { machines, is_power_lost: true, down: 1_200 }),
        2 if lost_until < CLOSING_FAULT_AT => {
            Some(EventKind::KillAcknowledger { is_wiped: true, down: 1_400 })
        }
        3 | 4 if lost_until < CLOSING_FAULT_AT => {
            let first = rng.random_range(0..site.core_count());
            let wiped = (0..site.tolerance as usize).map(|n| (first + n) % site.core_count()).collect();
            Some(EventKind::LoseDisksAndPower { wiped, down: 1_200 })
        }
        _ => None,
    }
}
