//! What a gateway has learned, handed from a process to the one that takes its place, and how much of it is still
//! believed there.
//!
//! While both live they are one gateway, and nothing is in both: units still owed to the counter are handed over, the
//! bound on attempts out but for those that are out, and half of what may be sent on untold under a ceiling, of which
//! each then earns half. The older one needs its half: clients go on using the connections that they have.

use crate::fleet::{Backend, Fleet};
use crate::idle::Idle;
use crate::interface::*;
use crate::peers::UPDATES_LAST;
use crate::records::{CounterHealth, Customer};
use crate::Gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Past this age nothing is believed: a fleet is another one by then, and quotas' windows are over.
const MOST_AGE: Micros = 10_000_000;
/// How much later than now something may have been written: two processes' clocks differ by no more.
const MOST_AHEAD: Micros = 100_000;
/// The longest time that an answer is taken to need (us).
const LONGEST_TIME: f64 = 60e6;
/// Time over which what is held of single backends goes back to what is held of a new one (us).
const TRUST: f64 = 10e6;

/// What one process of a gateway hands down to the next. Its backends, classes and plans go by the numbers that they
/// have in the process that wrote it: see [`LearnedState::renumber`].
///
/// Its form goes with the version of what it is sealed in: the two change together.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct LearnedState {
    at: Micros,
    fleet: Fleet,
    counter: CounterHealth,
    crowded_until: Micros,
    idle: Idle,
    customers: BTreeMap<CustomerId, Customer>,
}

impl LearnedState {
    /// When it was written (us).
    pub fn exported_at(&self) -> Micros {
        self.at
    }

    /// How many backends and customers it tells of.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.fleet.backends.len(), self.customers.len())
    }

    /// Gives backends, classes and plans the numbers that they have here; what has none here is left out.
    #[cold]
    pub fn renumber(
        &mut self,
        backend: impl Fn(BackendId) -> Option<BackendId>,
        class: impl Fn(usize) -> Option<usize>,
        plan: impl Fn(usize) -> Option<usize>,
    ) {
        let backends = std::mem::take(&mut self.fleet.backends).into_iter();
        self.fleet.backends.extend(backends.filter_map(|(id, known)| Some((backend(id)?, known))));
        for times in [&mut self.fleet.usual, &mut self.fleet.best] {
            let mut here = Vec::new();
            for (number, time) in std::mem::take(times).into_iter().enumerate() {
                let Some(number) = class(number) else { continue };
                // A class that is not told of keeps what it begins with: 0 is no time.
                here.resize(here.len().max(number + 1), 0.0);
                here[number] = time;
            }
            *times = here;
        }
        let customers = std::mem::take(&mut self.customers).into_iter();
        let moved = |(id, customer): (CustomerId, Customer)| {
            plan(customer.plan).map(|plan| (id, Customer { plan, ..customer }))
        };
        self.customers.extend(customers.filter_map(moved));
    }
}

/// A figure that can have been kept by a gateway.
fn sound(least: f64, figure: f64, most: f64) -> bool {
    // False for what is no number.
    figure >= least && figure <= most
}

impl Backend {
    fn is_sound(&self) -> bool {
        let parts = [self.fails, self.late, self.speed, self.phase];
        sound(1e-6, self.slow, 1e6) && parts.into_iter().all(|part| sound(0.0, part, 1.0))
    }

    /// It, as it is held to be after `kept` of the trust in its figures is left.
    fn aged(self, kept: f64) -> Backend {
        let (slow, fails) = (1.0 + (self.slow - 1.0) * kept, self.fails * kept);
        Backend { slow, fails, late: self.late * kept, ..self }
    }
}

impl Customer {
    fn is_sound(&self) -> bool {
        let sums = [self.total, self.unseen, self.own, self.owed, self.before, self.standing, self.heard];
        sound(1.0, self.spread, 65_535.0)
            && sound(1e-9, self.share, 1.0)
            && sound(0.0, self.beyond, 1.0)
            && sound(-1e12, self.spare, 1e12)
            && sums.into_iter().all(|sum| sound(-1e12, sum, 1e12))
    }
}

impl Gateway {
    /// All it has learned, for a process that takes its place. From now on that one has half of the units that may be
    /// sent on untold, those still owed to the counter, and the bound on attempts out but for those that are out here.
    #[cold]
    pub fn export_state(&mut self, now: Micros) -> LearnedState {
        self.now = self.now.max(now);
        self.shared = true;
        for customer in self.quota.customers.values_mut() {
            customer.spare /= if customer.spare > 0.0 { 2.0 } else { 1.0 };
        }
        let mut belief = LearnedState {
            at: self.now,
            fleet: self.fleet.clone(),
            counter: self.counter.clone(),
            crowded_until: self.news.until,
            idle: self.idle.clone(),
            customers: BTreeMap::new(),
        };
        // Maps are extended, not collected: that would take a sort for each kind of entry into the program.
        belief.customers.extend(self.quota.customers.iter().map(|(id, known)| (*id, known.clone())));
        let out = self.requests.flights.len() as f64;
        if self.fleet.room > 0.0 {
            belief.fleet.room = (self.fleet.room - out).max(1.0);
            self.fleet.room = out.max(1.0);
        }
        self.quota.customers.values_mut().for_each(|customer| customer.owed = 0.0);
        belief
    }

    /// Nobody has taken its place after all: it goes on with what it handed down, but for the half that the other may
    /// have sent on untold meanwhile.
    #[cold]
    pub fn reclaim_state(&mut self, now: Micros, belief: &LearnedState) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.shared, false) {
            return;
        }
        self.fleet.room = self.fleet.room.max(belief.fleet.room);
        for (of, lent) in &belief.customers {
            let Some(customer) = self.quota.customers.get_mut(of) else { continue };
            customer.owed += if customer.window == lent.window { lent.owed } else { 0.0 };
        }
    }

    /// Whether another process of this gateway lives beside it. One that was handed nothing earns half as well.
    pub fn set_overlapping(&mut self, another: bool) {
        self.shared = another;
    }

    /// Takes the place of the process that has handed this down. False: it is too old, or of a time to come, and
    /// nothing of it is believed. Backends have to be told of first: what is handed down of others is passed over.
    #[cold]
    pub fn import_state(&mut self, now: Micros, mut belief: LearnedState) -> bool {
        self.now = self.now.max(now);
        let age = self.now.saturating_sub(belief.at);
        if belief.at > self.now + MOST_AHEAD || age > MOST_AGE {
            return false;
        }
        // All that is handed down was seen before it was written.
        self.now = self.now.max(belief.at);
        let kept = (-(age as f64) / TRUST).exp();
        for (id, believed) in std::mem::take(&mut belief.fleet.backends) {
            let Some(known) = self.fleet.backends.get_mut(&id) else { continue };
            // One that has started since is another.
            if believed.is_sound() && believed.started >= known.started {
                let (entry, out) = (known.entry.clone(), known.out);
                *known = Backend { entry, out, ..believed.aged(kept) };
            }
        }
        let fleet = belief.fleet;
        for (times, told) in [(&mut self.fleet.usual, &fleet.usual), (&mut self.fleet.best, &fleet.best)] {
            let told = times.iter_mut().zip(told).filter(|(_, told)| sound(1.0, **told, LONGEST_TIME));
            told.for_each(|(time, told)| *time = *told);
        }
        let figures = [fleet.room, fleet.sent.value, fleet.able.value];
        if figures.into_iter().all(|figure| sound(0.0, figure, 1e9)) && sound(1e-6, fleet.pace, 1e6) {
            (self.fleet.room, self.fleet.pace, self.fleet.cut_at) = (fleet.room, fleet.pace, fleet.cut_at);
            (self.fleet.sent, self.fleet.able) = (fleet.sent, fleet.able);
        }
        if sound(0.0, belief.counter.spacing.value, 1e9) && sound(0.0, belief.counter.best, 1e9) {
            self.counter = belief.counter;
        }
        // Word goes to whoever has the address, which from now on is this process.
        self.news.until = belief.crowded_until.min(self.now + UPDATES_LAST as Micros);
        self.actions.extend(belief.idle.word());
        self.idle = belief.idle;
        let plans = self.settings.plans.len();
        for (of, customer) in belief.customers {
            let seen = customer.watched.max(customer.spare_at).max(customer.seen);
            if customer.plan < plans && customer.is_sound() && seen <= self.now {
                // Its requests stay with the process that took them.
                let (waiting, open, out, untold) = (Vec::new(), 0, 0, 0.0);
                self.quota.customers.insert(of, Customer { waiting, open, out, untold, ..customer });
            }
        }
        true
    }
}
