//! The attempts of one request: their backends, whether a retry is allowed, and their combined outcome.

use super::select::select_backend;
use super::{AttemptGuard, ForwardError, ForwardRequest, ForwardResponse, StreamedRest, MIN_ATTEMPT};
use crate::backends::BackendTarget;
use crate::request_body::MAX_BUFFERED_BYTES;
use crate::state::Proxy;
use crate::upstream::{self, AttemptError, AttemptRequest, AttemptResponse};
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_api::calls::header;
use violetyoke_api::execution::{Execution, FailureReason};
use violetyoke_balancing::retry_policy::RETRY_AFTER_MS;
use violetyoke_balancing::{Millis, Selection};

/// The deadline in a backend's request is this much earlier than the client's, to allow for the transfer of
/// the response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// The attempts of one request so far.
pub(super) struct Attempts<'a> {
    proxy: &'a Rc<Proxy>,
    request: &'a ForwardRequest,
    /// Ids of the backends that the request was sent to.
    attempted: Vec<String>,
    /// Whether any of the attempts may have executed the request.
    execution: Execution,
    last_error: Option<AttemptError>,
}

impl<'a> Attempts<'a> {
    pub(super) fn new(proxy: &'a Rc<Proxy>, request: &'a ForwardRequest) -> Attempts<'a> {
        let execution = Execution::NotExecuted;
        Attempts { proxy, request, attempted: Vec::new(), execution, last_error: None }
    }

    /// The id of the backend for the next attempt.
    pub(super) async fn select_backend(&self) -> Option<String> {
        select_backend(self.proxy, self.request, &self.attempted).await
    }

    /// Takes each attempt except the first from the retry budget. Returns whether the attempt is allowed.
    pub(super) fn acquire_retry(&self) -> bool {
        if self.attempted.is_empty() {
            return true;
        }
        let proxy = self.proxy;
        let is_allowed = proxy.retry_budgets.try_acquire(&self.request.service);
        let metrics = &proxy.metrics;
        let counter = if is_allowed { &metrics.retries } else { &metrics.retry_budget_exhausted };
        counter.inc();
        is_allowed
    }

    /// Makes one attempt. Returns `None` if it should be retried.
    pub(super) async fn send(&mut self, backend_id: String) -> Result<Option<ForwardResponse>, ForwardError> {
        let (proxy, request) = (self.proxy, self.request);
        let Some(target) = proxy.backends.target(&backend_id) else { return Ok(None) };
        let timeout = self.attempt_timeout(&target);
        let bytes = self.request_bytes(&backend_id);
        self.attempted.push(backend_id.clone());
        let mut guard = AttemptGuard::start(proxy, request, backend_id);
        let attempt = AttemptRequest {
            backend_id: &guard.backend_id,
            service: &request.service,
            address: target.address,
            is_same_region: target.is_same_region,
            attempt_id: &request.attempt_id,
            bytes,
            body: &request.body,
            is_head: request.is_head,
            is_replayable: request.policy.is_idempotent && !request.body.is_streamed(),
            claim: request.claim.as_ref(),
            timeout,
            deadline: request.deadline,
        };
        match upstream::send(proxy, &attempt, &|| self.can_retry_elsewhere()).await {
            Ok(response) => {
                guard.observation = response.observation;
                Ok(self.on_response(response, guard))
            }
            Err(error) => {
                guard.observation = error.observation();
                drop(guard);
                self.on_error(error).map(|()| None)
            }
        }
    }

    /// Time after which the attempt may be abandoned for a retry at another backend.
    fn attempt_timeout(&self, target: &BackendTarget) -> Option<Instant> {
        let left_ms = self.request.time_left().as_millis() as Millis;
        let timeout_ms = self.request.policy.attempt_timeout_ms(left_ms, target.latency_estimate_ms)?;
        Some(Instant::now() + Duration::from_millis(timeout_ms))
    }

    /// The head with the fields of this attempt, followed by the buffered part of the body.
    fn request_bytes(&self, backend_id: &str) -> Bytes {
        let request = self.request;
        let deadline_ms = request.time_left().saturating_sub(DEADLINE_MARGIN).as_millis();
        let body_bytes = match request.body.length() {
            _ if request.body.is_streamed() => MAX_BUFFERED_BYTES,
            length => length.unwrap_or(0) as usize,
        };
        let mut bytes = BytesMut::with_capacity(request.head.len() + body_bytes + 96);
        bytes.extend_from_slice(&request.head);
        let fields =
            format!("{}: {deadline_ms}\r\n{}: {backend_id}\r\n\r\n", header::DEADLINE, header::TARGET);
        bytes.extend_from_slice(fields.as_bytes());
        request.body.write_beginning(&mut bytes);
        bytes.freeze()
    }

    /// Returns the response to forward; `None` if the backend failed (5xx) and the request can be retried at
    /// another backend.
    fn on_response(&mut self, attempt: AttemptResponse, guard: AttemptGuard) -> Option<ForwardResponse> {
        self.execution = self.execution.combine(Execution::Unknown);
        let AttemptResponse { response, rest, .. } = attempt;
        if let Some(stream) = rest {
            let rest = Some(StreamedRest { stream, attempt: guard });
            return Some(ForwardResponse { response, rest });
        }
        drop(guard);
        let is_retried = response.status >= 500
            && self.may_retry()
            && self.request.time_left() > MIN_ATTEMPT * 2
            && self.can_retry_elsewhere();
        (!is_retried).then_some(ForwardResponse { response, rest: None })
    }

    /// Returns `Ok` if the request may be retried.
    fn on_error(&mut self, error: AttemptError) -> Result<(), ForwardError> {
        self.execution = self.execution.combine(error.execution());
        self.update_claim();
        self.last_error = Some(error);
        if self.may_retry() {
            return Ok(());
        }
        let is_late = self.request.time_left() < MIN_ATTEMPT;
        let reason = if is_late { FailureReason::DeadlineExceeded } else { FailureReason::Overloaded };
        let retry_after_ms = (self.execution == Execution::NotExecuted).then_some(RETRY_AFTER_MS);
        Err(self.give_up(reason, retry_after_ms))
    }

    /// Updates what is reported of the operation if its request ends now.
    fn update_claim(&self) {
        let Some(claim) = &self.request.claim else { return };
        match self.execution {
            Execution::NotExecuted => claim.record_not_executed(),
            Execution::Unknown => claim.record_write(),
        }
    }

    /// The error with which the request ends without a response.
    pub(super) fn give_up(&mut self, reason: FailureReason, retry_after_ms: Option<Millis>) -> ForwardError {
        let last_attempt = self.last_error.take();
        ForwardError { execution: self.execution, reason, retry_after_ms, last_attempt }
    }

    /// Whether the request and its route allow another attempt.
    fn may_retry(&self) -> bool {
        self.execution.may_retry(self.request.policy.is_idempotent)
            && self.request.policy.allows_another_attempt(self.attempted.len())
            && !self.request.body.is_consumed()
    }

    /// Whether a retry is allowed and a backend has capacity for it now; otherwise a running attempt must not
    /// be aborted. A draining proxy never aborts attempts, but waits for the backends' responses.
    fn can_retry_elsewhere(&self) -> bool {
        let (proxy, request) = (self.proxy, self.request);
        !proxy.serving.is_draining()
            && !request.body.is_consumed()
            && request.policy.allows_another_attempt(self.attempted.len())
            && proxy.retry_budgets.has_capacity(&request.service)
            && matches!(proxy.backends.select(request.criteria(&self.attempted)), Selection::Backend(_))
    }
}
