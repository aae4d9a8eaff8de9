//! Counting at a home: while the counter is crowded, one gateway of a customer's set counts for all of them,
//! and carries what it lets in to the counter, many requests with each call.

use crate::figures::mix;
use crate::interface::*;
use crate::peers::stepped;
use crate::quota::MAX_SCALED_GATEWAYS;
use crate::records::{Call, Open, Stage};
use crate::word::Word;
use crate::Gateway;

const RESPONSE_TIMEOUT: Micros = 200_000; // of a home gateway
const SKIPPED_FOR: Micros = 1_000_000; // after a time-out
const MAX_HOMES: u8 = 2; // tried for one request
const CALL_INTERVAL: f64 = 100e3; // us; least time between a home's calls for one customer ...
const CALL_INTERVAL_WINDOW: f64 = 0.5; // ... and the part of a window that they may lie apart
/// Windows for which a counter total is recent enough to admit by, under a hard limit. A customer with one
/// has one home gateway, which calls as often as it may: totals read elsewhere lack little of what it let in.
const TOTAL_VALID_FOR: f64 = 1.0;

impl Gateway {
    /// Whether homes count in this fleet while the counter is crowded: in a small one, totals come in time.
    pub(crate) fn homes(&self) -> bool {
        self.settings.limits.peer_messages && f64::from(self.settings.gateways) > MAX_SCALED_GATEWAYS
    }

    /// Whether a customer's requests may be counted at a home.
    pub(crate) fn has_home(&self, of: CustomerId) -> bool {
        self.homes() && self.quota.customers[&of].spread > 1.0
    }

    /// Has a request counted at the next of its customer's homes, a peer or this one; no: none is left.
    pub(crate) fn count_at_home(&mut self, id: RequestId) -> bool {
        let (own, now) = (self.settings.index, self.now);
        let asking = |open: &&Open| open.stage == Stage::Asking && self.has_home(open.request.customer);
        let Some(open) = self.requests.open.get(&id).filter(asking) else { return false };
        let (latest, plan) = (self.useless_at(open), &self.settings.plans[usize::from(open.request.plan)]);
        let homes = if plan.hard_limit_rate > 0.0 { 1 } else { MAX_HOMES };
        let open = self.requests.open.get_mut(&id).expect("just read");
        let (of, units) = (open.request.customer, open.request.units);
        let customer = self.quota.customers.get_mut(&of).expect("rolled on arrival");
        customer.waiting.retain(|other| *other != id);
        let (spread, first) = (customer.spread.max(1.0) as u64, u64::from(customer.first));
        // One that let an earlier request wait in vain has gone, or takes in no more.
        if let Some(silent) = open.home.take().filter(|silent| *silent != own) {
            self.silent.insert(silent, now + SKIPPED_FOR);
        }
        while open.homes < homes {
            let place = (mix(of) % spread + u64::from(open.homes)) % spread;
            let home = ((first + place) % u64::from(self.settings.gateways)) as u16;
            open.homes += 1;
            if self.silent.get(&home).is_none_or(|until| *until <= now) {
                open.home = Some(home);
                self.requests.due.set(id, (now + RESPONSE_TIMEOUT).min(latest).max(now + 1));
                if home == own {
                    self.asked(own, id, of, units);
                } else {
                    let data = ask(id, &open.request, units);
                    self.actions.push(Action::SendPeerMessage { to: Some(home), data });
                }
                return true;
            }
        }
        false
    }

    /// What a home let in was not sent on after all.
    pub(crate) fn give_back_home(&mut self, request: &Request, home: u16) {
        if home == self.settings.index {
            self.asked(home, request.id, request.customer, -request.units);
        } else {
            let data = ask(request.id, request, -request.units);
            self.actions.push(Action::SendPeerMessage { to: Some(home), data });
        }
    }

    /// A gateway of the set asks this one to count units, or gives some back that were let in.
    pub(crate) fn asked(&mut self, from: u16, id: RequestId, of: CustomerId, units: f64) {
        self.advance(of);
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        let length = self.settings.window(customer.plan).0;
        let old = (self.now - customer.told) as f64 > TOTAL_VALID_FOR * length || customer.told == 0;
        customer.homed = customer.window;
        let unknown = old && self.settings.plans[customer.plan].hard_limit_rate > 0.0;
        if unknown && units > 0.0 {
            customer.asks.push((from, id, units));
            return self.carry(of, true);
        }
        let seen = self.seen(&self.quota.customers[&of]);
        let within = units <= 0.0 || self.within(of, seen, units);
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        let counted = if within { units } else { 0.0 };
        (customer.unseen, customer.owed) = (customer.unseen + counted, customer.owed + counted);
        self.watch(of, 0.0, counted);
        self.carry(of, false);
        let customer = &self.quota.customers[&of];
        let plan = &self.settings.plans[customer.plan];
        let wait = ((customer.standing + units - plan.burst).max(0.0) / plan.rate * 1e6).min(1e9) as u32;
        if from == self.settings.index {
            self.judged(from, id, within, wait);
        } else if units > 0.0 {
            self.actions.push(Action::SendPeerMessage {
                to: Some(from),
                data: Word::Judged { id, within, wait }.write(),
            });
        }
    }

    /// A home has judged a request.
    pub(crate) fn judged(&mut self, from: u16, id: RequestId, within: bool, wait: u32) {
        let waits = |open: &&Open| open.stage == Stage::Asking && open.home == Some(from);
        let Some(open) = self.requests.open.get(&id).filter(waits) else { return };
        let customer = self.quota.customers.get_mut(&open.request.customer).expect("rolled on arrival");
        customer.beyond = stepped(customer.beyond, within);
        if within {
            self.admit(id);
        } else {
            self.refuse(id, Micros::from(wait), RejectionReason::Quota);
        }
    }

    /// Carries what was let in to the counter, in calls far enough apart; at once, where its total is needed.
    fn carry(&mut self, of: CustomerId, needed: bool) {
        let customer = &self.quota.customers[&of];
        let soon = needed || self.settings.plans[customer.plan].hard_limit_rate > 0.0;
        let most = if soon { 0.0 } else { CALL_INTERVAL_WINDOW * self.settings.window(customer.plan).0 };
        let apart = self.spacing().min(most).max(CALL_INTERVAL);
        if (self.now - customer.asked_at) as f64 >= apart && (needed || customer.owed != 0.0) {
            let customer = self.quota.customers.get_mut(&of).expect("just read");
            customer.asked_at = self.now;
            let (window, amount) = (customer.window, std::mem::take(&mut customer.owed));
            self.call(Call { customer: of, window, amount, request: None });
        }
    }
}

fn ask(id: RequestId, request: &Request, units: f64) -> Vec<u8> {
    let (of, plan, first) = (request.customer, request.plan, request.first_gateway as u16);
    Word::Ask { id, of, plan, gateway_count: request.gateway_count as u16, first, units }.write()
}
