//! Word between gateways, while calls to the counter are too rare for each to see the totals.

use crate::interface::*;
use crate::records::Customer;
use crate::word::{Word, MOST_RECORDS};
use crate::Gateway;
use std::collections::VecDeque;

/// Steps of the share of requests rejected without a total, after a rejection and an admission by a total: it
/// rests at one rejection in five, so that decisions by totals fill the quota first.
const REJECTED_STEP: f64 = 0.32;
const ADMITTED_STEP: f64 = -0.08;
const UPDATE_PART: f64 = 0.5; // of the messages a gateway takes in, for updates while counter calls are rare
pub(crate) const UPDATES_LAST: f64 = 5e6; // us, from the last overload of the counter

#[derive(Default)]
pub(crate) struct News {
    /// Customers whose latest units peers are yet to hear of, when that is next done, and until when it is.
    pub(crate) queue: VecDeque<CustomerId>,
    pub(crate) at: Micros,
    pub(crate) until: Micros,
}

/// The share refused untold, after a total has decided, here or at a peer.
pub(crate) fn stepped(beyond: f64, within: bool) -> f64 {
    (beyond + if within { ADMITTED_STEP } else { REJECTED_STEP }).clamp(0.0, 1.0)
}

impl Gateway {
    /// Notes units sent on, for peers to be told of.
    pub(crate) fn note_news(&mut self, of: CustomerId, units: f64) {
        let crowded = units > 0.0 && self.now < self.news.until;
        let tells = |customer: &&mut Customer| crowded && customer.telling && customer.spread > 1.0;
        let Some(customer) = self.quota.customers.get_mut(&of).filter(tells) else { return };
        if customer.untold == 0.0 {
            self.news.queue.push_back(of);
        }
        customer.untold += units;
    }

    pub(crate) fn spread_news(&mut self) {
        if self.news.queue.is_empty() || self.now < self.news.at {
            return;
        }
        let senders = f64::from(self.settings.gateways - 1);
        let pause = senders * 1e6 / (UPDATE_PART * self.settings.limits.peer_message_rate);
        self.news.at = self.now + pause as Micros;
        let mut sent = Vec::new();
        while sent.len() < MOST_RECORDS {
            let Some(of) = self.news.queue.pop_front() else { break };
            let customer = self.quota.customers.get_mut(&of);
            sent.extend(customer.map(|customer| (of, std::mem::take(&mut customer.untold))));
        }
        self.actions.push(Action::SendPeerMessage { to: None, data: Word::Sent(sent).write() });
    }

    /// Takes note of units that a peer has sent on, but for those that the counter has shown already.
    pub(crate) fn heard(&mut self, of: CustomerId, units: f64) {
        if !self.quota.customers.contains_key(&of) || !(0.0..=1e6).contains(&units) {
            return;
        }
        self.advance(of);
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        let known = customer.heard.max(0.0);
        customer.heard += units;
        let came = customer.heard.max(0.0) - known;
        self.watch(of, came, 0.0);
    }

    /// A peer's word; what is none, or makes no sense, changes nothing.
    pub(crate) fn told_by_peer(&mut self, from: u32, data: &[u8]) {
        match Word::read(data) {
            Some(Word::Sent(records)) => records.into_iter().for_each(|(of, units)| self.heard(of, units)),
            Some(Word::Ask { id, of, plan, gateway_count, first, units }) => {
                let limited = self.settings.plans.get(usize::from(plan)).is_some_and(|plan| plan.rate > 0.0);
                if limited && units.abs() <= 1e6 && from < u32::from(self.settings.gateways) {
                    let (gateway_count, first_gateway) = (f64::from(gateway_count), first.into());
                    self.roll(&Request {
                        customer: of,
                        plan,
                        gateway_count,
                        first_gateway,
                        ..Request::default()
                    });
                    self.quota.customers.get_mut(&of).expect("just rolled").open -= 1;
                    self.asked(from as u16, id, of, units);
                }
            }
            Some(Word::Judged { id, within, wait }) => self.judged(from as u16, id, within, wait),
            None => {}
        }
    }
}
