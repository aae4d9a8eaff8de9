//! Quotas: a sliding window counter. Requests add units, and a weighted estimate over two windows decides.

use crate::counter::{MAX_SINCE_QUERY, UNHEALTHY_AFTER};
use crate::state::{Call, Customer, OpenRequest};
use crate::{interface::*, peer_updates::step_excess_share, primitives::mix, Gateway};
use std::collections::VecDeque;

const MAX_TTL: f64 = 60e6; // us, time to live of a counter at the service
const MAX_WINDOW: f64 = 0.4; // longest window, as a share of MAX_TTL: two windows and late reads fit in
const MIN_WINDOW_TICKS: f64 = 50.0; // shortest window: in less, the time of a counter call matters
const SHARE_WEIGHT: f64 = 0.5; // weight of the newest window in `share`, which shifts in about 2 windows
const MIN_OWN_SHARE: f64 = 0.9; // share of own units below which a total, of seven digits, lacks data
const MIN_QUOTA_USAGE: f64 = 0.2; // least share of the quota by which the chance of a call is scaled
/// Most gateways of a customer for which the units here are scaled up to all: with more, a burst here would
/// be mistaken for a burst at all gateways.
pub(crate) const MAX_SCALED_GATEWAYS: f64 = 6.0;
const SWEPT_PER_REQUEST: usize = 4; // customers checked for removal with each request
const FORGET_AFTER: f64 = 6.0; // windows without a request until removal: the quota is full again

impl Settings {
    /// Length of a plan's windows (us), and the quota for one window (units).
    pub(crate) fn window(&self, plan: usize) -> (f64, f64) {
        let plan = &self.plans[plan];
        let shortest = MIN_WINDOW_TICKS * self.tick as f64;
        let clamped = (plan.burst / plan.rate * 1e6).clamp(shortest, MAX_TTL * MAX_WINDOW).round();
        let length = if plan.rate > 0.0 { clamped } else { MAX_TTL };
        (length, plan.rate * length / 1e6)
    }
}

impl Gateway {
    pub(crate) fn on_request(&mut self, request: Request) {
        let (id, customer_id) = (request.id, request.customer);
        let plan = self.settings.plans.get(usize::from(request.plan));
        let (Some(plan), true) = (plan, usize::from(request.class) < self.settings.classes.len()) else {
            return self.actions.push(Action::Fail { request: id, reason: RejectionReason::Unknown });
        };
        let has_quota = plan.rate > 0.0;
        self.quota.customers.sweep(SWEPT_PER_REQUEST, |customer| {
            let length = self.settings.window(customer.plan).0;
            let is_idle = (self.now - customer.last_request_at) as f64 > FORGET_AFTER * length;
            customer.open_requests == 0 && customer.in_flight == 0 && is_idle
        });
        self.load_customer(&request);
        self.requests.open.insert(id, OpenRequest { arrived: self.now, request, ..OpenRequest::default() });
        match has_quota {
            true => self.count_request(id, customer_id),
            false => self.admit(id),
        }
    }

    /// Creates the customer's state if there is none, and counts the request as open.
    pub(crate) fn load_customer(&mut self, request: &Request) {
        let (now, plan) = (self.now, usize::from(request.plan));
        let gateway_count = f64::from(self.settings.gateways).min(request.gateway_count.max(1.0));
        let length = self.settings.window(plan).0;
        let scaled = gateway_count <= MAX_SCALED_GATEWAYS || self.settings.counter.is_none();
        let customer = self.quota.customers.entry(request.customer).or_insert_with(|| Customer {
            plan,
            gateway_count,
            window: now / length as u64,
            bucket_at: now.saturating_sub(length as Micros),
            share: 1.0 / gateway_count,
            scaled,
            first_gateway: request.first_gateway as u16,
            allowance: if self.settings.plans[plan].hard_limit_rate > 0.0 {
                0.0
            } else {
                self.settings.max_request_units
            },
            allowance_at: now,
            ..Customer::default()
        });
        (customer.open_requests, customer.last_request_at) = (customer.open_requests + 1, now);
        self.advance_window(request.customer);
    }

    /// Moves a customer on to the window that `now` falls in.
    pub(crate) fn advance_window(&mut self, customer_id: CustomerId) {
        let customer = &self.quota.customers[&customer_id];
        let length = self.settings.window(customer.plan).0;
        let (window, current) = (self.now / length as u64, self.current_units(customer));
        let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
        if window > customer.window {
            let share =
                (customer.added + customer.unconfirmed) / if current > 0.0 { current } else { f64::INFINITY };
            let is_known = current > 0.0 && (customer.scaled || customer.total > 0.0);
            let weight = if is_known { SHARE_WEIGHT } else { 0.0 };
            customer.share += weight * (share.clamp(0.5 / customer.gateway_count, 1.0) - customer.share);
            customer.previous = if window == customer.window + 1 { current } else { 0.0 };
            // A home gateway has counted all of the previous window.
            let is_known = customer.home_window == customer.window && window == customer.window + 1;
            (customer.window, customer.previous_known, customer.previous_queried) = (window, is_known, false);
            (customer.total, customer.unconfirmed, customer.added, customer.unreported) =
                (0.0, 0.0, 0.0, 0.0);
            // Peer updates on units that a total has shown may still be in transit, or lost.
            customer.peer_units = customer.peer_units.min(0.0) / 2.0;
        }
    }

    /// Estimate of the customer's units in its window: unconfirmed ones are scaled up to all gateways.
    pub(crate) fn current_units(&self, customer: &Customer) -> f64 {
        customer.total + customer.peer_units.max(0.0) + customer.unconfirmed / self.scale(customer)
    }

    pub(crate) fn scale(&self, customer: &Customer) -> f64 {
        Some(1.0).filter(|_| self.now < self.peer_updates.until).unwrap_or_else(|| customer.scale())
    }

    /// Sliding window estimate: the previous window, weighted by its unelapsed part, plus the current one.
    pub(crate) fn estimate(&self, customer: &Customer, current: f64) -> f64 {
        let (length, _) = self.settings.window(customer.plan);
        let elapsed = (self.now as f64 - customer.window as f64 * length) / length;
        customer.previous * (1.0 - elapsed).clamp(0.0, 1.0) + current
    }

    /// Adds units to the customer's leaky bucket: those of other gateways as if they had come halfway through
    /// the time since the last call, own ones now. The bucket leaks meanwhile, so early units count for less.
    pub(crate) fn fill_bucket(&mut self, customer_id: CustomerId, others: f64, own: f64) {
        let now = self.now;
        let customer = self.quota.customers.get_mut(&customer_id).expect("loaded on arrival");
        let half_refill = self.settings.plans[customer.plan].rate * (now - customer.bucket_at) as f64 / 2e6;
        let level = (customer.bucket - half_refill).max(0.0) + others;
        customer.bucket = (level - half_refill).max(0.0) + own;
        customer.bucket_at = now;
    }

    /// Whether the customer is within its quota: by the sliding window estimate, or by the leaky bucket, as
    /// the estimate still counts units that came early enough to be refilled.
    pub(crate) fn within_quota(&self, customer_id: CustomerId, current: f64, units: f64) -> bool {
        let customer = &self.quota.customers[&customer_id];
        let plan = &self.settings.plans[customer.plan];
        let refilled = plan.rate * (self.now - customer.bucket_at) as f64 / 1e6;
        self.estimate(customer, current + units) <= self.settings.window(customer.plan).1
            || (customer.bucket - refilled).max(0.0) + units <= plan.burst
    }

    /// Adds the request's units to the current window. An overloaded counter is queried at random, more
    /// rarely after a recent call; other units wait in `unreported`. A home gateway counts without a query.
    pub(crate) fn count_request(&mut self, id: RequestId, customer_id: CustomerId) {
        let (units, customer) = (self.requests.open[&id].request.units, &self.quota.customers[&customer_id]);
        let (length, limit) = self.settings.window(customer.plan);
        let (since_query, interval) = ((self.now - customer.queried_at) as f64, self.query_interval());
        let quota_usage = ((self.estimate(customer, self.current_units(customer)) + units) / limit)
            .clamp(MIN_QUOTA_USAGE, 1.0);
        let unclamped_chance = quota_usage * since_query.min(MAX_SINCE_QUERY * length) / interval.max(1.0);
        let (has_home, timeout) =
            (self.has_home(customer_id), self.settings.counter.map_or(0, |counter| counter.timeout));
        let chance = match interval > self.settings.tick as f64 {
            // Its home is queried instead, and the counter only often enough to detect its recovery.
            true if has_home => (timeout as f64 / interval).min(1.0),
            true => unclamped_chance.clamp(1e-3, 1.0),
            false => 1.0,
        };
        // The allowance under a hard limit is small: once it is used up, only a counter total can admit.
        let chance =
            if chance < 1.0 && !has_home && self.hard_limited(customer_id, units) { 1.0 } else { chance };
        let queries = self.settings.counter.is_some() && self.rng.sample() < chance;
        if !queries && self.query_home(id) {
            return;
        }
        // The one home of a customer with a hard limit does not respond: the counter decides.
        let queries = queries || has_home && self.hard_limited(customer_id, units);
        let awaits_total = queries && (has_home || self.counter.failures < UNHEALTHY_AFTER);
        let admitted = !awaits_total && self.decide_locally(id);
        let customer = self.quota.customers.get_mut(&customer_id).expect("loaded on arrival");
        customer.unreported += if admitted { units } else { 0.0 };
        if !queries {
            return;
        }
        customer.queried_at = self.now;
        let (window, unreported) = (customer.window, std::mem::take(&mut customer.unreported));
        let amount = unreported + if awaits_total { units } else { 0.0 };
        if awaits_total {
            customer.awaiting_total.push(id);
            let open = self.requests.open.get_mut(&id).expect("open");
            open.call_window = window;
            let deadline = self.useful_until(&self.requests.open[&id]);
            self.requests.deadlines.set(id, (self.now + timeout).min(deadline).max(self.now + 1));
        }
        self.call_counter(Call {
            customer: customer_id,
            window,
            amount,
            request: awaits_total.then_some(id),
        });
    }

    pub(crate) fn call_counter(&mut self, call: Call) {
        let length = self.settings.window(self.quota.customers[&call.customer].plan).0;
        let ttl = (2.5 * length).min(MAX_TTL) as Micros;
        let (counter_id, amount) = (mix(mix(call.customer) ^ call.window), call.amount);
        self.quota.calls.entry(counter_id).or_default().push_back(call);
        self.actions.push(Action::AddToCounter { counter_id, amount, ttl });
    }

    pub(crate) fn call_ended(&mut self, counter_id: u64, outcome: Outcome, total: f64, elapsed: Micros) {
        let Some(call) = self.quota.calls.get_mut(&counter_id).and_then(VecDeque::pop_front) else { return };
        if self.quota.calls[&counter_id].is_empty() {
            self.quota.calls.remove(&counter_id);
        }
        self.update_counter_health(outcome, elapsed);
        let Some(customer) = self.quota.customers.get(&call.customer) else { return };
        let (length, limit) = self.settings.window(customer.plan);
        let scale = self.scale(customer);
        let customer = self.quota.customers.get_mut(&call.customer).expect("just read");
        let undecided = |call: &&Call| call.request.is_some_and(|id| customer.awaiting_total.contains(&id));
        let other_calls = self.quota.calls.get(&counter_id).into_iter().flatten();
        let pending: f64 = other_calls.filter(|call| !undecided(call)).map(|call| call.amount).sum();
        let waiter = call.request.filter(|id| customer.awaiting_total.contains(id));
        let units = waiter.and_then(|id| self.requests.open.get(&id)).map_or(0.0, |open| open.request.units);
        let (is_current, is_previous) = (call.window == customer.window, call.window + 1 == customer.window);
        let new_units = match outcome {
            Outcome::Ok if is_current => {
                // A counter that lost its data shows less than this gateway alone has added: add it again.
                // If the counter merely expired early, these units are counted twice for one window.
                let missing =
                    if total < MIN_OWN_SHARE * (customer.added + call.amount) { customer.added } else { 0.0 };
                customer.unreported += missing;
                customer.added += call.amount - missing;
                let still_unconfirmed = (customer.unreported - missing + pending).max(0.0);
                let estimated = (customer.unconfirmed - still_unconfirmed) / scale;
                // Units that a total contains need no allowance any more.
                customer.allowance +=
                    if customer.scaled { (customer.unconfirmed - still_unconfirmed).max(0.0) } else { 0.0 };
                let new_units = if missing > 0.0 { units } else { total - customer.total - estimated };
                (customer.total, customer.unconfirmed) = (total + missing, still_unconfirmed);
                if let Some(open) = call.request.and_then(|id| self.requests.open.get_mut(&id)) {
                    open.total = Some(customer.total);
                }
                new_units
            }
            Outcome::Ok if is_previous && !customer.previous_known => {
                // The total lacks units that were carried into the window on a change of settings.
                let total =
                    total.max(if customer.carried_in == call.window { customer.previous } else { total });
                customer.previous_known = true;
                total - std::mem::replace(&mut customer.previous, total)
            }
            _ if is_current && outcome.not_executed() => {
                customer.awaiting_total.retain(|id| waiter != Some(*id));
                customer.unreported += call.amount;
                0.0
            }
            _ => 0.0,
        };
        customer.previous_queried &= customer.previous_known || !is_previous || outcome == Outcome::Ok;
        // The previous window is only read if it could change the decision.
        let elapsed = (self.now as f64 / length).fract();
        let max_previous = customer.previous.max(limit) * (1.0 - elapsed);
        let is_known = customer.previous_known || max_previous + customer.total <= limit;
        let has_total = is_current && outcome == Outcome::Ok;
        let read_previous =
            has_total && !is_known && !std::mem::replace(&mut customer.previous_queried, true);
        let mut waiting = customer.awaiting_total.clone();
        waiting.extend(call.request.filter(|id| outcome.not_executed() && !waiting.contains(id)));
        let own = if has_total { units } else { 0.0 };
        let mut others = new_units - own;
        if has_total {
            customer.total_at = self.now;
            // Units of other gateways in the total are first matched against those that peers have reported.
            let remaining = (customer.peer_units - others).max(-limit);
            others += remaining.max(0.0) - std::mem::replace(&mut customer.peer_units, remaining).max(0.0);
        }
        self.fill_bucket(call.customer, others, own);
        for id in waiting {
            let answered = self.requests.open.get(&id).is_some_and(|open| open.total.is_some());
            if (call.request == Some(id) && !has_total) || (is_previous && !is_known) {
                self.decide_without_total(id);
            } else if answered && is_known {
                self.decide_by_total(id);
            }
        }
        let customer = self.quota.customers.get_mut(&call.customer).expect("just read");
        for (from, id, units) in std::mem::take(&mut customer.queries).into_iter().filter(|_| has_total) {
            self.count_for_peer(from, id, call.customer, units);
        }
        if read_previous {
            let window = call.window.saturating_sub(1);
            self.call_counter(Call { window, amount: 0.0, request: None, ..call });
        }
    }

    /// Decides by a counter total, the usual case.
    pub(crate) fn decide_by_total(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let customer_id = open.request.customer;
        let peer_units = self.quota.customers[&customer_id].peer_units.max(0.0);
        let within = self.within_quota(customer_id, open.total.unwrap_or(0.0) + peer_units, 0.0);
        let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
        customer.excess_share = step_excess_share(customer.excess_share, within);
        customer.awaiting_total.retain(|other| *other != id);
        let window = customer.window;
        if within {
            self.admit(id);
        } else {
            let request = self.requests.open[&id].request.clone();
            self.refund(&request, None, window, request.units);
            self.reject_over_quota(id, RejectionReason::Quota);
        }
    }

    /// Takes back a rejected request's units, which would use up the quota of a customer far over it.
    pub(crate) fn refund(&mut self, request: &Request, home: Option<u16>, window: u64, units: f64) {
        let customer_id = request.customer;
        if let Some(home) = home {
            return self.refund_at_home(request, home);
        }
        let overloaded =
            self.settings.counter.is_none_or(|counter| self.query_interval() > counter.timeout as f64);
        let customer = self.quota.customers.get_mut(&customer_id).expect("has a call");
        let deferred = overloaded && customer.scaled;
        customer.bucket -= units;
        if window == customer.window {
            customer.total -= units;
            customer.unreported -= if deferred { units } else { 0.0 };
        } else if window + 1 == customer.window {
            customer.previous -= units;
        }
        if !deferred {
            self.call_counter(Call { customer: customer_id, window, amount: -units, request: None });
        }
    }

    pub(crate) fn reject_over_quota(&mut self, id: RequestId, reason: RejectionReason) {
        let request = &self.requests.open[&id].request;
        let customer = &self.quota.customers[&request.customer];
        let plan = &self.settings.plans[customer.plan];
        let wait = (customer.bucket + request.units - plan.burst).max(0.0) / plan.rate * 1e6;
        self.reject(id, wait as Micros, reason);
    }
}
