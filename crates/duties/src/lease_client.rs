//! The connection from a lease holder to the lease manager.

use crate::control_client::{Call, ControlClient, ControlError};
use crate::http_client::Response;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::{Method, StatusCode};
use std::error::Error;
use std::time::Duration;
use violetyoke_ownership::{RenewRequest, RenewResponse};

/// How long the control plane may wait for a lease to become available, in seconds.
const WATCH_SECONDS: u64 = 20;
const WATCH_TIMEOUT: Duration = Duration::from_secs(WATCH_SECONDS + 10);

/// Why a lease manager gave no response. The caller tries again.
#[derive(Debug, thiserror::Error)]
pub enum LeaseClientError {
    /// A lease manager in another process.
    #[error(transparent)]
    Remote(#[from] ControlError),
    /// A lease manager in this process.
    #[error("{0}")]
    Local(#[source] Box<dyn Error + Send + Sync>),
}

/// A connection to the lease manager.
pub trait LeaseClient: Send + Sync {
    /// Renews, releases and requests leases. After an error it is not known whether the request was processed.
    fn renew(&self, request: RenewRequest) -> BoxFuture<'_, Result<RenewResponse, LeaseClientError>>;

    /// Returns when a lease may be available to the holder, or after a while.
    fn wait_for_lease(&self, holder: &str) -> BoxFuture<'_, Result<(), LeaseClientError>>;
}

impl LeaseClient for ControlClient {
    fn renew(&self, request: RenewRequest) -> BoxFuture<'_, Result<RenewResponse, LeaseClientError>> {
        const PATH: &str = "/v1/leases";
        let json_error = |source| ControlError::Json { path: PATH.to_string(), source };
        Box::pin(async move {
            let body = serde_json::to_vec(&request).map_err(json_error)?;
            let Response { status, body, .. } = self.send(Call::new(Method::POST, PATH, body.into())).await?;
            if status != StatusCode::OK {
                let body = String::from_utf8_lossy(&body).into_owned();
                return Err(ControlError::Response { path: PATH.to_string(), status, body }.into());
            }
            Ok(serde_json::from_slice(&body).map_err(json_error)?)
        })
    }

    fn wait_for_lease(&self, holder: &str) -> BoxFuture<'_, Result<(), LeaseClientError>> {
        // The only character of a holder's name that must be escaped in a query is `#`.
        let path = format!("/v1/leases?holder={}", holder.replace('#', "%23"));
        Box::pin(async move {
            let api_call = Call::new(Method::GET, &path, Bytes::new());
            let watch = Call { wait_seconds: Some(WATCH_SECONDS), timeout: WATCH_TIMEOUT, ..api_call };
            let Response { status, body, .. } = self.send(watch).await?;
            match status {
                StatusCode::OK | StatusCode::NOT_MODIFIED => Ok(()),
                status => {
                    let body = String::from_utf8_lossy(&body).into_owned();
                    Err(ControlError::Response { path, status, body }.into())
                }
            }
        })
    }
}
