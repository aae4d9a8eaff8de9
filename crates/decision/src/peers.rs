//! Word between gateways, while calls to the counter are too rare for each to see the totals.

use crate::interface::*;
use crate::Gateway;
use std::collections::VecDeque;

/// Steps of the share refused where nothing is told, with each refusal on a total and each pass: it rests at
/// one refusal in five, so that told decisions fill the quota first.
const REFUSED_STEP: f64 = 0.32;
const PASSED_STEP: f64 = -0.08;
/// While calls are rare, gateways tell one another what they send on: part of the messages taken in that this
/// may use, for how long after the last crowd, and the length of a record (a customer and its units).
const NEWS_PART: f64 = 0.5;
pub(crate) const NEWS_STAY: f64 = 5e6;
const NEWS_RECORD: usize = 12;
const LONGEST_NEWS: usize = 252;

#[derive(Default)]
pub(crate) struct News {
    /// Customers whose latest units peers are yet to hear of, when that is next done, and until when it is.
    pub(crate) queue: VecDeque<CustomerId>,
    pub(crate) at: Micros,
    pub(crate) until: Micros,
}

/// The share refused untold, after a total has decided, here or at a peer.
pub(crate) fn stepped(beyond: f64, within: bool) -> f64 {
    (beyond + if within { PASSED_STEP } else { REFUSED_STEP }).clamp(0.0, 1.0)
}

impl Gateway {
    /// Tells a customer's other gateways how a total decided, while calls are too rare for each to see it.
    pub(crate) fn tell(&mut self, of: CustomerId, refused: bool) {
        let (now, gateways, own) = (self.now, self.settings.gateways, self.settings.index);
        let length = self.window_of(&self.settings.plans[self.quota.customers[&of].plan]).0 as Micros;
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        let due = now > customer.told_at + length && customer.beyond > REFUSED_STEP / 2.0;
        if due && self.settings.limits.peer_messages {
            customer.told_at = now;
            let data: Vec<u8> = of.to_le_bytes().into_iter().chain([u8::from(refused)]).collect();
            let set = (0..customer.spread as u16).map(|next| (customer.first + next) % gateways);
            let others = set.filter(|to| *to != own);
            self.actions.extend(others.map(|to| Action::Tell { to: Some(to), data: data.clone() }));
        }
    }

    /// Notes units sent on, for peers to be told of.
    pub(crate) fn note_news(&mut self, of: CustomerId, units: f64) {
        let Some(customer) = self.quota.customers.get_mut(&of).filter(|_| self.now < self.news.until) else {
            return;
        };
        if customer.telling && customer.spread > 1.0 {
            if customer.untold == 0.0 {
                self.news.queue.push_back(of);
            }
            customer.untold += units;
        }
    }

    pub(crate) fn spread_news(&mut self) {
        if self.news.queue.is_empty() || self.now < self.news.at {
            return;
        }
        let senders = f64::from(self.settings.gateways - 1);
        let pause = senders * 1e6 / (NEWS_PART * self.settings.limits.peer_intake);
        self.news.at = self.now + pause as Micros;
        let mut data = Vec::new();
        while data.len() < LONGEST_NEWS {
            let Some(of) = self.news.queue.pop_front() else { break };
            let Some(customer) = self.quota.customers.get_mut(&of) else { continue };
            data.extend(of.to_le_bytes());
            data.extend((std::mem::take(&mut customer.untold) as f32).to_le_bytes());
        }
        self.actions.push(Action::Tell { to: None, data });
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

    /// A peer's word in the form of `spread_news` or of `tell`; anything else changes nothing.
    pub(crate) fn told_by_peer(&mut self, data: &[u8]) {
        if data.len() % NEWS_RECORD == 0 {
            for record in data.chunks_exact(NEWS_RECORD) {
                let (of, units) = record.split_at(NEWS_RECORD - 4);
                if let (Ok(of), Ok(units)) = (of.try_into(), units.try_into()) {
                    self.heard(CustomerId::from_le_bytes(of), f64::from(f32::from_le_bytes(units)));
                }
            }
            return;
        }
        let Some((refused, of)) = data.split_last().filter(|(refused, _)| **refused < 2) else { return };
        let Ok(of) = <[u8; 8]>::try_from(of).map(CustomerId::from_le_bytes) else { return };
        if let Some(customer) = self.quota.customers.get_mut(&of) {
            customer.told_at = self.now;
            customer.beyond = stepped(customer.beyond, *refused == 0);
        }
    }
}
