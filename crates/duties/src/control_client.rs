//! Calls to the control plane's administration API.

use crate::http_client::{call, HttpError, Response};
use bytes::Bytes;
use hyper::header::AUTHORIZATION;
use hyper::{Method, Request, StatusCode};
use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use violetyoke_ownership::{Claim, Epoch};

/// Time limit of a call that does not wait for a change.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a call to the control plane failed.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The lease is not the newest: a newer owner's operation was accepted before.
    #[error("fenced: the shard has a newer owner with epoch {newest}")]
    Fenced {
        /// The newest epoch.
        newest: Epoch,
    },
    /// The key cannot be read.
    #[error("control.key_file {}: {source}", path.display())]
    KeyFile {
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The request cannot be expressed in HTTP, because of its path or key.
    #[error("{0}")]
    InvalidRequest(#[from] hyper::http::Error),
    /// There was no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The request or the response is not valid JSON.
    #[error("{path}: {source}")]
    Json {
        /// The path that was called.
        path: String,
        /// The cause.
        source: serde_json::Error,
    },
    /// The control plane responded with an error, or with a body that is not valid for the endpoint.
    #[error("{path}: {status}: {body}")]
    Response {
        /// The path that was called.
        path: String,
        /// The status.
        status: StatusCode,
        /// The body.
        body: String,
    },
}

/// The control plane's address and the key to use.
#[derive(Clone, Debug)]
pub struct ControlClient {
    /// The address at which the control plane listens.
    pub address: SocketAddr,
    /// The file with the key. It is read for each call, since the key may be rotated.
    pub key_file: PathBuf,
}

/// One call.
pub(crate) struct Call<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) body: Bytes,
    /// For how long the control plane may wait for a change before it responds, in seconds.
    pub(crate) wait_seconds: Option<u64>,
    pub(crate) timeout: Duration,
}

impl<'a> Call<'a> {
    pub(crate) fn new(method: Method, path: &'a str, body: Bytes) -> Call<'a> {
        Call { method, path, body, wait_seconds: None, timeout: CALL_TIMEOUT }
    }
}

impl ControlClient {
    /// Makes one call. A response with any status is returned.
    pub(crate) async fn send(&self, api_call: Call<'_>) -> Result<Response, ControlError> {
        let key = std::fs::read_to_string(&self.key_file)
            .map_err(|source| ControlError::KeyFile { path: self.key_file.clone(), source })?;
        let mut request = Request::builder()
            .method(api_call.method)
            .uri(api_call.path)
            .header(AUTHORIZATION, format!("Bearer {}", key.trim()));
        if let Some(seconds) = api_call.wait_seconds {
            request = request.header("prefer", format!("wait={seconds}"));
        }
        Ok(call(self.address, request.body(api_call.body)?, api_call.timeout).await?)
    }

    async fn send_for_json(&self, api_call: Call<'_>) -> Result<Value, ControlError> {
        let path = api_call.path;
        let response = self.send(api_call).await?;
        let value: Value = if response.body.is_empty() {
            Value::Null
        } else {
            let parsed = serde_json::from_slice(&response.body);
            parsed.map_err(|source| ControlError::Json { path: path.to_string(), source })?
        };
        match (response.status, value["newest"].as_u64()) {
            (status, _) if status.is_success() => Ok(value),
            (StatusCode::CONFLICT, Some(newest)) => Err(ControlError::Fenced { newest: Epoch(newest) }),
            (status, _) => {
                Err(ControlError::Response { path: path.to_string(), status, body: value.to_string() })
            }
        }
    }

    /// Reads a JSON document; `Null` if there is no body.
    ///
    /// # Errors
    /// [`ControlError`].
    pub async fn get(&self, path: &str) -> Result<Value, ControlError> {
        self.send_for_json(Call::new(Method::GET, path, Bytes::new())).await
    }

    /// Posts a JSON document.
    ///
    /// # Errors
    /// [`ControlError`]; [`ControlError::Fenced`] if the body's claim is not the newest grant.
    pub async fn post(&self, path: &str, body: &Value) -> Result<Value, ControlError> {
        self.send_for_json(Call::new(Method::POST, path, body.to_string().into())).await
    }

    /// Puts a JSON document within `timeout`.
    ///
    /// # Errors
    /// [`ControlError`]; [`ControlError::Fenced`] if the body's claim is not the newest grant.
    pub async fn put(&self, path: &str, body: &Value, timeout: Duration) -> Result<Value, ControlError> {
        let api_call = Call::new(Method::PUT, path, body.to_string().into());
        self.send_for_json(Call { timeout, ..api_call }).await
    }

    /// Records the watermark of a shard's work, under a claim.
    ///
    /// # Errors
    /// [`ControlError`]; [`ControlError::Fenced`] if the claim is not the newest grant.
    pub async fn record_watermark(
        &self,
        holder: &str,
        claim: &Claim,
        watermark: u64,
    ) -> Result<(), ControlError> {
        let body = json!({
            "holder": holder, "duty": claim.shard.role, "shard": claim.shard.index, "epoch": claim.epoch,
            "mark": watermark,
        });
        self.post("/v1/leases/mark", &body).await.map(drop)
    }
}
