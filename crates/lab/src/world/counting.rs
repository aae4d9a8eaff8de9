//! Calls to the counter on their way there and back.

use super::*;
use crate::counter::{Arrival, Completion};

impl World<'_> {
    pub(super) fn call(&mut self, ingress: usize, epoch: u32, call: (u64, u64, f64, Micros)) {
        let (number, name, amount, life) = call;
        if self.counts() {
            let calls = &mut self.outcome.calls;
            match amount {
                amount if amount > 0.0 => calls.decide += 1,
                amount if amount < 0.0 => calls.give_back += 1,
                _ => calls.read += 1,
            }
        }
        let call = Call { ingress, epoch, number, name, amount, lifetime: life, sent_at: self.now };
        if self.now < self.cuts.counter[ingress] {
            return;
        }
        let way = self.counter_way();
        self.events.schedule(self.now + way, Happens::CallComes(call));
    }

    fn counter_way(&mut self) -> Micros {
        (self.experiment.counter.delay as f64 * self.links_rng.random_range(1.0..1.5)) as Micros
    }

    pub(super) fn call_comes(&mut self, call: Call) {
        let (part, arrival) = self.counter.arrive(self.now, call);
        match arrival {
            Arrival::Started(at) => self.events.schedule(at, Happens::CallDone(part)),
            Arrival::Queued => {}
            Arrival::QueueFull => {
                self.outcome.calls.turned_away += u64::from(self.counts());
                let way = self.counter_way();
                self.events
                    .schedule(self.now + way, Happens::Counted { call, outcome: Outcome_::Full, total: 0.0 });
            }
            Arrival::Lost => self.outcome.calls.lost += u64::from(self.counts()),
        }
    }

    pub(super) fn call_done(&mut self, part: usize) {
        let Some(Completion { call, total, next }) = self.counter.complete(self.now, part) else { return };
        if let Some(next) = next {
            self.events.schedule(next, Happens::CallDone(part));
        }
        match total {
            Some(total) => {
                let way = self.counter_way();
                self.events.schedule(self.now + way, Happens::Counted { call, outcome: Outcome_::Ok, total });
            }
            None => self.outcome.calls.lost += u64::from(self.counts()),
        }
    }

    pub(super) fn counted(&mut self, call: Call, outcome: Outcome_, total: f64) {
        if self.now < self.cuts.counter[call.ingress] {
            return;
        }
        let timeout = self.experiment.settings.counter.map_or(0, |counter| counter.timeout);
        if self.now > call.sent_at + timeout && self.counts() {
            self.outcome.calls.late += 1;
        }
        if self.ingresses[call.ingress].epoch == call.epoch {
            self.by_total = outcome == Outcome_::Ok;
            self.drive(call.ingress, |exchange, now| {
                exchange.counter_call_ended(now, call.number, outcome, total);
            });
            self.by_total = false;
        }
    }
}
