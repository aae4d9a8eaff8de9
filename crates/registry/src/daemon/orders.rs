//! Operators' orders on their way to the primary store: again, unchanged, until one answers or their time is up.

use super::stores::Stores;
use crate::Millis;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use tokio::sync::oneshot;
use violetyoke_transport::frame::encode;
use violetyoke_transport::messages::{Order, Outcome, StoreRequest};

/// An order that no store answers for so long has no clear answer.
const PATIENCE: Millis = 2_800;
/// A store that keeps silent for so long is asked again: the answer may have been lost.
const AGAIN: Millis = 900;

struct Waiting {
    order: Order,
    since: Millis,
    sent: Option<(Ipv4Addr, Millis)>,
    not_before: Millis,
    answer: oneshot::Sender<Outcome>,
}

#[derive(Default)]
pub(super) struct Orders {
    waiting: BTreeMap<u64, Waiting>,
    next: u64,
}

impl Orders {
    pub fn give(&mut self, now: Millis, order: Order, stores: &Stores) -> oneshot::Receiver<Outcome> {
        let (answer, outcome) = oneshot::channel();
        self.next += 1;
        self.waiting.insert(self.next, Waiting { order, since: now, sent: None, not_before: 0, answer });
        self.tick(now, stores);
        outcome
    }

    pub fn tick(&mut self, now: Millis, stores: &Stores) {
        self.waiting.retain(|_, one| now <= one.since + PATIENCE && !one.answer.is_closed());
        let Some((ip, sender)) = stores.primary() else { return };
        for (call, one) in &mut self.waiting {
            let waits = one.sent.is_some_and(|(to, at)| to == ip && now < at + AGAIN);
            if !waits && now >= one.not_before {
                one.sent = Some((ip, now));
                sender.send(encode(&StoreRequest::Do { call: *call, order: one.order.clone() }));
            }
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn done(&mut self, now: Millis, call: u64, outcome: Outcome) {
        if outcome == Outcome::Elsewhere {
            if let Some(one) = self.waiting.get_mut(&call) {
                (one.sent, one.not_before) = (None, now + 40);
            }
        } else if let Some(one) = self.waiting.remove(&call) {
            // Whoever waited may have gone.
            let _ = one.answer.send(outcome);
        }
    }

    /// The connection to a store has ended.
    pub fn lost(&mut self, ip: Ipv4Addr) {
        for one in self.waiting.values_mut().filter(|one| one.sent.is_some_and(|(to, _)| to == ip)) {
            one.sent = None;
        }
    }
}
