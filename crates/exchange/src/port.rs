//! The interface to the environment: sockets in the ingress, an emulated fleet in the crate `lab`.

use violetyoke_decision::interface::{AttemptEnd, BackendId, Micros, Outcome, RejectionReason, RequestId};
use violetyoke_decision::view::QuotaState;
use violetyoke_decision::Gateway;

/// Identifies a counter call of an exchange.
pub type CallId = u64;

/// The operations that an exchange needs from its environment. An implementation makes no decisions. It
/// executes each call immediately and reports the result to the exchange later, never from inside the call.
pub trait Port {
    /// State that is kept for a client until its final response.
    type Client;
    /// The content of a successful response.
    type Response;
    /// A handle of an attempt in flight.
    type Attempt;
    /// A handle of a pending counter call.
    type Call;
    /// Receives the total of a claim.
    type ClaimWaiter;

    /// Starts an attempt. Its end is reported by [`crate::Exchange::attempt_ended`]. `None`: the backend
    /// accepts no new requests.
    fn start_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        backend: BackendId,
        client: &Self::Client,
        expires_at: Micros,
    ) -> Option<Self::Attempt>;
    /// How much of an attempt's request has been sent.
    fn send_progress(&self, attempt: &Self::Attempt) -> SendProgress;
    /// Cancels an attempt and closes its connection.
    fn cancel_attempt(&mut self, attempt: Self::Attempt);
    /// The upload of a request whose body was incomplete when the request was accepted.
    fn upload(&self, client: &Self::Client) -> Option<Upload>;

    /// Starts a counter call that adds `amount` to a count with this time to live. The total of a pending call
    /// is reported by [`crate::Exchange::counter_call_ended`].
    fn start_call(
        &mut self,
        now: Micros,
        call: CallId,
        count: u64,
        amount: f64,
        life: Micros,
    ) -> CallStart<Self::Call>;
    /// Whether a call may have been sent. A call that was not sent has added nothing.
    fn may_have_been_sent(&self, call: &Self::Call) -> bool;
    /// Reports the total of a claim. `None`: the total did not arrive in time.
    fn report_claim(&mut self, waiter: Self::ClaimWaiter, total: Option<f64>);

    /// Whether the response to this client carries the state of its quota.
    fn wants_quota(&self, client: &Self::Client) -> bool;
    /// Sends the final response.
    fn respond(
        &mut self,
        now: Micros,
        summary: RequestSummary,
        client: Self::Client,
        response: FinalResponse<Self::Response>,
    );
    /// A client has disconnected before the final response.
    fn request_abandoned(&mut self, now: Micros, request: RequestId, attempts: u8);

    /// Closes all idle connections to a backend.
    fn close_idle(&mut self, backend: BackendId);
    /// Sets the idle time after which a connection is no longer reused.
    fn set_max_idle(&mut self, max_idle: Micros);
    /// Sends a message to another ingress, or to all of them (`None`).
    fn send_to_peers(&mut self, now: Micros, to: Option<u16>, data: Vec<u8>);
    /// Logs a line.
    fn log(&mut self, text: &str);
    /// Reports a fault of the program itself, of the decision module or of this crate.
    fn report_defect(&mut self, text: &str);
    /// Performs the periodic clean-up: closes connections that have been idle since before `idle_since`.
    fn sweep(&mut self, now: Micros, idle_since: Micros, gateway: &Gateway);

    /// Observes the end of an attempt, as it is reported to the decision module.
    fn on_attempt_end(&mut self, _now: Micros, _end: &AttemptEnd) {}
    /// Observes the end of a counter call that was made for the decision module.
    fn on_call_end(&mut self, _now: Micros, _count: u64, _outcome: Outcome) {}
}

/// Identifies an attempt: its request, and its number among that request's attempts, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt.
    pub number: u8,
}

/// How much of a request has been sent to a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendProgress {
    /// No byte was sent: the request has not been executed.
    Nothing,
    /// The last byte was not sent: the request has not been executed, and the backend is not at fault.
    Partial,
    /// The complete request may have been sent.
    Complete {
        /// When the last byte was sent; 0: at the same time as the first one.
        last_byte_at: Micros,
    },
}

/// The upload of a body that is forwarded while it arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upload {
    /// When its request was accepted.
    pub started_at: Micros,
    /// When its last byte arrived; `None`: the upload has not ended.
    pub ended_at: Option<Micros>,
    /// Whether no part of the body has been passed to a connection. Only then can the request be sent again.
    pub is_unsent: bool,
}

/// The result of starting a counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallStart<C> {
    /// The call is pending.
    Pending(C),
    /// The count is kept in this process; this is its total.
    Total(f64),
    /// The call could not be made and has added nothing.
    NotSent,
}

/// A summary of a request at its final response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestSummary {
    /// The request.
    pub request: RequestId,
    /// Attempts that the decision module requested.
    pub attempts: u8,
    /// The rule by which the request was rejected or failed, if any.
    pub reason: Option<RejectionReason>,
    /// The state of the customer's quota, for a client that wants it ([`Port::wants_quota`]).
    pub quota: Option<QuotaState>,
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse<R> {
    /// A backend's response.
    Served(R),
    /// Not executed: a retry is safe.
    Refused {
        /// Recommended delay before a retry; 0: no recommendation.
        retry_after: Micros,
    },
    /// Failed; an attempt may have been executed.
    Failed,
    /// The answer to an admission check: the request may proceed.
    Admitted,
}

impl<R> FinalResponse<R> {
    /// The name of the kind of response.
    pub fn kind(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Refused { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::Admitted => "admitted",
        }
    }
}
