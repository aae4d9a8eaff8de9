//! Calls to the counter on their way there and back.

use super::*;
use crate::counter::Taken;

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
        let call = Call { ingress, epoch, number, name, amount, life, made: self.now };
        if self.now < self.cuts.counter[ingress] {
            return;
        }
        let way = self.counter_way();
        self.heap.set(self.now + way, Happens::CallComes(call));
    }

    fn counter_way(&mut self) -> Micros {
        (self.experiment.counter.delay as f64 * self.links_rng.random_range(1.0..1.5)) as Micros
    }

    pub(super) fn call_comes(&mut self, call: Call) {
        let (part, taken) = self.counter.take(self.now, call);
        match taken {
            Taken::Starts(at) => self.heap.set(at, Happens::CallDone(part)),
            Taken::Waits => {}
            Taken::Full => {
                self.outcome.calls.turned_away += u64::from(self.counts());
                let way = self.counter_way();
                self.heap.set(self.now + way, Happens::Counted { call, outcome: Outcome_::Full, total: 0.0 });
            }
            Taken::Lost => self.outcome.calls.lost += u64::from(self.counts()),
        }
    }

    pub(super) fn call_done(&mut self, part: usize) {
        let Some((call, total, next)) = self.counter.done(self.now, part) else { return };
        if let Some(next) = next {
            self.heap.set(next, Happens::CallDone(part));
        }
        match total {
            Some(total) => {
                let way = self.counter_way();
                self.heap.set(self.now + way, Happens::Counted { call, outcome: Outcome_::Ok, total });
            }
            None => self.outcome.calls.lost += u64::from(self.counts()),
        }
    }

    pub(super) fn counted(&mut self, call: Call, outcome: Outcome_, total: f64) {
        if self.now < self.cuts.counter[call.ingress] {
            return;
        }
        let timeout = self.experiment.settings.counter.map_or(0, |counter| counter.timeout);
        if self.now > call.made + timeout && self.counts() {
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
