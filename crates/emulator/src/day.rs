//! A day: what happens, and when. Drawn by a seed, with no more lost at once than the deployment has to bear.

use crate::records::Millis;
use crate::site::Site;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::fmt;

/// Traffic begins so long after the machines.
pub const LEAD: Millis = 8_000;
/// Faults and planned work fall into this span of the traffic; then a closing fault may come.
const BUSY: std::ops::Range<Millis> = 2_000..16_000;
const CLOSING: Millis = 20_000;
/// The traffic's length.
pub const LENGTH: Millis = 26_000;
/// A machine that was lost counts as lost for so long after its return.
const CATCH_UP: Millis = 4_000;

#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// Processes are killed; with `power`, what is not synced is lost too.
    Kill {
        machines: Vec<usize>,
        power: bool,
        down: Millis,
    },
    /// A machine loses power and its disk.
    Wipe {
        machine: usize,
        down: Millis,
    },
    /// A configuration is sent, and who acknowledges it loses power at once, and its disk.
    AfterAck {
        wipe: bool,
        down: Millis,
    },
    Freeze {
        machine: usize,
        span: Millis,
    },
    /// Cut off from all other machines of the system, one way or both.
    Cut {
        machines: Vec<usize>,
        one_way: bool,
        span: Millis,
    },
    Stall {
        machine: usize,
        span: Millis,
    },
    Zone {
        zone: usize,
        span: Millis,
    },
    /// A SIGTERM.
    Leave {
        machine: usize,
    },
    /// A new version; `moved`: searches go to another service.
    Change {
        moved: bool,
    },
    /// Two operators send two versions to two machines at once.
    Race,
    Invalid,
    Join {
        name: String,
    },
    /// So many routes more.
    Routes {
        count: usize,
    },
    Revoke {
        tenant: usize,
    },
    Evacuate {
        zone: usize,
        span: Millis,
    },
    Hot {
        tenant: usize,
        x: f64,
        span: Millis,
    },
    /// Backends of a service end without a word; the list shows them for a while.
    Crash {
        service: usize,
        count: usize,
    },
    /// Backends of a service are replaced, one after the other.
    Release {
        service: usize,
        count: usize,
    },
    /// A part of all answers is lost.
    Lose {
        part: f64,
        span: Millis,
    },
}

/// Something at a time of the traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at: Millis,
    pub what: What,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s  {:?}", self.at as f64 / 1000.0, self.what)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Day {
    pub seed: u64,
    pub events: Vec<Event>,
    /// How long the traffic lasts.
    pub length: Millis,
}

impl Day {
    /// A day without trouble.
    pub fn quiet(seed: u64) -> Day {
        Day {
            seed,
            events: vec![Event { at: 2_500, what: What::Join { name: "newcomer-1".into() } }],
            length: LENGTH,
        }
    }

    /// A day of that seed. Machines are numbered cores first, as the fleet has them.
    pub fn drawn(seed: u64, site: &Site) -> Day {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let cores: usize = site.cores.iter().sum();
        let edges: usize = site.edges.iter().sum();
        let mut day = Day { seed, events: Vec::new(), length: LENGTH };
        // Until when a counted loss lasts: the next one waits for its end.
        let mut lost = 0;
        let mut at = BUSY.start;
        while at < BUSY.end {
            let span = rng.random_range(1_000..5_000);
            let core = rng.random_range(0..cores);
            let edge = cores + rng.random_range(0..edges);
            let counted = at >= lost;
            let what = match rng.random_range(0..22) {
                0 if counted => What::Kill { machines: vec![core], power: rng.random(), down: span },
                1 if counted => What::Wipe { machine: core, down: span },
                2 if counted => What::AfterAck { wipe: rng.random(), down: span },
                3 if counted => What::Freeze { machine: core, span },
                4 | 5 if counted => What::Cut { machines: vec![core], one_way: rng.random(), span },
                6 if counted => What::Stall { machine: core, span },
                7 if counted => What::Zone { zone: rng.random_range(0..site.zones.len()), span },
                8 => {
                    let some =
                        (0..edges).filter(|_| rng.random_range(0..2) == 0).map(|n| cores + n).collect();
                    What::Kill { machines: some, power: rng.random(), down: span / 2 }
                }
                9 => What::Freeze { machine: edge, span },
                10 => What::Cut { machines: vec![edge], one_way: rng.random(), span },
                11 => What::Leave { machine: edge },
                12 => What::Change { moved: rng.random() },
                13 => What::Race,
                14 => What::Invalid,
                15 => What::Join { name: format!("newcomer-{at}") },
                16 => What::Revoke { tenant: rng.random_range(0..site.tenants) },
                17 => What::Evacuate { zone: rng.random_range(0..site.zones.len()), span: span + 3_000 },
                18 => What::Hot { tenant: rng.random_range(0..site.tenants), x: 8.0, span },
                19 => What::Crash { service: rng.random_range(0..site.services.len()), count: 1 },
                20 => What::Release { service: rng.random_range(0..site.services.len()), count: 4 },
                _ => What::Lose { part: 0.02, span },
            };
            if what.counted(cores) {
                lost = at + span + CATCH_UP;
            }
            day.events.push(Event { at, what });
            at += rng.random_range(200..2_200);
        }
        let all = || (0..cores + edges).collect();
        let closing = match rng.random_range(0..5) {
            0 => Some(What::Kill { machines: all(), power: false, down: 800 }),
            1 => Some(What::Kill { machines: all(), power: true, down: 1_200 }),
            2 if lost < CLOSING => Some(What::AfterAck { wipe: true, down: 1_400 }),
            _ => None,
        };
        day.events.extend(closing.map(|what| Event { at: CLOSING, what }));
        day
    }

    /// The same day without one of its events.
    pub fn without(&self, place: usize) -> Day {
        let mut day = self.clone();
        day.events.remove(place);
        day
    }
}

impl What {
    /// It takes away what only so much may be lost of at once.
    fn counted(&self, cores: usize) -> bool {
        match self {
            What::Kill { machines, .. } | What::Cut { machines, .. } => machines.iter().any(|n| *n < cores),
            What::Freeze { machine, .. } => *machine < cores,
            What::Wipe { .. } | What::AfterAck { .. } | What::Stall { .. } | What::Zone { .. } => true,
            _ => false,
        }
    }

    /// How long machines or links are in trouble by it.
    pub fn trouble(&self) -> Option<Millis> {
        match self {
            What::Kill { down, .. } | What::Wipe { down, .. } | What::AfterAck { down, .. } => {
                Some(*down + 1_000)
            }
            What::Freeze { span, .. }
            | What::Cut { span, .. }
            | What::Stall { span, .. }
            | What::Zone { span, .. } => Some(*span + 500),
            What::Leave { .. } => Some(7_000),
            _ => None,
        }
    }
}
