//! State handover: the learned state of a gateway, exported by one process and imported by its successor.
//!
//! While both processes run they are one gateway, and no limit may count twice. Unreported units are handed
//! over, and so is the concurrency limit, less the attempts that are in flight. Of the allowance of units
//! without a counter total (under a hard limit) each has half, and earns half. The older process needs its
//! half, as clients keep using the connections that they have to it.

use crate::backends::{Backend, Fleet};
use crate::idle_connections::IdleConnections;
use crate::interface::*;
use crate::peer_updates::UPDATE_DURATION;
use crate::state::{CounterHealth, Customer};
use crate::Gateway;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Oldest state that is imported: after that, the fleet has changed and the windows of quotas are over.
const MAX_AGE: Micros = 10_000_000;
/// How far in the future a state may have been exported: the clocks of two processes differ by no more.
const MAX_CLOCK_SKEW: Micros = 100_000;
/// Longest latency that is valid (us).
const MAX_LATENCY: f64 = 60e6;
/// Time constant with which the estimates of single backends decay to those of a new one (us).
const DECAY: f64 = 10e6;

/// The state that one process of a gateway hands over to the next. Backends, classes and plans have the ids
/// and indices of the process that exported it: see [`LearnedState::renumber`].
///
/// It is encoded by position, so each change of its fields needs a new version of the envelope that it is
/// sent in.
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
    /// Time of the export (us).
    pub fn exported_at(&self) -> Micros {
        self.exported_at
    }

    /// Numbers of backends and customers that it contains.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.fleet.backends.len(), self.customers.len())
    }

    /// Replaces the ids and indices of backends, classes and plans by those of this process; removes entries
    /// without one.
    #[cold]
    pub fn renumber(
        &mut self,
        backend: impl Fn(BackendId) -> Option<BackendId>,
        class: impl Fn(usize) -> Option<usize>,
        plan: impl Fn(usize) -> Option<usize>,
    ) {
        let backends = std::mem::take(&mut self.fleet.backends).into_iter();
        self.fleet.backends.extend(backends.filter_map(|(id, state)| Some((backend(id)?, state))));
        for latencies in [&mut self.fleet.typical, &mut self.fleet.best] {
            let mut renumbered = Vec::new();
            for (index, latency) in std::mem::take(latencies).into_iter().enumerate() {
                let Some(index) = class(index) else { continue };
                // 0 is no valid latency: classes without an entry keep their initial latency.
                renumbered.resize(renumbered.len().max(index + 1), 0.0);
                renumbered[index] = latency;
            }
            *latencies = renumbered;
        }
        let customers = std::mem::take(&mut self.customers).into_iter();
        let renumbered = |(id, customer): (CustomerId, Customer)| {
            plan(customer.plan).map(|plan| (id, Customer { plan, ..customer }))
        };
        self.customers.extend(customers.filter_map(renumbered));
    }
}

/// Whether a value is in a range.
fn is_between(min: f64, value: f64, max: f64) -> bool {
    // NaN is in no range.
    value >= min && value <= max
}

impl Backend {
    fn is_valid(&self) -> bool {
        let shares = [self.failure_rate, self.timeout_rate, self.speed, self.gaps_needed];
        is_between(1e-6, self.latency, 1e6) && shares.into_iter().all(|share| is_between(0.0, share, 1.0))
    }

    /// Its estimates after a time in which they have decayed by a factor.
    fn decayed(self, factor: f64) -> Backend {
        let (latency, failure_rate) = (1.0 + (self.latency - 1.0) * factor, self.failure_rate * factor);
        Backend { latency, failure_rate, timeout_rate: self.timeout_rate * factor, ..self }
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
    /// Exports the learned state for the successor process, which from now on has half of the unconfirmed
    /// allowance, the unreported units, and the concurrency limit less the attempts that are in flight here.
    #[cold]
    pub fn export_state(&mut self, now: Micros) -> LearnedState {
        self.now = self.now.max(now);
        self.overlapping = true;
        for customer in self.quota.customers.values_mut() {
            customer.allowance /= if customer.allowance > 0.0 { 2.0 } else { 1.0 };
        }
        let mut state = LearnedState {
            exported_at: self.now,
            fleet: self.fleet.clone(),
            counter: self.counter.clone(),
            peer_updates_until: self.peer_updates.until,
            idle_connections: self.idle_connections.clone(),
            customers: BTreeMap::new(),
        };
        // Extended, not collected: collecting would add a sort for each type of entry to the binary.
        state.customers.extend(self.quota.customers.iter().map(|(id, customer)| (*id, customer.clone())));
        let in_flight = self.requests.in_flight.len() as f64;
        if self.fleet.limit > 0.0 {
            state.fleet.limit = (self.fleet.limit - in_flight).max(1.0);
            self.fleet.limit = in_flight.max(1.0);
        }
        self.quota.customers.values_mut().for_each(|customer| customer.unreported = 0.0);
        state
    }

    /// Continues after a handover that failed: takes back the exported state, except the half of the
    /// allowance, which the successor may have used.
    #[cold]
    pub fn reclaim_state(&mut self, now: Micros, state: &LearnedState) {
        self.now = self.now.max(now);
        if !std::mem::replace(&mut self.overlapping, false) {
            return;
        }
        self.fleet.limit = self.fleet.limit.max(state.fleet.limit);
        for (customer_id, exported) in &state.customers {
            let Some(customer) = self.quota.customers.get_mut(customer_id) else { continue };
            customer.unreported += if customer.window == exported.window { exported.unreported } else { 0.0 };
        }
    }

    /// Sets whether another process of this gateway is running. Each then earns half of the allowance, also
    /// one that has imported no state.
    pub fn set_overlapping(&mut self, overlapping: bool) {
        self.overlapping = overlapping;
    }

    /// Imports the state of the predecessor process. Returns false, and imports nothing, if the state is too
    /// old or of a future time. The backends must be listed before: the state of others is ignored.
    #[cold]
    pub fn import_state(&mut self, now: Micros, mut state: LearnedState) -> bool {
        self.now = self.now.max(now);
        let age = self.now.saturating_sub(state.exported_at);
        if state.exported_at > self.now + MAX_CLOCK_SKEW || age > MAX_AGE {
            return false;
        }
        // No time in the state is later than its export.
        self.now = self.now.max(state.exported_at);
        let factor = (-(age as f64) / DECAY).exp();
        for (id, imported) in std::mem::take(&mut state.fleet.backends) {
            let Some(backend) = self.fleet.backends.get_mut(&id) else { continue };
            // A backend that has started since has lost its state.
            if imported.is_valid() && imported.started >= backend.started {
                let (entry, in_flight) = (backend.entry.clone(), backend.in_flight);
                *backend = Backend { entry, in_flight, ..imported.decayed(factor) };
            }
        }
        let fleet = state.fleet;
        for (latencies, imported) in
            [(&mut self.fleet.typical, &fleet.typical), (&mut self.fleet.best, &fleet.best)]
        {
            let valid = latencies
                .iter_mut()
                .zip(imported)
                .filter(|(_, imported)| is_between(1.0, **imported, MAX_LATENCY));
            valid.for_each(|(latency, imported)| *latency = *imported);
        }
        let values = [fleet.limit, fleet.attempts.value, fleet.capacity.value];
        if values.into_iter().all(|value| is_between(0.0, value, 1e9)) && is_between(1e-6, fleet.latency, 1e6)
        {
            (self.fleet.limit, self.fleet.latency, self.fleet.cut_at) =
                (fleet.limit, fleet.latency, fleet.cut_at);
            (self.fleet.attempts, self.fleet.capacity) = (fleet.attempts, fleet.capacity);
        }
        if is_between(0.0, state.counter.query_interval.value, 1e9)
            && is_between(0.0, state.counter.fastest, 1e9)
        {
            self.counter = state.counter;
        }
        // Peer messages go to the process that has the gateway's address, which is this one from now on.
        self.peer_updates.until = state.peer_updates_until.min(self.now + UPDATE_DURATION as Micros);
        self.actions.extend(state.idle_connections.action());
        self.idle_connections = state.idle_connections;
        let plans = self.settings.plans.len();
        for (customer_id, customer) in state.customers {
            let updated_at = customer.bucket_at.max(customer.allowance_at).max(customer.last_request_at);
            if customer.plan < plans && customer.is_valid() && updated_at <= self.now {
                // Requests stay at the process that accepted them.
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
