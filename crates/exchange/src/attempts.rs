//! The start, end and cancellation of attempts.

use crate::exchange::Exchange;
use crate::port::{AttemptId, FinalResponse, Port, SendProgress};
use crate::records::InFlight;
use crate::timers::Timer;
use violetyoke_decision::interface::{AttemptEnd, BackendId, Event, Micros, Outcome, Report, RequestId};
use violetyoke_ratelimit::claim::Verdict;

impl<P: Port> Exchange<P> {
    /// Starts the attempt that the decision module requests (`expires` 0: it may last until the request's
    /// deadline). An attempt that is not permitted, or that the backend does not accept, ends immediately.
    pub(super) fn send_attempt(
        &mut self,
        now: Micros,
        request: RequestId,
        backend: BackendId,
        expires: Micros,
    ) {
        let Some(open) = self.requests.get_mut(&request) else {
            return self.port.report_defect(&format!("an attempt for request {request}, which is closed"));
        };
        let number = open.attempts;
        open.attempts = number.saturating_add(1);
        let expires_at = if expires == 0 { open.deadline } else { expires.min(open.deadline) };
        // A part of a body that was passed to a connection is not buffered and can't be sent again.
        let can_send_body = self.port.upload(&open.client).is_none_or(|upload| upload.is_unsent);
        let is_permitted = can_send_body
            && !open.is_admission_check
            && u32::from(number) < self.limits.max_attempts.min(open.max_attempts)
            && open.in_flight.is_none()
            && expires_at > now;
        let id = AttemptId { request, number };
        let handle = if is_permitted {
            self.port.start_attempt(now, id, backend, &open.client, expires_at)
        } else {
            None
        };
        let Some(handle) = handle else {
            let outcome = if is_permitted { Outcome::Withheld } else { Outcome::Moot };
            return self.events.push_back(Event::AttemptEnded(attempt_end(id, backend, outcome)));
        };
        open.in_flight = Some(InFlight { number, backend, started_at: now, expires_at, handle });
        self.report_outcome(now, request, Verdict::Admitted);
        self.timers.set(expires_at, Timer::AttemptTimeout(id));
        self.timers.set(now + self.limits.connect_timeout, Timer::ConnectTimeout(id));
    }

    /// Handles the end of an attempt that was not cancelled. With [`Outcome::Ok`], `response` is sent to the
    /// client. The end of an attempt that is no longer in flight is ignored.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        id: AttemptId,
        outcome: Outcome,
        report: Report,
        response: P::Response,
    ) {
        let Some(open) = self.requests.get_mut(&id.request) else { return };
        let Some(in_flight) = open.in_flight.take_if(|in_flight| in_flight.number == id.number) else {
            return;
        };
        open.may_have_run |= !outcome.not_executed();
        let closed = outcome == Outcome::Ok;
        if closed {
            self.finish(now, id.request, FinalResponse::Served(response), None);
        }
        let progress = self.port.send_progress(&in_flight.handle);
        let end = in_flight.end(now, id.request, progress, outcome);
        self.report_end(now, AttemptEnd { closed, report, ..end });
    }

    /// Cancels the attempt in flight for an open request if there is one and `predicate` returns true for it.
    pub(super) fn cancel_if(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        predicate: impl FnOnce(&InFlight<P>) -> bool,
    ) {
        let open = self.requests.get_mut(&request);
        let in_flight =
            open.and_then(|open| open.in_flight.take_if(|in_flight: &mut InFlight<P>| predicate(in_flight)));
        if let Some(in_flight) = in_flight {
            self.cancel(now, request, in_flight, outcome);
        }
    }

    /// Cancels an attempt that was removed from its request, and reports `outcome` if it may have been
    /// executed. An attempt without a connection, or whose last byte was not sent, has not been executed; the
    /// latter is not the backend's fault.
    pub(super) fn cancel(
        &mut self,
        now: Micros,
        request: RequestId,
        in_flight: InFlight<P>,
        outcome: Outcome,
    ) {
        let progress = self.port.send_progress(&in_flight.handle);
        let outcome = match progress {
            SendProgress::Nothing => Outcome::ConnectFailed,
            SendProgress::Partial => Outcome::Withheld,
            SendProgress::Complete { .. } => outcome,
        };
        let open = self.requests.get_mut(&request);
        // A request that has its final response, or whose client has disconnected, has already been removed.
        let closed = open.is_none();
        if let Some(open) = open {
            open.may_have_run |= !outcome.not_executed();
        }
        let end = in_flight.end(now, request, progress, outcome);
        self.report_end(now, AttemptEnd { closed, ..end });
        self.port.cancel_attempt(in_flight.handle);
    }

    fn report_end(&mut self, now: Micros, end: AttemptEnd) {
        self.port.on_attempt_end(now, &end);
        self.events.push_back(Event::AttemptEnded(end));
    }
}

impl<P: Port> InFlight<P> {
    /// The end of this attempt at `now`. A backend starts to work when it has the last byte of the request, so
    /// the latency counts from then.
    fn end(&self, now: Micros, request: RequestId, progress: SendProgress, outcome: Outcome) -> AttemptEnd {
        let last_byte_at = match progress {
            SendProgress::Complete { last_byte_at } => last_byte_at,
            SendProgress::Nothing | SendProgress::Partial => 0,
        };
        let id = AttemptId { request, number: self.number };
        let elapsed = now.saturating_sub(self.started_at.max(last_byte_at));
        AttemptEnd { elapsed, ..attempt_end(id, self.backend, outcome) }
    }
}

/// The end of an attempt with zero duration whose request stays open.
fn attempt_end(id: AttemptId, backend: BackendId, outcome: Outcome) -> AttemptEnd {
    AttemptEnd {
        request: id.request,
        attempt: id.number,
        backend,
        outcome,
        elapsed: 0,
        closed: false,
        actual_units: 0.0,
        usage: 0,
        report: Report::new(),
    }
}
