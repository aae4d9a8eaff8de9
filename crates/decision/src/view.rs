//! Read-only views of a gateway's state. They have no side effects.

use crate::interface::*;
use crate::Gateway;

/// Current state of a customer's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaState {
    /// Units that may be used in a burst.
    pub burst: f64,
    /// Refill rate (units per second).
    pub rate: f64,
    /// Units left, by the one of the two estimates (sliding window, leaky bucket) that admits more.
    pub remaining: f64,
    /// Time until the quota is full again.
    pub reset_after: Micros,
}

/// A gateway's estimates of its backends and of its counter.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetView {
    /// Limit on attempts in flight; 0: none yet.
    pub concurrency_limit: f64,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Mean latency relative to the fleet's best.
    pub relative_latency: f64,
    /// Time after the last counter call from which a customer at its limit queries the counter with its next
    /// request (us); before it, requests query at random. 0: every request queries.
    pub counter_query_interval: f64,
    /// Failed counter calls in a row.
    pub counter_failures: u32,
    pub backends: Vec<BackendView>,
}

/// A gateway's estimates of one backend.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendView {
    pub id: BackendId,
    /// Draining or gone.
    pub unavailable: bool,
    /// Ejected for a time, or limited to one attempt at a time after that.
    pub ejected: bool,
    /// Warming up: in slow start.
    pub warming_up: bool,
    /// Mean latency relative to the fleet's mean.
    pub relative_latency: f64,
    /// Exponentially weighted failure rate; time-outs do not count.
    pub failure_rate: f64,
    /// Attempts in flight.
    pub in_flight: u32,
}

impl Gateway {
    /// Its estimates of the backends and of the counter.
    pub fn fleet_view(&self) -> FleetView {
        let slow_start_time = self.settings.safety.slow_start_time;
        let backends = self.fleet.backends.iter().map(|(id, backend)| BackendView {
            id: *id,
            unavailable: backend.entry.condition != Condition::Ready,
            ejected: backend.ejections > 0,
            warming_up: backend.started > 0 && self.now < backend.started + slow_start_time,
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

    /// Numbers of tracked customers and backends.
    pub fn entry_counts(&self) -> (usize, usize) {
        (self.quota.customers.len(), self.fleet.backends.len())
    }

    /// A customer's quota; none if its plan has no quota or the gateway has no state of the customer.
    pub fn quota_state(&self, customer_id: CustomerId) -> Option<QuotaState> {
        let customer = self.quota.customers.get(&customer_id)?;
        let plan = self.settings.plans.get(customer.plan).filter(|plan| plan.rate > 0.0)?;
        let refilled = plan.rate * (self.now - customer.bucket_at) as f64 / 1e6;
        let bucket = (customer.bucket - refilled).max(0.0);
        let estimate = self.estimate(customer, self.current_units(customer));
        let remaining = (plan.burst - bucket)
            .max(self.settings.window(customer.plan).1 - estimate)
            .clamp(0.0, plan.burst);
        let reset_after = ((plan.burst - remaining) / plan.rate * 1e6) as Micros;
        Some(QuotaState { burst: plan.burst, rate: plan.rate, remaining, reset_after })
    }
}
