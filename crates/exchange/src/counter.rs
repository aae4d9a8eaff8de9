//! Calls to the counter service, for the decision module and for claims.
//!
//! A claim identifies a client's attempt, so that one that arrives through several ingresses is counted only
//! once; see [`violetyoke_ratelimit::claim`].

use crate::exchange::Exchange;
use crate::port::{CallId, CallStart, Port};
use crate::records::{CallPurpose, PendingCall};
use crate::timers::Timer;
use violetyoke_decision::interface::{Event, Micros, Outcome, RequestId};
use violetyoke_ratelimit::claim::{self, Verdict};

/// Time to live of a claim: the longest one that the counter service supports.
const CLAIM_TTL: Micros = 60_000_000;

impl<P: Port> Exchange<P> {
    /// Makes a counter call for the decision module.
    pub(super) fn start_count(&mut self, now: Micros, counter_id: u64, amount: f64, life: Micros) {
        let call = self.next_call_id();
        let (outcome, total) = match self.port.start_call(now, call, counter_id, amount, life) {
            CallStart::Pending(handle) => {
                return self.await_call(now, call, CallPurpose::Module { counter_id }, handle);
            }
            CallStart::Total(total) => (Outcome::Ok, total),
            CallStart::NotSent => (Outcome::ConnectFailed, 0.0),
        };
        self.events.push_back(Event::CounterAnswered { counter_id, outcome, total, elapsed: 0 });
    }

    /// Adds `amount` to a claim; `waiter` receives its total. If the call fails the claim is unchanged, so the
    /// next ingress that claims the client's attempt counts it as new.
    pub fn add_to_claim(&mut self, now: Micros, claim: u64, amount: f64, waiter: Option<P::ClaimWaiter>) {
        let call = self.next_call_id();
        let total = match self.port.start_call(now, call, claim, amount, CLAIM_TTL) {
            CallStart::Pending(handle) => {
                return self.await_call(now, call, CallPurpose::Claim { waiter }, handle);
            }
            CallStart::Total(total) => Some(total),
            CallStart::NotSent => None,
        };
        if let Some(waiter) = waiter {
            self.port.report_claim(waiter, total);
        }
    }

    fn next_call_id(&mut self) -> CallId {
        let call = self.next_call;
        self.next_call += 1;
        call
    }

    fn await_call(
        &mut self,
        now: Micros,
        call: CallId,
        purpose: CallPurpose<P::ClaimWaiter>,
        handle: P::Call,
    ) {
        self.calls.insert(call, PendingCall { purpose, started_at: now, handle });
        self.timers.set(now + self.counter_timeout, Timer::CallTimeout(call));
    }

    /// Adds the decision on a request to its claim, if it has one and no decision was added before.
    pub(super) fn report_outcome(&mut self, now: Micros, request: RequestId, verdict: Verdict) {
        let claim = self.requests.get_mut(&request).and_then(|open| open.claim.take());
        if let (Some(claim), Some(is_admitted)) = (claim, claim::outcome_to_report(verdict)) {
            self.add_to_claim(now, claim, claim::outcome(is_admitted), None);
        }
    }

    /// Handles the end of a counter call. The late result of a call that has timed out is ignored.
    pub fn counter_call_ended(&mut self, now: Micros, call: CallId, outcome: Outcome, total: f64) {
        let Some(PendingCall { purpose, started_at, .. }) = self.calls.remove(&call) else { return };
        match purpose {
            CallPurpose::Claim { waiter: Some(waiter) } => {
                self.port.report_claim(waiter, (outcome == Outcome::Ok).then_some(total));
            }
            CallPurpose::Claim { waiter: None } => {}
            CallPurpose::Module { counter_id } => {
                self.port.on_call_end(now, counter_id, outcome);
                let elapsed = now.saturating_sub(started_at);
                self.events.push_back(Event::CounterAnswered { counter_id, outcome, total, elapsed });
            }
        }
    }

    /// Ends a call that has timed out. A call that was never sent has added nothing.
    pub(super) fn time_out_call(&mut self, now: Micros, call: CallId) {
        let is_sent =
            self.calls.get(&call).is_some_and(|pending| self.port.may_have_been_sent(&pending.handle));
        let outcome = if is_sent { Outcome::Timeout } else { Outcome::ConnectFailed };
        self.counter_call_ended(now, call, outcome, 0.0);
    }
}
