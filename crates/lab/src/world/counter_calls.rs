//! Calls to the counter and their answers.

use super::*;
use crate::counter::{Arrival, Completion};

impl World<'_> {
    pub(super) fn send_call(&mut self, ingress: usize, epoch: u32, call: (u64, u64, f64, Micros)) {
        let (number, name, amount, ttl) = call;
        if self.is_measuring() {
            let calls = &mut self.outcome.calls;
            match amount {
                amount if amount > 0.0 => calls.decide += 1,
                amount if amount < 0.0 => calls.give_back += 1,
                _ => calls.read += 1,
            }
        }
        let call = Call { ingress, epoch, number, name, amount, lifetime: ttl, sent_at: self.now };
        if self.now < self.network_faults.counter[ingress] {
            return;
        }
        let delay = self.counter_delay();
        self.events.schedule(self.now + delay, WorldEvent::CallArrives(call));
    }

    fn counter_delay(&mut self) -> Micros {
        (self.experiment.counter.delay as f64 * self.links_rng.random_range(1.0..1.5)) as Micros
    }

    pub(super) fn on_call_arrival(&mut self, call: Call) {
        let (part, arrival) = self.counter.arrive(self.now, call);
        match arrival {
            Arrival::Started(at) => self.events.schedule(at, WorldEvent::CallDone(part)),
            Arrival::Queued => {}
            Arrival::QueueFull => {
                self.outcome.calls.turned_away += u64::from(self.is_measuring());
                let delay = self.counter_delay();
                self.events.schedule(
                    self.now + delay,
                    WorldEvent::CallAnswered { call, outcome: AttemptOutcome::Full, total: 0.0 },
                );
            }
            Arrival::Lost => self.outcome.calls.lost += u64::from(self.is_measuring()),
        }
    }

    pub(super) fn on_call_done(&mut self, part: usize) {
        let Some(Completion { call, total, next }) = self.counter.complete(self.now, part) else { return };
        if let Some(next) = next {
            self.events.schedule(next, WorldEvent::CallDone(part));
        }
        match total {
            Some(total) => {
                let delay = self.counter_delay();
                self.events.schedule(
                    self.now + delay,
                    WorldEvent::CallAnswered { call, outcome: AttemptOutcome::Ok, total },
                );
            }
            None => self.outcome.calls.lost += u64::from(self.is_measuring()),
        }
    }

    pub(super) fn on_call_answered(&mut self, call: Call, outcome: AttemptOutcome, total: f64) {
        if self.now < self.network_faults.counter[call.ingress] {
            return;
        }
        let timeout = self.experiment.settings.counter.map_or(0, |counter| counter.timeout);
        if self.now > call.sent_at + timeout && self.is_measuring() {
            self.outcome.calls.late += 1;
        }
        if self.ingresses[call.ingress].epoch == call.epoch {
            self.is_total_being_processed = outcome == AttemptOutcome::Ok;
            self.drive(call.ingress, |exchange, now| {
                exchange.counter_call_ended(now, call.number, outcome, total);
            });
            self.is_total_being_processed = false;
        }
    }
}
