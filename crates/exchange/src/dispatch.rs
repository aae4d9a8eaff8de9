//! Passing of events to the decision module, and execution of its actions.

use crate::exchange::Exchange;
use crate::port::{FinalResponse, Port};
use crate::timers::Timer;
use violetyoke_decision::interface::{Action, Event, Micros, Outcome, RejectionReason, RequestId};
use violetyoke_ratelimit::claim::Verdict;

impl<P: Port> Exchange<P> {
    /// Queues an event for the decision module. [`Exchange::process_events`] passes it to the module.
    pub fn enqueue(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Passes the queued events to the decision module and executes its actions, until the queue is empty.
    pub fn process_events(&mut self, now: Micros) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.gateway.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.perform(now, action));
            self.actions = actions;
        }
    }

    fn perform(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, backend, expires } => self.send_attempt(now, request, backend, expires),
            Action::Reject { request, retry_after, reason } => self.refuse(now, request, retry_after, reason),
            Action::Fail { request, reason } => {
                self.finish(now, request, FinalResponse::Failed, Some(reason))
            }
            Action::Admit { request } => {
                self.report_outcome(now, request, Verdict::Admitted);
                self.finish(now, request, FinalResponse::Admitted, None);
            }
            Action::Cancel { request, attempt } => {
                self.cancel_if(now, request, Outcome::Cancelled, |in_flight| in_flight.number == attempt);
            }
            Action::CloseIdle { backend } => self.port.close_idle(backend),
            Action::SetIdleTimeout { idle_timeout } => self.limit_idle(idle_timeout),
            Action::SendPeerMessage { to, data } => self.port.send_to_peers(now, to, data),
            Action::AddToCounter { counter_id, amount, ttl } => {
                self.start_count(now, counter_id, amount, ttl)
            }
            Action::Timer { at, token } => self.timers.set(at, Timer::Module(token)),
            Action::Log { text } => self.port.log(&format!("module: {text}")),
            Action::InternalError { text } => {
                self.port.report_defect(&format!("the decision module has failed: {text}"));
            }
            // The subscription to discovery never ends, and fetches the full list after each interruption by
            // itself.
            Action::Subscribe { .. } | Action::FetchList => {}
            Action::Probe { backend } => {
                self.port.log(&format!("module: asks to probe {backend}, which is not implemented"));
            }
        }
    }

    fn refuse(&mut self, now: Micros, request: RequestId, retry_after: Micros, why: RejectionReason) {
        let sent_before = self.requests.get(&request).is_some_and(|open| open.attempts > 0);
        self.report_outcome(now, request, Verdict::Rejected { was_forwarded: sent_before, retry_after });
        self.finish(now, request, FinalResponse::Refused { retry_after }, Some(why));
    }
}
