//! Forwards a request to one backend after another, as long as the outcome of the last attempt, the retry
//! budget and the deadline allow a retry.

mod attempts;
mod guard;
mod select;

use crate::operations::Claim;
use crate::request_body::RequestBody;
use crate::state::Proxy;
use crate::upstream::{AttemptError, ResponseStream, UpstreamResponse};
use attempts::Attempts;
use bytes::Bytes;
pub(crate) use guard::AttemptGuard;
use select::is_rejected_immediately;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_api::execution::{Execution, FailureReason};
use violetyoke_balancing::retry_policy::{RetryPolicy, MIN_ATTEMPT_MS, RETRY_AFTER_MS};
use violetyoke_balancing::{Millis, SelectionCriteria};

/// No attempt is made with less time than this until the deadline.
const MIN_ATTEMPT: Duration = Duration::from_millis(MIN_ATTEMPT_MS);

/// A request with everything that its attempts need.
pub(crate) struct ForwardRequest {
    pub(crate) service: String,
    /// Regions in which the request may be executed, by its route and by its tenant; an empty list allows
    /// all.
    pub(crate) home_regions: [Vec<String>; 2],
    pub(crate) policy: RetryPolicy,
    /// Priority among pending requests; 0 is the highest.
    pub(crate) priority: i64,
    /// Whether this is a HEAD request.
    pub(crate) is_head: bool,
    /// The client's id for the request, which each response must repeat.
    pub(crate) attempt_id: String,
    /// The head without the fields that each attempt adds.
    pub(crate) head: Bytes,
    pub(crate) body: RequestBody,
    pub(crate) arrived_at: Instant,
    /// When the time-out of the client or of the route expires.
    pub(crate) deadline: Instant,
    /// Id of the backend to which a connection was opened in advance for this request.
    pub(crate) preconnected: Cell<Option<String>>,
    /// The claim of the request's operation, on a keyed route.
    pub(crate) claim: Option<Claim>,
}

impl ForwardRequest {
    fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// The requirements on a backend, which excludes the `attempted` ones.
    pub(crate) fn criteria<'a>(&'a self, attempted: &'a [String]) -> SelectionCriteria<'a> {
        let home_regions = [self.home_regions[0].as_slice(), self.home_regions[1].as_slice()];
        SelectionCriteria { service: &self.service, attempted, home_regions }
    }
}

/// A response for the client.
pub(crate) struct ForwardResponse {
    /// The response, or the beginning of one that is too large to be buffered.
    pub(crate) response: UpstreamResponse,
    /// The rest of a response that is too large to be buffered.
    pub(crate) rest: Option<StreamedRest>,
}

/// The rest of a response. Its attempt stays in flight until the rest is forwarded.
pub(crate) struct StreamedRest {
    pub(crate) stream: Box<ResponseStream>,
    pub(crate) attempt: AttemptGuard,
}

/// The request ended without a response that can be forwarded.
#[derive(Debug, thiserror::Error)]
#[error("no response of a backend: {reason}")]
pub(crate) struct ForwardError {
    /// Whether a backend may have executed the request.
    pub(crate) execution: Execution,
    pub(crate) reason: FailureReason,
    /// Time after which the client may retry (ms), if known.
    pub(crate) retry_after_ms: Option<Millis>,
    /// The error of the last attempt, if there was one.
    #[source]
    last_attempt: Option<AttemptError>,
}

/// Checks before [`forward`] whether an attempt is likely to be possible. Acquires nothing, so [`forward`]
/// may still fail.
///
/// # Errors
/// The request should be rejected now, with this error.
pub(crate) fn check_overload(proxy: &Rc<Proxy>, request: &ForwardRequest) -> Result<(), ForwardError> {
    if is_rejected_immediately(proxy, request) {
        return Err(Attempts::new(proxy, request).give_up(FailureReason::Overloaded, Some(RETRY_AFTER_MS)));
    }
    Ok(())
}

/// Forwards a request until a backend responds or no further attempt is allowed.
///
/// # Errors
/// No attempt got a response. The error tells whether the request may have been executed.
pub(crate) async fn forward(
    proxy: &Rc<Proxy>,
    request: &ForwardRequest,
) -> Result<ForwardResponse, ForwardError> {
    proxy.retry_budgets.record_request(&request.service);
    let mut attempts = Attempts::new(proxy, request);
    loop {
        if request.time_left() < MIN_ATTEMPT {
            return Err(attempts.give_up(FailureReason::DeadlineExceeded, None));
        }
        let Some(backend_id) = attempts.select_backend().await else {
            return Err(attempts.give_up(FailureReason::Overloaded, Some(RETRY_AFTER_MS)));
        };
        if !attempts.acquire_retry() {
            return Err(attempts.give_up(FailureReason::Overloaded, None));
        }
        if let Some(response) = attempts.send(backend_id).await? {
            return Ok(response);
        }
    }
}
