//! Requests: queued for a backend, sent as attempts, and ended with one final response.

use crate::state::{Attempt, OpenRequest, Stage};
use crate::{interface::*, Gateway};
use std::{cmp::Reverse, ops::Bound};

const MAX_QUEUEING: f64 = 0.3; // share of the latency target: the rest must suffice for the work
const RESPONSE_TICKS: u64 = 2; // subtracted from the latency target, for delivery to the client

impl Gateway {
    pub(crate) fn class(&self, open: &OpenRequest) -> &Class {
        &self.settings.classes[usize::from(open.request.class)]
    }

    pub(crate) fn admit(&mut self, id: RequestId) {
        let open = self.requests.open.get_mut(&id).expect("open");
        let customer = &self.quota.customers[&open.request.customer];
        let plan = &self.settings.plans[customer.plan];
        open.charged_window = (plan.rate > 0.0).then_some(customer.window);
        // The plan's limit on attempts in flight is applied to an estimate over all gateways.
        if plan.max_in_flight > 0.0 && f64::from(customer.in_flight) / customer.scale() >= plan.max_in_flight
        {
            self.reject(id, 0, RejectionReason::Cap);
        } else if self.settings.classes[usize::from(open.request.class)].admission_only {
            open.stage = Stage::Sent;
            self.actions.push(Action::Admit { request: id });
        } else {
            self.enqueue(id);
        }
    }

    /// Time after which a response has no more value than a rejection.
    pub(crate) fn useful_until(&self, open: &OpenRequest) -> Micros {
        let (class, tick) = (self.class(open), self.settings.tick);
        let abandoned_at = open.arrived + open.request.timeout.saturating_sub(tick);
        let late_has_value = class.late_value > 0.0 || class.streamed || class.latency_target_stretch > 0.0;
        let target = open.arrived + class.latency_target.saturating_sub(RESPONSE_TICKS * tick);
        abandoned_at.min(if late_has_value { Micros::MAX } else { target })
    }

    /// Queues a request: highest value per work first, in powers of 1.5, so that small changes don't reorder.
    pub(crate) fn enqueue(&mut self, id: RequestId) {
        let (open, class) = (&self.requests.open[&id], self.class(&self.requests.open[&id]));
        let max_wait = open.arrived + (MAX_QUEUEING * class.latency_target as f64) as Micros;
        let deadline = max_wait.max(self.now + self.settings.tick).min(self.useful_until(open));
        let value = class.value * self.settings.plans[usize::from(open.request.plan)].value;
        let value_per_work = value / self.fleet.best[usize::from(open.request.class)];
        let rank = Reverse((1e3 + value_per_work.max(1e-12).log(1.5)).round() as u64); // 1e3: kept positive
        let open = self.requests.open.get_mut(&id).expect("open");
        (open.stage, open.position) = (Stage::Queued, (rank, deadline, id));
        self.requests.queue.insert(open.position);
        self.requests.deadlines.set(id, deadline.max(self.now + self.settings.tick));
    }

    pub(crate) fn process_deadlines(&mut self) {
        while let Some(id) = self.requests.deadlines.pop(self.now) {
            match self.requests.open.get(&id).map(|open| open.stage) {
                Some(Stage::Deciding) => self.decide_without_total(id),
                Some(Stage::Queued) => self.reject(id, 0, RejectionReason::Held),
                _ => {}
            }
        }
    }

    pub(crate) fn set_timer(&mut self) {
        let sooner = |at: &Micros| self.requests.timer_at.is_none_or(|timer_at| *at < timer_at);
        if let Some(at) = self.requests.deadlines.first().filter(sooner) {
            self.requests.timer_at = Some(at);
            self.actions.push(Action::Timer { at, token: at });
        }
    }

    pub(crate) fn dispatch(&mut self) {
        let mut next = self.requests.queue.first().copied();
        while let Some(position) = next {
            match self.select_backend(position.2) {
                Some(backend) => {
                    self.requests.queue.remove(&position);
                    self.send(position.2, backend);
                }
                None if self.requests.open[&position.2].may_have_run.is_some() => {} // bound to some backends
                None => break,
            }
            next = self.requests.queue.range((Bound::Excluded(position), Bound::Unbounded)).next().copied();
        }
    }

    pub(crate) fn send(&mut self, id: RequestId, backend_id: BackendId) {
        let expires = self.useful_until(&self.requests.open[&id]);
        let (now, span, capacity) = (self.now, self.rate_span(), self.fleet_capacity());
        // Decays like the attempt count, which may include attempts to backends that have left since.
        self.fleet.capacity.raise_to(now, span, capacity);
        self.fleet.attempts.add(now, span, 1.0);
        let decay_time = self.attempt_decay();
        let open = self.requests.open.get_mut(&id).expect("held");
        let (class, customer) = (usize::from(open.request.class), open.request.customer);
        self.requests.deadlines.clear(id);
        open.stage = Stage::Sent;
        let units = if open.attempts == 0 { open.request.units } else { 0.0 };
        let attempt = Attempt { backend: backend_id, class, customer, sent_at: now };
        self.requests.in_flight.insert((id, open.attempts), attempt);
        open.attempts += 1;
        let backend = self.fleet.backends.get_mut(&backend_id).expect("picked");
        backend.in_flight += 1;
        backend.attempts.add(now, decay_time, 1.0);
        backend.gaps_needed = 1.0;
        self.quota.customers.get_mut(&customer).expect("loaded on arrival").in_flight += 1;
        self.actions.push(Action::Send { request: id, backend: backend_id, expires });
        self.queue_peer_update(customer, units);
    }

    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd) {
        let Some(attempt) = self.requests.in_flight.remove(&(end.request, end.attempt)) else { return };
        let backend = self.fleet.backends.get_mut(&attempt.backend).map(|backend| &mut backend.in_flight);
        let customer =
            self.quota.customers.get_mut(&attempt.customer).map(|customer| &mut customer.in_flight);
        backend.into_iter().chain(customer).for_each(|in_flight| *in_flight = in_flight.saturating_sub(1));
        self.record_outcome(attempt.backend, attempt.class, end.outcome, end.elapsed);
        if end.closed || end.outcome == Outcome::Ok {
            return self.close(end.request);
        }
        let Some(open) = self.requests.open.get_mut(&end.request) else { return };
        let may_have_run = (!end.outcome.not_executed()).then_some((attempt.backend, attempt.sent_at));
        open.may_have_run = open.may_have_run.or(may_have_run);
        if self.may_retry(end.request, end.outcome) {
            self.enqueue(end.request);
        } else {
            self.reject(end.request, 0, RejectionReason::Attempt);
        }
    }

    /// Whether a retry is permitted and can still be in time.
    pub(crate) fn may_retry(&self, id: RequestId, outcome: Outcome) -> bool {
        let open = &self.requests.open[&id];
        let typical = self.fleet.typical[usize::from(open.request.class)] as Micros;
        !(open.may_have_run.is_some() && self.class(open).idempotency == Idempotency::AtMostOnce)
            && u32::from(open.attempts) < self.settings.limits.max_attempts
            && outcome != Outcome::Moot
            && self.now + typical <= self.useful_until(open)
    }

    /// Ends a request without a response: rejected if the client may safely retry it, else failed.
    pub(crate) fn reject(&mut self, id: RequestId, retry_after: Micros, reason: RejectionReason) {
        let Some(open) = self.requests.open.get(&id) else { return };
        let class = self.class(open);
        let deduped = class.idempotency == Idempotency::Deduplicated && class.dedup_scope == DedupScope::All;
        let harmless = open.may_have_run.is_none() || class.idempotency == Idempotency::Idempotent || deduped;
        let limits = &self.settings.limits;
        let retry_after = if limits.retry_hints { retry_after.min(limits.max_retry_after) } else { 0 };
        let rejection = Action::Reject { request: id, retry_after, reason };
        self.actions.push(if harmless { rejection } else { Action::Fail { request: id, reason } });
        let unsent = open.charged_window.filter(|_| open.attempts == 0);
        let (home, request) = (open.home, open.request.clone());
        self.close(id);
        unsent.into_iter().for_each(|window| self.refund(&request, home, window, request.units));
    }

    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.open.remove(&id) else { return };
        self.requests.deadlines.clear(id);
        self.requests.queue.remove(&open.position);
        if let Some(customer) = self.quota.customers.get_mut(&open.request.customer) {
            customer.awaiting_total.retain(|other| *other != id);
            customer.open_requests = customer.open_requests.saturating_sub(1);
        }
    }
}
