//! What can be read of a gateway. Nothing is decided here, and nothing changed.

use crate::interface::*;
use crate::Gateway;

/// A customer's quota as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaState {
    /// Units allowed at once, and units a second that refill them.
    pub burst: f64,
    pub rate: f64,
    /// Units left, by whichever of the module's two views of the past lets in more.
    pub remaining: f64,
    /// Time until all of them are there again.
    pub reset_after: Micros,
}

/// What a gateway believes of its fleet and its counter.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Bound on its attempts out (0: none yet), attempts out, and answer times against the fleet's best.
    pub concurrency_limit: f64,
    pub in_flight: usize,
    pub relative_latency: f64,
    /// Time between a customer's calls to the counter from which each request asks (us), bad answers in a row.
    pub counter_query_interval: f64,
    pub counter_failures: u32,
    pub backends: Vec<BackendView>,
}

/// What a gateway believes of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    pub id: BackendId,
    /// Draining or gone; left out for a while or back for one attempt; not yet warm.
    pub unavailable: bool,
    pub ejected: bool,
    pub warming_up: bool,
    pub relative_latency: f64,
    pub failure_rate: f64,
    pub in_flight: u32,
}

impl Gateway {
    /// What it believes of the fleet and of the counter.
    pub fn fleet_view(&self) -> FleetView {
        let warm = self.settings.safety.slow_start_time;
        let backends = self.fleet.backends.iter().map(|(id, backend)| BackendView {
            id: *id,
            unavailable: backend.entry.condition != Condition::Ready,
            ejected: backend.ejections > 0,
            warming_up: backend.started > 0 && self.now < backend.started + warm,
            relative_latency: backend.latency,
            failure_rate: backend.failure_rate,
            in_flight: backend.in_flight,
        });
        FleetView {
            concurrency_limit: self.fleet.limit,
            in_flight: self.requests.in_flight.len(),
            relative_latency: self.fleet.latency,
            counter_query_interval: self.query_interval(),
            counter_failures: self.counter.failures,
            backends: backends.collect(),
        }
    }

    /// How many customers and backends it keeps figures of.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.quota.customers.len(), self.fleet.backends.len())
    }

    /// A customer's quota, where its plan has one and it is known.
    pub fn quota_state(&self, customer_id: CustomerId) -> Option<QuotaState> {
        let customer = self.quota.customers.get(&customer_id)?;
        let plan = self.settings.plans.get(customer.plan).filter(|plan| plan.rate > 0.0)?;
        let refilled = plan.rate * (self.now - customer.bucket_at) as f64 / 1e6;
        let stands = (customer.bucket - refilled).max(0.0);
        let estimate = self.estimate(customer, self.current_units(customer));
        let remaining = (plan.burst - stands)
            .max(self.settings.window(customer.plan).1 - estimate)
            .clamp(0.0, plan.burst);
        let reset_after = ((plan.burst - remaining) / plan.rate * 1e6) as Micros;
        Some(QuotaState { burst: plan.burst, rate: plan.rate, remaining, reset_after })
    }
}
