//! What a gateway has learned, handed from a process to the one that takes its place, and how much of it is still
//! believed there.
//!
//! While both live they are one gateway, and nothing is in both: units still owed to the counter are handed over, the
//! bound on attempts out but for those that are out, and half of what may be sent on untold under a ceiling, of which
//! each then earns half. The older one needs its half: clients go on using the connections that they have.

use crate::backends::{Backend, Fleet};
use crate::idle_connections::IdleConnections;
use crate::interface::*;
use crate::peer_updates::UPDATES_LAST;
use crate::state::{CounterHealth, Customer};
use crate::Gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Past this age nothing is believed: a fleet is another one by then, and quotas' windows are over.
const MAX_AGE: Micros = 10_000_000;
/// How much later than now something may have been written: two processes' clocks differ by no more.
const MAX_CLOCK_SKEW: Micros = 100_000;
/// The longest time that an answer is taken to need (us).
const MAX_LATENCY: f64 = 60e6;
/// Time over which what is held of single backends goes back to what is held of a new one (us).
const TRUST: f64 = 10e6;

/// What one process of a gateway hands down to the next. Its backends, classes and plans go by the numbers that they
/// have in the process that wrote it: see [`LearnedState::renumber`].
///
/// Its form goes with the version of what it is sealed in: the two change together.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct LearnedState {
    exported_at: Micros,
    fleet: Fleet,
    counter: CounterHealth,
    peer_updates_until: Micros,
    idle_connections: IdleConnections,
    customers: BTreeMap<CustomerId, Customer>,
}

impl LearnedState {
    /// When it was written (us).
    pub fn exported_at(&self) -> Micros {
        self.exported_at
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
        for times in [&mut self.fleet.typical, &mut self.fleet.best] {
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
fn is_between(least: f64, figure: f64, most: f64) -> bool {
    // False for what is no number.
    figure >= least && figure <= most
}

impl Backend {
    fn is_valid(&self) -> bool {
        let parts = [self.failure_rate, self.timeout_rate, self.speed, self.gaps_needed];
        is_between(1e-6, self.latency, 1e6) && parts.into_iter().all(|part| is_between(0.0, part, 1.0))
    }

    /// It, as it is held to be after `kept` of the trust in its figures is left.
    fn aged(self, kept: f64) -> Backend {
        let (latency, failure_rate) = (1.0 + (self.latency - 1.0) * kept, self.failure_rate * kept);
        Backend { latency, failure_rate, timeout_rate: self.timeout_rate * kept, ..self }
    }
}

impl Customer {
    fn is_valid(&self) -> bool {
        let sums = [
            self.total,
            self.unconfirmed,
            self.added,
            self.unreported,
            self.previous,
            self.bucket,
            self.peer_units,
        ];
        is_between(1.0, self.gateway_count, 65_535.0)
            && is_between(1e-9, self.share, 1.0)
            && is_between(0.0, self.excess_share, 1.0)
            && is_between(-1e12, self.allowance, 1e12)
            && sums.into_iter().all(|sum| is_between(-1e12, sum, 1e12))
    }
}

impl Gateway {
    /// All it has learned, for a process that takes its place. From now on that one has half of the units that may be
    /// sent on untold, those still owed to the counter, and the bound on attempts out but for those that are out here.
    #[cold]
    pub fn export_state(&mut self, now: Micros) -> LearnedState {
        self.now = self.now.max(now);
        self.overlapping = true;
        for customer in self.quota.customers.values_mut() {
            customer.allowance /= if customer.allowance > 0.0 { 2.0 } else { 1.0 };
        }
        let mut belief = LearnedState {
            exported_at: self.now,
            fleet: self.fleet.clone(),
            counter: self.counter.clone(),
            peer_updates_until: self.peer_updates.until,
            idle_connections: self.idle_connections.clone(),
            customers: BTreeMap::new(),
        };
        // Maps are extended, not collected: that would take a sort for each kind of entry into the program.
        belief.customers.extend(self.quota.customers.iter().map(|(id, known)| (*id, known.clone())));
        let out = self.requests.in_flight.len() as f64;
        if self.fleet.limit > 0.0 {
            belief.fleet.limit = (self.fleet.limit - out).max(1.0);
            self.fleet.limit = out.max(1.0);
        }
        self.quota.customers.values_mut().for_each(|customer| customer.unreported = 0.0);
        belief
    }

    /// Nobody has taken its place after all: it goes on with what it handed down, but for the half that the other may
    /// have sent on untold meanwhile.
    #[cold]
    pub fn reclaim_state(&mut self, now: Micros, belief: &LearnedState) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.overlapping, false) {
            return;
        }
        self.fleet.limit = self.fleet.limit.max(belief.fleet.limit);
        for (customer_id, lent) in &belief.customers {
            let Some(customer) = self.quota.customers.get_mut(customer_id) else { continue };
            customer.unreported += if customer.window == lent.window { lent.unreported } else { 0.0 };
        }
    }

    /// Whether another process of this gateway lives beside it. One that was handed nothing earns half as well.
    pub fn set_overlapping(&mut self, another: bool) {
        self.overlapping = another;
    }

    /// Takes the place of the process that has handed this down. False: it is too old, or of a time to come, and
    /// nothing of it is believed. Backends have to be told of first: what is handed down of others is passed over.
    #[cold]
    pub fn import_state(&mut self, now: Micros, mut belief: LearnedState) -> bool {
        self.now = self.now.max(now);
        let age = self.now.saturating_sub(belief.exported_at);
        if belief.exported_at > self.now + MAX_CLOCK_SKEW || age > MAX_AGE {
            return false;
        }
        // All that is handed down was seen before it was written.
        self.now = self.now.max(belief.exported_at);
        let kept = (-(age as f64) / TRUST).exp();
        for (id, believed) in std::mem::take(&mut belief.fleet.backends) {
            let Some(known) = self.fleet.backends.get_mut(&id) else { continue };
            // One that has started since is another.
            if believed.is_valid() && believed.started >= known.started {
                let (entry, in_flight) = (known.entry.clone(), known.in_flight);
                *known = Backend { entry, in_flight, ..believed.aged(kept) };
            }
        }
        let fleet = belief.fleet;
        for (times, told) in [(&mut self.fleet.typical, &fleet.typical), (&mut self.fleet.best, &fleet.best)]
        {
            let told = times.iter_mut().zip(told).filter(|(_, told)| is_between(1.0, **told, MAX_LATENCY));
            told.for_each(|(time, told)| *time = *told);
        }
        let figures = [fleet.limit, fleet.attempts.value, fleet.capacity.value];
        if figures.into_iter().all(|figure| is_between(0.0, figure, 1e9))
            && is_between(1e-6, fleet.latency, 1e6)
        {
            (self.fleet.limit, self.fleet.latency, self.fleet.cut_at) =
                (fleet.limit, fleet.latency, fleet.cut_at);
            (self.fleet.attempts, self.fleet.capacity) = (fleet.attempts, fleet.capacity);
        }
        if is_between(0.0, belief.counter.query_interval.value, 1e9)
            && is_between(0.0, belief.counter.fastest, 1e9)
        {
            self.counter = belief.counter;
        }
        // Word goes to whoever has the address, which from now on is this process.
        self.peer_updates.until = belief.peer_updates_until.min(self.now + UPDATES_LAST as Micros);
        self.actions.extend(belief.idle_connections.action());
        self.idle_connections = belief.idle_connections;
        let plans = self.settings.plans.len();
        for (customer_id, customer) in belief.customers {
            let seen = customer.bucket_at.max(customer.allowance_at).max(customer.last_request_at);
            if customer.plan < plans && customer.is_valid() && seen <= self.now {
                // Its requests stay with the process that took them.
                let (awaiting_total, open_requests, in_flight, unannounced) = (Vec::new(), 0, 0, 0.0);
                self.quota.customers.insert(
                    customer_id,
                    Customer { awaiting_total, open_requests, in_flight, unannounced, ..customer },
                );
            }
        }
        true
    }
}
