//! Errors for which the proxy itself responds to a request.

use super::lookup::Denial;
use crate::forward::{ForwardError, ForwardRequest};
use crate::metrics::Metrics;
use crate::request_body::BodyError;
use violetyoke_api::Execution;
use violetyoke_balancing::Millis;

/// Why a request ends without a response of a backend.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    /// This proxy has not received a configuration yet.
    #[error("the proxy is not ready")]
    NotReady,
    /// The known configuration has no route or no tenant for the request, and no registry confirmed in time
    /// that it is the newest one.
    #[error("no registry confirmed in time that the configuration is up to date")]
    Unconfirmed,
    /// The newest configuration has no route or no tenant for the request.
    #[error(transparent)]
    Denied(#[from] Denial),
    /// The client's body is too large or incomplete.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The tenant's rate limit is exceeded.
    #[error("the tenant's rate limit is exceeded")]
    OverLimit {
        /// Time until the limit may have capacity again (ms).
        retry_after_ms: Millis,
    },
    /// The route has no service.
    #[error("the route has no service")]
    NoService,
    /// The route is keyed, and the request has no valid operation key.
    #[error("missing or invalid operation key")]
    InvalidOperationKey,
    /// Another request of the same operation is being executed.
    #[error("the operation is in progress")]
    OperationInProgress {
        /// Time after which the operation has probably finished (ms).
        retry_after_ms: Millis,
    },
    /// The operation may have been executed by this request or an earlier one, but no response is available.
    #[error("it is unknown whether the operation was executed")]
    UnknownOutcome,
    /// No store decided in time on the claim of the operation.
    #[error("the operation could not be claimed")]
    ClaimUnavailable,
    /// No backend responded.
    #[error(transparent)]
    Forward(ForwardError),
}

impl RequestError {
    /// Converts the error of a `request` that could not be forwarded. An error in the client's body takes
    /// precedence, whatever the results of the attempts.
    pub(super) fn from_forward(request: &ForwardRequest, error: ForwardError) -> RequestError {
        match request.body.error() {
            Some(body_error) => RequestError::Body(body_error),
            None => RequestError::Forward(error),
        }
    }

    /// Increments the metric of requests that ended with this error.
    pub(super) fn record(&self, metrics: &Metrics) {
        let counter = match self {
            RequestError::Denied(Denial::NoRoute) => &metrics.unknown_routes,
            RequestError::Denied(Denial::UnknownCredential) => &metrics.unknown_credentials,
            RequestError::OverLimit { .. } => &metrics.over_limit,
            RequestError::Forward(error) => match error.execution {
                Execution::NotExecuted => &metrics.rejected,
                Execution::Unknown => &metrics.failed,
            },
            RequestError::ClaimUnavailable => &metrics.rejected,
            RequestError::UnknownOutcome => &metrics.failed,
            RequestError::NotReady
            | RequestError::Unconfirmed
            | RequestError::Body(_)
            | RequestError::NoService
            | RequestError::InvalidOperationKey
            | RequestError::OperationInProgress { .. } => return,
        };
        counter.inc();
    }
}
