//! Handling of timers that are due.

use crate::exchange::{Exchange, SWEEP_INTERVAL};
use crate::port::{AttemptId, CallId, Port, SendProgress};
use crate::records::{OpenRequest, PendingCall};
use crate::requests::respond_by;
use crate::timers::Timer;
use std::collections::HashMap;
use violetyoke_decision::interface::{Event, Micros, Outcome, RequestId};

/// How often the deadline of a request is checked again while its body is still arriving.
const UPLOAD_CHECK_INTERVAL: Micros = 20_000;

impl<P: Port> Exchange<P> {
    /// The time of the next call of [`Exchange::fire_due`].
    pub fn next_due(&mut self) -> Option<Micros> {
        let (requests, calls, port) = (&self.requests, &self.calls, &self.port);
        self.timers.next_due(|timer| is_stale(requests, calls, port, timer))
    }

    /// Fires all timers that are due, and processes the events of each. Timers that are set during this call
    /// fire in the next one.
    pub fn fire_due(&mut self, now: Micros) {
        let last_sequence = self.timers.last_sequence();
        while let Some(timer) = self.timers.pop(now, last_sequence) {
            self.fire(now, timer);
            self.process_events(now);
        }
    }

    fn fire(&mut self, now: Micros, timer: Timer) {
        if is_stale(&self.requests, &self.calls, &self.port, timer) {
            return;
        }
        if let Some(later) = self.postponed_to(now, timer) {
            return self.timers.set(later, timer);
        }
        match timer {
            Timer::Module(token) => self.events.push_back(Event::Timer { token }),
            Timer::ConnectTimeout(AttemptId { request, .. })
            | Timer::AttemptTimeout(AttemptId { request, .. }) => {
                self.cancel_if(now, request, Outcome::Timeout, |_| true);
            }
            Timer::RequestDeadline(request) => self.finish_undecided(now, request),
            Timer::CallTimeout(call) => self.time_out_call(now, call),
            Timer::Sweep => self.sweep(now),
        }
    }

    /// The time to which a request's timer is postponed because of an upload: the client's latency counts from
    /// the last byte of its request, and a backend starts to work only then.
    fn postponed_to(&self, now: Micros, timer: Timer) -> Option<Micros> {
        let (open, due) = match timer {
            Timer::RequestDeadline(request) => {
                let open = self.requests.get(&request)?;
                (open, respond_by(open.deadline))
            }
            Timer::AttemptTimeout(AttemptId { request, .. }) => {
                let open = self.requests.get(&request)?;
                (open, open.in_flight.as_ref()?.expires_at)
            }
            Timer::Module(_) | Timer::ConnectTimeout(_) | Timer::CallTimeout(_) | Timer::Sweep => {
                return None
            }
        };
        let upload = self.port.upload(&open.client)?;
        match upload.ended_at {
            None => Some(now + UPLOAD_CHECK_INTERVAL),
            Some(ended_at) => Some(due + ended_at.saturating_sub(upload.started_at)).filter(|due| *due > now),
        }
    }

    fn sweep(&mut self, now: Micros) {
        let (requests, calls, port) = (&self.requests, &self.calls, &self.port);
        self.timers.retain(|timer| !is_stale(requests, calls, port, timer));
        self.port.sweep(now, now.saturating_sub(self.max_idle), &self.gateway);
        self.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
    }
}

/// Whether a timer has no effect any more because its attempt, request or call has ended.
fn is_stale<P: Port>(
    requests: &HashMap<RequestId, OpenRequest<P>>,
    calls: &HashMap<CallId, PendingCall<P>>,
    port: &P,
    timer: Timer,
) -> bool {
    let in_flight = |id: AttemptId| {
        requests.get(&id.request)?.in_flight.as_ref().filter(|in_flight| in_flight.number == id.number)
    };
    match timer {
        Timer::ConnectTimeout(id) => in_flight(id)
            .is_none_or(|in_flight| port.send_progress(&in_flight.handle) != SendProgress::Nothing),
        Timer::AttemptTimeout(id) => in_flight(id).is_none(),
        Timer::RequestDeadline(request) => !requests.contains_key(&request),
        Timer::CallTimeout(call) => !calls.contains_key(&call),
        Timer::Module(_) | Timer::Sweep => false,
    }
}
