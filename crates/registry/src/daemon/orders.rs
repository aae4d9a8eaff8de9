//! Who waits for the outcome of which order, round [`crate::orders`].

use super::stores::Stores;
use crate::orders::{Orders, StoreConnection};
use crate::Millis;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use violetyoke_transport::codec::encode_deflated;
use violetyoke_transport::messages::{Command, Outcome, StoreRequest};

pub(super) struct Clients {
    orders: Orders,
    /// By the number of their order. One that is dropped learns that its order is unclear.
    waiting: BTreeMap<u64, oneshot::Sender<Outcome>>,
}

impl Clients {
    /// `drawn` is a number that no other life of a registry has drawn.
    pub fn new(drawn: u64) -> Clients {
        Clients { orders: Orders::new(drawn), waiting: BTreeMap::new() }
    }

    pub fn give(&mut self, now: Millis, order: Command, stores: &Stores) -> oneshot::Receiver<Outcome> {
        let (sender, outcome) = oneshot::channel();
        let number = self.orders.give(now, order);
        self.waiting.insert(number, sender);
        self.step(now, stores);
        outcome
    }

    pub fn step(&mut self, now: Millis, stores: &Stores) {
        let orders = &mut self.orders;
        self.waiting.retain(|number, sender| {
            let gone = sender.is_closed();
            if gone {
                orders.cancel(*number);
            }
            !gone
        });
        let primary = stores.primary();
        let step = self.orders.step(now, primary.map(|(connection, _)| connection));
        for number in step.unclear {
            self.waiting.remove(&number);
        }
        let Some((_, sender)) = primary else { return };
        for (call, order) in step.calls {
            sender.send(encode_deflated(&StoreRequest::Execute { request_id: call, command: order }));
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn done(&mut self, now: Millis, from: StoreConnection, call: u64, outcome: Outcome) {
        let Some((number, outcome)) = self.orders.done(now, from, call, outcome) else { return };
        if let Some(sender) = self.waiting.remove(&number) {
            // Whoever waited may have gone.
            let _ = sender.send(outcome);
        }
    }

    pub fn lost(&mut self, connection: StoreConnection) {
        self.orders.lost(connection);
    }
}
