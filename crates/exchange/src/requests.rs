//! Requests, from acceptance to the final response.

use crate::exchange::Exchange;
use crate::port::{FinalResponse, Port, RequestSummary, SendProgress};
use crate::records::OpenRequest;
use crate::timers::Timer;
use violetyoke_decision::interface::{Event, Micros, Outcome, RejectionReason, Request, RequestId};

/// How long before its deadline a request is answered if the decision module has not decided by then.
const RESPONSE_MARGIN: Micros = 2_000;

/// A request as it is accepted.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The request, with its full budget.
    pub request: Request,
    /// When its last byte arrived; its budget counts from then.
    pub arrived_at: Micros,
    /// The request only checks admission and is not sent to a backend.
    pub is_admission_check: bool,
    /// The claim to which the decision on this request is added, if any.
    pub claim: Option<u64>,
}

/// The latest time at which a request with this deadline is answered.
pub(super) fn respond_by(deadline: Micros) -> Micros {
    deadline.saturating_sub(RESPONSE_MARGIN)
}

impl<P: Port> Exchange<P> {
    /// Accepts a request. The decision module receives it with its remaining budget.
    pub fn accept_request(&mut self, now: Micros, accepted: AcceptedRequest, client: P::Client) {
        let AcceptedRequest { request, arrived_at, is_admission_check, claim } = accepted;
        let deadline = arrived_at + request.timeout;
        let open = OpenRequest {
            client,
            customer: request.customer,
            is_admission_check,
            claim,
            deadline,
            attempts: 0,
            max_attempts: self.limits.max_attempts,
            may_have_run: false,
            in_flight: None,
        };
        self.requests.insert(request.id, open);
        self.timers.set(respond_by(deadline), Timer::RequestDeadline(request.id));
        self.events.push_back(Event::Request(Request { timeout: deadline.saturating_sub(now), ..request }));
    }

    /// Closes a request whose client has disconnected. The decision module is also notified of a request that
    /// was already admitted, which is no longer open here.
    pub fn abandon_request(&mut self, now: Micros, request: RequestId) {
        self.events.push_back(Event::Abandoned { request });
        if let Some(open) = self.requests.remove(&request) {
            self.port.request_abandoned(now, request, open.attempts);
            if let Some(in_flight) = open.in_flight {
                self.cancel(now, request, in_flight, Outcome::Cancelled);
            }
        }
    }

    /// Sends the final response and cancels the attempt in flight, if any. Does nothing if the request is
    /// already closed.
    pub(super) fn finish(
        &mut self,
        now: Micros,
        request: RequestId,
        response: FinalResponse<P::Response>,
        reason: Option<RejectionReason>,
    ) {
        let Some(open) = self.requests.remove(&request) else { return };
        let wants_quota = self.port.wants_quota(&open.client);
        let quota = if wants_quota { self.gateway.quota_state(open.customer) } else { None };
        let summary = RequestSummary { request, attempts: open.attempts, reason, quota };
        self.port.respond(now, summary, open.client, response);
        if let Some(in_flight) = open.in_flight {
            self.cancel(now, request, in_flight, Outcome::Cancelled);
        }
    }

    /// Responds to a request that the decision module has not decided in time. This is a defect of the module,
    /// but the client still gets a response.
    pub(super) fn finish_undecided(&mut self, now: Micros, request: RequestId) {
        let Some(open) = self.requests.get(&request) else { return };
        let may_have_run = open.may_have_run
            || open.in_flight.as_ref().is_some_and(|in_flight| {
                matches!(self.port.send_progress(&in_flight.handle), SendProgress::Complete { .. })
            });
        let attempts = open.attempts;
        self.port.report_defect(&format!("request {request} was not decided in time (attempts {attempts})"));
        self.events.push_back(Event::Abandoned { request });
        let response =
            if may_have_run { FinalResponse::Failed } else { FinalResponse::Refused { retry_after: 0 } };
        self.finish(now, request, response, None);
    }
}
