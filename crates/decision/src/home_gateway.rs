//! Home gateways: while the counter is overloaded, one of the gateways that a customer uses counts for all
//! of them, and reports the admitted units to the counter, many requests with each call.

use crate::state::{Call, OpenRequest, Stage};
use crate::{interface::*, peer_message::Message, peer_updates::step_excess_share, primitives::mix};
use crate::{quota::MAX_SCALED_GATEWAYS, Gateway};

const RESPONSE_TIMEOUT: Micros = 200_000; // of a home gateway
const SKIPPED_FOR: Micros = 1_000_000; // after a time-out
const MAX_HOMES: u8 = 2; // tried for one request
const CALL_INTERVAL: f64 = 100e3; // us; least time between a home's calls for one customer ...
const CALL_INTERVAL_WINDOW: f64 = 0.5; // ... and the part of a window that they may lie apart
/// Windows for which a counter total is recent enough to admit by, under a hard limit. A customer with one
/// has one home gateway, which calls as often as it may: totals read elsewhere lack little of what it let in.
const TOTAL_VALID: f64 = 1.0;

impl Gateway {
    /// Whether home gateways count while the counter is overloaded: among few gateways, totals come in time.
    pub(crate) fn uses_homes(&self) -> bool {
        self.settings.limits.peer_messages && f64::from(self.settings.gateways) > MAX_SCALED_GATEWAYS
    }

    pub(crate) fn has_home(&self, customer_id: CustomerId) -> bool {
        self.uses_homes() && self.quota.customers[&customer_id].gateway_count > 1.0
    }

    /// Has a request counted at the next home of its customer, a peer or this gateway. False: none is left.
    pub(crate) fn query_home(&mut self, id: RequestId) -> bool {
        let (own, now) = (self.settings.index, self.now);
        let waits =
            |open: &&OpenRequest| open.stage == Stage::Deciding && self.has_home(open.request.customer);
        let Some(open) = self.requests.open.get(&id).filter(waits) else { return false };
        let (until, plan) = (self.useful_until(open), &self.settings.plans[usize::from(open.request.plan)]);
        let max_homes = if plan.hard_limit_rate > 0.0 { 1 } else { MAX_HOMES };
        let open = self.requests.open.get_mut(&id).expect("just read");
        let (customer_id, units) = (open.request.customer, open.request.units);
        let customer = self.quota.customers.get_mut(&customer_id).expect("loaded on arrival");
        customer.awaiting_total.retain(|other| *other != id);
        let (count, first) = (customer.gateway_count.max(1.0) as u64, u64::from(customer.first_gateway));
        // A home that did not respond to this request is gone, or accepts no more messages.
        if let Some(unresponsive) = open.home.take().filter(|unresponsive| *unresponsive != own) {
            self.unresponsive.insert(unresponsive, now + SKIPPED_FOR);
        }
        while open.homes_tried < max_homes {
            let position = (mix(customer_id) % count + u64::from(open.homes_tried)) % count;
            let home = ((first + position) % u64::from(self.settings.gateways)) as u16;
            open.homes_tried += 1;
            if self.unresponsive.get(&home).is_none_or(|until| *until <= now) {
                open.home = Some(home);
                self.requests.deadlines.set(id, (now + RESPONSE_TIMEOUT).min(until).max(now + 1));
                if home == own {
                    self.count_for_peer(own, id, customer_id, units);
                } else {
                    let data = encode_query(id, &open.request, units);
                    self.actions.push(Action::SendPeerMessage { to: Some(home), data });
                }
                return true;
            }
        }
        false
    }

    /// Takes back at its home the units of a request that was admitted there and not sent.
    pub(crate) fn refund_at_home(&mut self, request: &Request, home: u16) {
        if home == self.settings.index {
            self.count_for_peer(home, request.id, request.customer, -request.units);
        } else {
            let data = encode_query(request.id, request, -request.units);
            self.actions.push(Action::SendPeerMessage { to: Some(home), data });
        }
    }

    /// Counts units for another gateway, or for this one; takes back admitted ones where they are negative.
    pub(crate) fn count_for_peer(&mut self, from: u16, id: RequestId, customer_id: CustomerId, units: f64) {
        self.advance_window(customer_id);
        let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
        let length = self.settings.window(customer.plan).0;
        let stale = (self.now - customer.total_at) as f64 > TOTAL_VALID * length || customer.total_at == 0;
        customer.home_window = customer.window;
        let unknown = stale && self.settings.plans[customer.plan].hard_limit_rate > 0.0;
        if unknown && units > 0.0 {
            customer.queries.push((from, id, units));
            return self.report_units(customer_id, true);
        }
        let current = self.current_units(&self.quota.customers[&customer_id]);
        let within_quota = units <= 0.0 || self.within_quota(customer_id, current, units);
        let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
        let counted = if within_quota { units } else { 0.0 };
        (customer.unconfirmed, customer.unreported) =
            (customer.unconfirmed + counted, customer.unreported + counted);
        self.fill_bucket(customer_id, 0.0, counted);
        self.report_units(customer_id, false);
        let customer = &self.quota.customers[&customer_id];
        let plan = &self.settings.plans[customer.plan];
        let retry_after = ((customer.bucket + units - plan.burst).max(0.0) / plan.rate * 1e6).min(1e9) as u32;
        if from == self.settings.index {
            self.home_decided(from, id, within_quota, retry_after);
        } else if units > 0.0 {
            self.actions.push(Action::SendPeerMessage {
                to: Some(from),
                data: Message::Decision { id, within_quota, retry_after }.encode(),
            });
        }
    }

    pub(crate) fn home_decided(&mut self, from: u16, id: RequestId, within_quota: bool, retry_after: u32) {
        let awaits_home = |open: &&OpenRequest| open.stage == Stage::Deciding && open.home == Some(from);
        let Some(open) = self.requests.open.get(&id).filter(awaits_home) else { return };
        let customer = self.quota.customers.get_mut(&open.request.customer).expect("loaded on arrival");
        customer.excess_share = step_excess_share(customer.excess_share, within_quota);
        if within_quota {
            self.admit(id);
        } else {
            self.reject(id, Micros::from(retry_after), RejectionReason::Quota);
        }
    }

    /// Adds the admitted units to the counter, in calls at an interval, which is short if a total is needed.
    fn report_units(&mut self, customer_id: CustomerId, needed: bool) {
        let customer = &self.quota.customers[&customer_id];
        let at_once = needed || self.settings.plans[customer.plan].hard_limit_rate > 0.0;
        let max = if at_once { 0.0 } else { CALL_INTERVAL_WINDOW * self.settings.window(customer.plan).0 };
        let interval = self.query_interval().min(max).max(CALL_INTERVAL);
        if (self.now - customer.queried_at) as f64 >= interval && (needed || customer.unreported != 0.0) {
            let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
            customer.queried_at = self.now;
            let (window, amount) = (customer.window, std::mem::take(&mut customer.unreported));
            self.call_counter(Call { customer: customer_id, window, amount, request: None });
        }
    }
}

fn encode_query(id: RequestId, request: &Request, units: f64) -> Vec<u8> {
    let (customer_id, plan, first) = (request.customer, request.plan, request.first_gateway as u16);
    Message::Query { id, customer_id, plan, gateways: request.gateway_count as u16, first, units }.encode()
}
