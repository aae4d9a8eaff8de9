//! Quota: the sliding tail. Each request adds its units, and the weighted estimate over two windows decides.

use crate::counter::{MAX_WAIT, UNHEALTHY_AFTER};
use crate::figures::mix;
use crate::interface::*;
use crate::peers::stepped;
use crate::records::{Call, Customer, Open};
use crate::Gateway;
use std::collections::VecDeque;

const MAX_TTL: f64 = 60e6; // us, of a name at the counter service
const MAX_WINDOW: f64 = 0.4; // of MAX_TTL: two windows and late reads fit in
const MIN_WINDOW_TICKS: f64 = 50.0; // in a shorter window, the time that a call to the counter takes matters
const SHARE_WEIGHT: f64 = 0.5; // of the newest window in this gateway's share: that shifts in about 2 windows
const ROUNDING: f64 = 0.9; // of this gateway's units, which a total holds at least: it has seven digits
const MIN_NEARNESS: f64 = 0.2; // to the limit, by which a customer's chance of a call is scaled
/// Most gateways of a customer for which the units here are scaled up to all: beyond, a burst here would be
/// taken for one everywhere.
pub(crate) const MAX_SCALED_GATEWAYS: f64 = 6.0;
const SWEPT_PER_REQUEST: usize = 4; // customers
const FORGET_AFTER: f64 = 6.0; // windows without a request: the quota is full again

impl Settings {
    /// Length of a plan's windows (us) and the units that a window's length of use may hold.
    pub(crate) fn window(&self, plan: usize) -> (f64, f64) {
        let plan = &self.plans[plan];
        let shortest = MIN_WINDOW_TICKS * self.tick as f64;
        let natural = (plan.burst / plan.rate * 1e6).clamp(shortest, MAX_TTL * MAX_WINDOW).round();
        let length = if plan.rate > 0.0 { natural } else { MAX_TTL };
        (length, plan.rate * length / 1e6)
    }
}

impl Gateway {
    pub(crate) fn arrive(&mut self, request: Request) {
        let (id, customer) = (request.id, request.customer);
        let plan = self.settings.plans.get(usize::from(request.plan));
        let (Some(plan), true) = (plan, usize::from(request.class) < self.settings.classes.len()) else {
            return self.actions.push(Action::Fail { request: id, reason: RejectionReason::Unknown });
        };
        let limited = plan.rate > 0.0;
        self.quota.customers.sweep(SWEPT_PER_REQUEST, |customer| {
            let length = self.settings.window(customer.plan).0;
            let silent = (self.now - customer.seen) as f64 > FORGET_AFTER * length;
            customer.open == 0 && customer.out == 0 && silent
        });
        self.roll(&request);
        self.requests.open.insert(id, Open { arrived: self.now, request, ..Open::default() });
        match limited {
            true => self.ask(id, customer),
            false => self.admit(id),
        }
    }

    /// Moves a customer on to the window that `now` falls in.
    pub(crate) fn roll(&mut self, request: &Request) {
        let (now, plan) = (self.now, usize::from(request.plan));
        let spread = f64::from(self.settings.gateways).min(request.gateway_count.max(1.0));
        let length = self.settings.window(plan).0;
        let telling = spread <= MAX_SCALED_GATEWAYS || self.settings.counter.is_none();
        let customer = self.quota.customers.entry(request.customer).or_insert_with(|| Customer {
            plan,
            spread,
            window: now / length as u64,
            watched: now.saturating_sub(length as Micros),
            share: 1.0 / spread,
            telling,
            first: request.first_gateway as u16,
            spare: if self.settings.plans[plan].hard_limit_rate > 0.0 {
                0.0
            } else {
                self.settings.max_request_units
            },
            spare_at: now,
            ..Customer::default()
        });
        (customer.open, customer.seen) = (customer.open + 1, now);
        self.advance(request.customer);
    }

    pub(crate) fn advance(&mut self, of: CustomerId) {
        let customer = &self.quota.customers[&of];
        let length = self.settings.window(customer.plan).0;
        let (window, seen) = (self.now / length as u64, self.seen(customer));
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        if window > customer.window {
            let part = (customer.own + customer.unseen) / if seen > 0.0 { seen } else { f64::INFINITY };
            let known = seen > 0.0 && (customer.telling || customer.total > 0.0);
            let newest = if known { SHARE_WEIGHT } else { 0.0 };
            customer.share += newest * (part.clamp(0.5 / customer.spread, 1.0) - customer.share);
            customer.before = if window == customer.window + 1 { seen } else { 0.0 };
            // A home has seen all of the window before.
            let known = customer.homed == customer.window && window == customer.window + 1;
            (customer.window, customer.before_known, customer.before_asked) = (window, known, false);
            (customer.total, customer.unseen, customer.own, customer.owed) = (0.0, 0.0, 0.0, 0.0);
            // Word of what the counter has shown already may still be on its way, or lost.
            customer.heard = customer.heard.min(0.0) / 2.0;
        }
    }

    /// The customer's units of its window by all that is known: own ones stand for others' where none tells.
    pub(crate) fn seen(&self, customer: &Customer) -> f64 {
        customer.total + customer.heard.max(0.0) + customer.unseen / self.part(customer)
    }

    pub(crate) fn part(&self, customer: &Customer) -> f64 {
        Some(1.0).filter(|_| self.now < self.news.until).unwrap_or_else(|| customer.part())
    }

    /// The design's estimate: the previous window by its unelapsed fraction, and the current one.
    pub(crate) fn estimate(&self, customer: &Customer, current: f64) -> f64 {
        let (length, _) = self.settings.window(customer.plan);
        let elapsed = (self.now as f64 - customer.window as f64 * length) / length;
        customer.before * (1.0 - elapsed).clamp(0.0, 1.0) + current
    }

    /// Takes note of others' units that came since the last look, around the middle of that time, and of own
    /// ones that come now. The quota refills all the while: what came early stands for less than late units.
    pub(crate) fn watch(&mut self, of: CustomerId, others: f64, own: f64) {
        let now = self.now;
        let customer = self.quota.customers.get_mut(&of).expect("rolled on arrival");
        let half = self.settings.plans[customer.plan].rate * (now - customer.watched) as f64 / 2e6;
        let middle = (customer.standing - half).max(0.0) + others;
        customer.standing = (middle - half).max(0.0) + own;
        customer.watched = now;
    }

    /// Whether the customer's use is within its limit: by the design's estimate, or, where that assumes
    /// units to stand that were seen to come early enough to be refilled, by when they came.
    pub(crate) fn within(&self, of: CustomerId, current: f64, further: f64) -> bool {
        let customer = &self.quota.customers[&of];
        let plan = &self.settings.plans[customer.plan];
        let refilled = plan.rate * (self.now - customer.watched) as f64 / 1e6;
        self.estimate(customer, current + further) <= self.settings.window(customer.plan).1
            || (customer.standing - refilled).max(0.0) + further <= plan.burst
    }

    /// Adds the request's units to the current window. A crowded counter is asked by chance, less after a new
    /// call: own units then wait. Where a customer has a home, that counts what the counter is not asked for.
    pub(crate) fn ask(&mut self, id: RequestId, of: CustomerId) {
        let (units, customer) = (self.requests.open[&id].request.units, &self.quota.customers[&of]);
        let (length, limit) = self.settings.window(customer.plan);
        let (since, spacing) = ((self.now - customer.asked_at) as f64, self.spacing());
        let near = ((self.estimate(customer, self.seen(customer)) + units) / limit).clamp(MIN_NEARNESS, 1.0);
        let earned = near * since.min(MAX_WAIT * length) / spacing.max(1.0);
        let (homed, patience) =
            (self.has_home(of), self.settings.counter.map_or(0, |counter| counter.timeout));
        let chance = match spacing > self.settings.tick as f64 {
            // Its home is asked instead, and the counter only so often that its recovery is seen.
            true if homed => (patience as f64 / spacing).min(1.0),
            true => earned.clamp(1e-3, 1.0),
            false => 1.0,
        };
        // Under a ceiling little may be sent untold: past that, only a total can let in what the quota holds.
        let chance = if chance < 1.0 && !homed && self.ceiling_stops(of, units) { 1.0 } else { chance };
        let asks = self.settings.counter.is_some() && self.chance.next() < chance;
        if !asks && self.count_at_home(id) {
            return;
        }
        // A ceiling's one home is lost: the counter tells.
        let asks = asks || homed && self.ceiling_stops(of, units);
        let waits = asks && (homed || self.counter.bad < UNHEALTHY_AFTER);
        let alone = !waits && self.decide_alone(id);
        let customer = self.quota.customers.get_mut(&of).expect("rolled on arrival");
        customer.owed += if alone { units } else { 0.0 };
        if !asks {
            return;
        }
        customer.asked_at = self.now;
        let (window, owed) = (customer.window, std::mem::take(&mut customer.owed));
        let amount = owed + if waits { units } else { 0.0 };
        if waits {
            customer.waiting.push(id);
            let open = self.requests.open.get_mut(&id).expect("open");
            open.window = window;
            let latest = self.useless_at(&self.requests.open[&id]);
            self.requests.due.set(id, (self.now + patience).min(latest).max(self.now + 1));
        }
        self.call(Call { customer: of, window, amount, request: waits.then_some(id) });
    }

    pub(crate) fn call(&mut self, call: Call) {
        let length = self.settings.window(self.quota.customers[&call.customer].plan).0;
        let ttl = (2.5 * length).min(MAX_TTL) as Micros;
        let (counter_id, amount) = (mix(mix(call.customer) ^ call.window), call.amount);
        self.quota.calls.entry(counter_id).or_default().push_back(call);
        self.actions.push(Action::AddToCounter { counter_id, amount, ttl });
    }

    pub(crate) fn counted(&mut self, count: u64, outcome: Outcome, total: f64, waited: Micros) {
        let Some(call) = self.quota.calls.get_mut(&count).and_then(VecDeque::pop_front) else { return };
        if self.quota.calls[&count].is_empty() {
            self.quota.calls.remove(&count);
        }
        self.judge_counter(outcome, waited);
        let Some(customer) = self.quota.customers.get(&call.customer) else { return };
        let (length, limit) = self.settings.window(customer.plan);
        let part = self.part(customer);
        let customer = self.quota.customers.get_mut(&call.customer).expect("just read");
        let undecided = |call: &&Call| call.request.is_some_and(|id| customer.waiting.contains(&id));
        let others = self.quota.calls.get(&count).into_iter().flatten();
        let still_out: f64 = others.filter(|call| !undecided(call)).map(|call| call.amount).sum();
        let asking = call.request.filter(|id| customer.waiting.contains(id));
        let asked = asking.and_then(|id| self.requests.open.get(&id)).map_or(0.0, |open| open.request.units);
        let (current, read) = (call.window == customer.window, call.window + 1 == customer.window);
        let came = match outcome {
            Outcome::Ok if current => {
                // A counter that lost its numbers shows less than this gateway alone added: put that back.
                // May hurt where a name ended early: old units then count twice for a window.
                let lost = if total < ROUNDING * (customer.own + call.amount) { customer.own } else { 0.0 };
                customer.owed += lost;
                customer.own += call.amount - lost;
                let unseen = (customer.owed - lost + still_out).max(0.0);
                let guessed = (customer.unseen - unseen) / part;
                // What a total shows is untold no more.
                customer.spare += if customer.telling { (customer.unseen - unseen).max(0.0) } else { 0.0 };
                let came = if lost > 0.0 { asked } else { total - customer.total - guessed };
                (customer.total, customer.unseen) = (total + lost, unseen);
                if let Some(open) = call.request.and_then(|id| self.requests.open.get_mut(&id)) {
                    open.counted = Some(customer.total);
                }
                came
            }
            Outcome::Ok if read && !customer.before_known => {
                // What was carried into a window is not in its total.
                let total = total.max(if customer.carried == call.window { customer.before } else { total });
                customer.before_known = true;
                total - std::mem::replace(&mut customer.before, total)
            }
            _ if current && outcome.not_executed() => {
                customer.waiting.retain(|id| asking != Some(*id));
                customer.owed += call.amount;
                0.0
            }
            _ => 0.0,
        };
        customer.before_asked &= customer.before_known || !read || outcome == Outcome::Ok;
        // The previous window is read only where it could change the decision.
        let elapsed = (self.now as f64 / length).fract();
        let most_before = customer.before.max(limit) * (1.0 - elapsed);
        let known = customer.before_known || most_before + customer.total <= limit;
        let told = current && outcome == Outcome::Ok;
        let reads = told && !known && !std::mem::replace(&mut customer.before_asked, true);
        let mut waiting = customer.waiting.clone();
        waiting.extend(call.request.filter(|id| outcome.not_executed() && !waiting.contains(id)));
        let own = if told { asked } else { 0.0 };
        let mut others = came - own;
        if told {
            customer.told = self.now;
            // Others' units in the total are those that peers told of, first of all.
            let left = (customer.heard - others).max(-limit);
            others += left.max(0.0) - std::mem::replace(&mut customer.heard, left).max(0.0);
        }
        self.watch(call.customer, others, own);
        for id in waiting {
            let answered = self.requests.open.get(&id).is_some_and(|open| open.counted.is_some());
            if (call.request == Some(id) && !told) || (read && !known) {
                self.decide_untold(id);
            } else if answered && known {
                self.decide(id);
            }
        }
        let customer = self.quota.customers.get_mut(&call.customer).expect("just read");
        for (from, id, units) in std::mem::take(&mut customer.asks).into_iter().filter(|_| told) {
            self.asked(from, id, call.customer, units);
        }
        if reads {
            let window = call.window.saturating_sub(1);
            self.call(Call { window, amount: 0.0, request: None, ..call });
        }
    }

    /// The ordinary path: the counter has answered, and the weighted estimate decides.
    pub(crate) fn decide(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let of = open.request.customer;
        let heard = self.quota.customers[&of].heard.max(0.0);
        let within = self.within(of, open.counted.unwrap_or(0.0) + heard, 0.0);
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        customer.beyond = stepped(customer.beyond, within);
        customer.waiting.retain(|other| *other != id);
        let window = customer.window;
        if within {
            self.admit(id);
        } else {
            let request = self.requests.open[&id].request.clone();
            self.give_back(&request, None, window, request.units);
            self.refuse_beyond(id, RejectionReason::Quota);
        }
    }

    /// Refused units must not swell the count, or a greedy customer would be starved of its quota.
    pub(crate) fn give_back(&mut self, request: &Request, home: Option<u16>, window: u64, units: f64) {
        let of = request.customer;
        if let Some(home) = home {
            return self.give_back_home(request, home);
        }
        let crowded = self.settings.counter.is_none_or(|counter| self.spacing() > counter.timeout as f64);
        let customer = self.quota.customers.get_mut(&of).expect("has a call");
        let carried = crowded && customer.telling;
        customer.standing -= units;
        if window == customer.window {
            customer.total -= units;
            customer.owed -= if carried { units } else { 0.0 };
        } else if window + 1 == customer.window {
            customer.before -= units;
        }
        if !carried {
            self.call(Call { customer: of, window, amount: -units, request: None });
        }
    }

    pub(crate) fn refuse_beyond(&mut self, id: RequestId, reason: RejectionReason) {
        let request = &self.requests.open[&id].request;
        let customer = &self.quota.customers[&request.customer];
        let plan = &self.settings.plans[customer.plan];
        let wait = (customer.standing + request.units - plan.burst).max(0.0) / plan.rate * 1e6;
        self.refuse(id, wait as Micros, reason);
    }
}
