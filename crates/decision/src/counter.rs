//! Health of the counter service, which sets how often it is called, and decisions without its totals.

use crate::{interface::*, peer_updates::UPDATE_DURATION, primitives::DecayingSum, state::Stage, Gateway};

/// Part of the time from the counter's best response time to its time-out after which a response is late:
/// before that, queues still drain, and a distant counter is not taken for an overloaded one.
const LATE_RESPONSE: f64 = 0.5;
const BEST_RISE: f64 = 1.01; // factor on the best response time with each response
pub(crate) const UNHEALTHY_AFTER: u32 = 2; // failed calls in a row: requests stop waiting until one succeeds
const INTERVAL_UP: f64 = 1.5; // factor on the query interval with a failed call ...
const INTERVAL_DOWN: f64 = 0.88; // ... and with a good one: in balance 1 in 4 is late
const INTERVAL_DECAY: f64 = 10e6; // us
const MAX_INTERVAL: f64 = 120e6; // us
pub(crate) const MAX_SINCE_QUERY: f64 = 2.0; // windows up to which a customer's time without a call counts
const HOME_MIN_INTERVAL: f64 = 20.0; // counter time-outs; these three hold where home gateways count instead
const HOME_INTERVAL_DOWN: f64 = 0.98;
const HOME_INTERVAL_DECAY: f64 = 30e6; // us
const ALONE_PART: f64 = 1.5; // of its share of the quota, for a gateway alone: shares are estimates

impl Gateway {
    /// Time after a call until a request of a customer at its limit makes one for certain (us); 0: each does.
    pub(crate) fn query_interval(&self) -> f64 {
        let decay = if self.uses_homes() { HOME_INTERVAL_DECAY } else { INTERVAL_DECAY };
        let interval = self.counter.query_interval.value_at(self.now, decay);
        // Many gateways start with few calls: calls for all requests at once might overload the counter.
        interval.max(if self.counter.fastest == 0.0 { self.min_interval(0.0) } else { 0.0 })
    }

    /// Least interval while the counter is overloaded: long where home gateways count instead.
    fn min_interval(&self, without_homes: f64) -> f64 {
        let timeout = self.settings.counter.map_or(1.0, |counter| counter.timeout as f64);
        if self.uses_homes() {
            HOME_MIN_INTERVAL * timeout
        } else {
            without_homes
        }
    }

    /// Calls go to another counter service from now on, which may be farther away.
    pub fn counter_replaced(&mut self) {
        self.counter.fastest = 0.0;
    }

    /// A counter that fails, refuses, is slow or does not respond is treated alike: as overloaded.
    pub(crate) fn update_counter_health(&mut self, outcome: Outcome, elapsed: Micros) {
        let timeout = self.settings.counter.map_or(1.0, |counter| counter.timeout as f64);
        let (interval, min, homes) = (self.query_interval(), self.min_interval(timeout), self.uses_homes());
        let health = &mut self.counter;
        health.query_interval = DecayingSum { value: interval, updated_at: self.now };
        let took = elapsed as f64;
        if outcome == Outcome::Ok {
            health.fastest = if health.fastest > 0.0 { took.min(health.fastest * BEST_RISE) } else { took };
        }
        let best = health.fastest.min(LATE_RESPONSE * timeout);
        let in_time = took < best + LATE_RESPONSE * (timeout - best);
        if outcome == Outcome::Ok && in_time {
            let factor = if homes { HOME_INTERVAL_DOWN } else { INTERVAL_DOWN };
            (health.failures, health.query_interval.value) = (0, interval * factor);
        } else {
            health.failures += 1;
            // A response lost early, malformed or with its connection, is no sign of overload, and a call
            // made before the last step took effect shows the same overload again.
            let counted_before = (self.now - health.interval_raised_at) as f64 <= took;
            if !(counted_before || outcome == Outcome::Timeout && in_time) {
                health.interval_raised_at = self.now;
                let limits = &self.settings.limits;
                health.query_interval.value = (interval * INTERVAL_UP).clamp(min, MAX_INTERVAL);
                let informs_peers = limits.peer_messages && limits.peer_message_rate > 0.0 && !homes;
                if informs_peers && health.query_interval.value > timeout {
                    self.peer_updates.until = self.now + UPDATE_DURATION as Micros;
                }
            }
        }
    }

    /// Decides without a counter total in time: at a home gateway, else by what is known here.
    pub(crate) fn decide_without_total(&mut self, id: RequestId) {
        if !self.query_home(id) {
            self.decide_locally(id);
        }
    }

    /// Decides by the last total and the units since then, scaled up to all gateways. Where those can't be
    /// scaled, admits at random the part of its requests that the quota has covered. True if admitted.
    pub(crate) fn decide_locally(&mut self, id: RequestId) -> bool {
        let open = self.requests.open.get(&id).filter(|open| open.stage == Stage::Deciding);
        let Some(open) = open else { return false };
        let (customer_id, units, call_window) = (open.request.customer, open.request.units, open.call_window);
        let allowance = self.refill_allowance(customer_id);
        let customer = &self.quota.customers[&customer_id];
        let (scaled, current, covered) =
            (units / self.scale(customer), self.current_units(customer), 1.0 - customer.excess_share);
        let within = if customer.scaled {
            self.within_quota(customer_id, current, scaled)
        } else {
            self.rng.sample() < covered
        };
        let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
        customer.awaiting_total.retain(|other| *other != id);
        if !within || units > allowance {
            // Its call has probably added its units, or they are unreported: rejected units must not count.
            customer.unreported -= if call_window == customer.window { units } else { 0.0 };
            self.reject_over_quota(id, if within { RejectionReason::Spare } else { RejectionReason::Untold });
            return false;
        }
        (customer.allowance, customer.unconfirmed) =
            (customer.allowance - units, customer.unconfirmed + units);
        self.fill_bucket(customer_id, 0.0, scaled);
        self.admit(id);
        true
    }

    /// Units that may be admitted without a total: this gateway's part of the quota, or, under a hard limit,
    /// of what that exceeds the quota by, so that all parts and the confirmed units stay below it.
    pub(crate) fn refill_allowance(&mut self, customer_id: CustomerId) -> f64 {
        let (now, max_units) = (self.now, self.settings.max_request_units);
        // The other half is for units that a home gateway admits and totals don't contain yet.
        let reserve = if self.has_home(customer_id) { 2.0 } else { 1.0 };
        let customer = self.quota.customers.get_mut(&customer_id).expect("loaded on arrival");
        let plan = &self.settings.plans[customer.plan];
        let (rate, max) = if plan.hard_limit_rate > 0.0 {
            let parts = customer.gateway_count * reserve;
            let max = (plan.hard_limit_burst - plan.burst).max(0.0) / parts;
            ((plan.hard_limit_rate - plan.rate).max(0.0) / parts, max)
        } else if customer.scaled {
            return f64::INFINITY;
        } else {
            let factor = ALONE_PART * customer.share.max(1.0 / customer.gateway_count);
            (plan.rate * factor, (plan.burst * factor).max(max_units))
        };
        let factor = if self.overlapping { 0.5 } else { 1.0 };
        let refilled = (now - customer.allowance_at) as f64 / 1e6 * rate * factor;
        customer.allowance = (customer.allowance + refilled).min(max * factor);
        customer.allowance_at = now;
        customer.allowance
    }

    /// Whether the quota would admit units without a total that the hard limit does not.
    pub(crate) fn hard_limited(&mut self, customer_id: CustomerId, units: f64) -> bool {
        let customer = &self.quota.customers[&customer_id];
        let (current, scaled) = (self.current_units(customer), units / self.scale(customer));
        self.settings.plans[customer.plan].hard_limit_rate > 0.0
            && units > self.refill_allowance(customer_id)
            && self.within_quota(customer_id, current, scaled)
    }
}
