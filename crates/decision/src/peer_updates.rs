//! Updates between gateways on admitted units, while calls to the counter are too rare to show the totals.

use crate::peer_message::{Message, MAX_RECORDS};
use crate::{interface::*, state::Customer, Gateway};
use std::collections::VecDeque;

/// Changes of `excess_share` per decision by a total, here or at a home. The share is stable when one of five
/// is a rejection (0.2 * 0.32 = 0.8 * 0.08), so that decisions by totals fill the quota first.
const STEP_AFTER_REJECTION: f64 = 0.32;
const STEP_AFTER_ADMISSION: f64 = -0.08;
const UPDATE_SHARE: f64 = 0.5; // of the message rate that peers accept, while counter calls are rare
pub(crate) const UPDATE_DURATION: f64 = 5e6; // us, since the last overload of the counter

#[derive(Default)]
pub(crate) struct PeerUpdates {
    /// Customers with units not yet announced to peers; time of the next update; time at which updates end.
    pub(crate) queue: VecDeque<CustomerId>,
    pub(crate) next_at: Micros,
    pub(crate) until: Micros,
}

/// The next share of requests rejected without a total, after a decision by a total here or at a home.
pub(crate) fn step_excess_share(share: f64, within_quota: bool) -> f64 {
    (share + if within_quota { STEP_AFTER_ADMISSION } else { STEP_AFTER_REJECTION }).clamp(0.0, 1.0)
}

impl Gateway {
    /// Schedules an update on units that were sent.
    pub(crate) fn queue_peer_update(&mut self, customer_id: CustomerId, units: f64) {
        let active = units > 0.0 && self.now < self.peer_updates.until;
        let has_peers = |customer: &&mut Customer| active && customer.scaled && customer.gateway_count > 1.0;
        let Some(customer) = self.quota.customers.get_mut(&customer_id).filter(has_peers) else { return };
        if customer.unannounced == 0.0 {
            self.peer_updates.queue.push_back(customer_id);
        }
        customer.unannounced += units;
    }

    pub(crate) fn send_peer_updates(&mut self) {
        if self.peer_updates.queue.is_empty() || self.now < self.peer_updates.next_at {
            return;
        }
        let peer_count = f64::from(self.settings.gateways - 1);
        let interval = peer_count * 1e6 / (UPDATE_SHARE * self.settings.limits.peer_message_rate);
        self.peer_updates.next_at = self.now + interval as Micros;
        let mut records = Vec::new();
        while records.len() < MAX_RECORDS {
            let Some(customer_id) = self.peer_updates.queue.pop_front() else { break };
            let customer = self.quota.customers.get_mut(&customer_id);
            records.extend(customer.map(|customer| (customer_id, std::mem::take(&mut customer.unannounced))));
        }
        self.actions.push(Action::SendPeerMessage { to: None, data: Message::Units(records).encode() });
    }

    /// Adds units that a peer reports as sent, except those that a counter total has shown already.
    pub(crate) fn add_peer_units(&mut self, customer_id: CustomerId, units: f64) {
        if !self.quota.customers.contains_key(&customer_id) || !(0.0..=1e6).contains(&units) {
            return;
        }
        self.advance_window(customer_id);
        let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
        let before = customer.peer_units.max(0.0);
        customer.peer_units += units;
        let added = customer.peer_units.max(0.0) - before;
        self.fill_bucket(customer_id, added, 0.0);
    }

    /// Handles a peer's message; an invalid one changes nothing.
    pub(crate) fn on_peer_message(&mut self, from: u32, data: &[u8]) {
        match Message::decode(data) {
            Some(Message::Units(records)) => {
                records.into_iter().for_each(|(customer_id, units)| self.add_peer_units(customer_id, units))
            }
            Some(Message::Query { id, customer_id, plan, gateways, first, units }) => {
                let limited = self.settings.plans.get(usize::from(plan)).is_some_and(|plan| plan.rate > 0.0);
                if limited && units.abs() <= 1e6 && from < u32::from(self.settings.gateways) {
                    let (gateway_count, first_gateway) = (f64::from(gateways), first.into());
                    self.load_customer(&Request {
                        customer: customer_id,
                        plan,
                        gateway_count,
                        first_gateway,
                        ..Request::default()
                    });
                    // `load_customer` counts an open request, but this one is open at the peer.
                    self.quota.customers.get_mut(&customer_id).expect("just loaded").open_requests -= 1;
                    self.count_for_peer(from as u16, id, customer_id, units);
                }
            }
            Some(Message::Decision { id, within_quota, retry_after }) => {
                self.home_decided(from as u16, id, within_quota, retry_after)
            }
            None => {}
        }
    }
}
