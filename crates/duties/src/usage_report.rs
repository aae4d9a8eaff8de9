//! Usage reports: the attempts of each tenant in each time span, sent to a sink that gets every span once and in
//! order, even when the owner of the work changes.
//!
//! A span is *closed* in the store before it is sent: usage that is published later counts in the next span, so that
//! every owner sends the same content for a span. The lease's watermark is the last closed span. A new owner sends
//! that span again, and the sink drops duplicates.

use crate::control_client::{ControlClient, ControlError};
use crate::http_client::{Connection, HttpError};
use crate::lease::{LeaseHandle, LeaseInvalid};
use bytes::Bytes;
use hyper::{Request, StatusCode};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;
use violetyoke_ownership::Epoch;

/// Time limit for the sink's response.
const SINK_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Maximum pause before checking again whether a span has ended (ms).
const MAX_SPAN_WAIT_MS: u64 = 200;

/// Reports until the lease is to be handed over, or is no longer valid.
pub(crate) async fn run(control: ControlClient, sink: SocketAddr, lease: LeaseHandle) {
    let last_closed = lease.watermark;
    let unsent = (last_closed > 0).then_some(last_closed);
    UsageReport { control, sink, lease, last_closed, unsent }.run().await;
}

struct UsageReport {
    control: ControlClient,
    sink: SocketAddr,
    lease: LeaseHandle,
    /// The last span that was closed; 0: none yet.
    last_closed: u64,
    /// The last closed span, if the sink has not acknowledged it to this owner.
    unsent: Option<u64>,
}

/// Why a step failed.
#[derive(Debug, thiserror::Error)]
enum StepError {
    #[error("fenced by a newer owner")]
    Fenced,
    #[error(transparent)]
    LeaseInvalid(#[from] LeaseInvalid),
    #[error(transparent)]
    Control(ControlError),
    #[error(transparent)]
    Sink(#[from] HttpError),
    #[error("{0}")]
    InvalidRequest(#[from] hyper::http::Error),
    #[error("{path}: no {field}")]
    MissingField { path: String, field: &'static str },
    #[error("sink {sink}: {status}: {body}")]
    SinkResponse { sink: SocketAddr, status: StatusCode, body: Value },
}

impl UsageReport {
    /// Reports until the lease is to be handed over. A closed span is sent before that; a span that is still open
    /// passes to the next owner.
    async fn run(mut self) {
        let mut last_error = String::new();
        while !self.lease.is_ending() || self.unsent.is_some() {
            let step = match self.unsent {
                Some(span) => self.send(span).await,
                None => self.close_next().await,
            };
            let pause = match step {
                Ok(pause) => {
                    last_error.clear();
                    pause
                }
                Err(StepError::Fenced | StepError::LeaseInvalid(_)) => return,
                Err(error) => {
                    let error = error.to_string();
                    if error != last_error {
                        tracing::warn!(lease = %self.lease.claim.shard, %error, "the report is delayed");
                        last_error = error;
                    }
                    Some(RETRY_PAUSE)
                }
            };
            if let Some(pause) = pause {
                tokio::select! {
                    () = sleep(pause) => {}
                    () = self.lease.wait_until_ending() => {}
                }
            }
        }
    }

    fn path(&self, query: &str) -> String {
        let shard = &self.lease.claim.shard;
        format!("/v1/use/{}/{}?{query}", shard.role, shard.index)
    }

    /// Gives up the lease if the error says that the lease is fenced.
    fn on_control_error(&self, error: ControlError) -> StepError {
        match error {
            ControlError::Fenced { newest } => {
                self.lease.on_fenced(newest);
                StepError::Fenced
            }
            error => StepError::Control(error),
        }
    }

    async fn read(&self, path: &str) -> Result<Value, StepError> {
        self.control.get(path).await.map_err(|error| self.on_control_error(error))
    }

    /// Closes the span after the last closed one, if it has ended. Otherwise returns the time to wait before the next
    /// check.
    async fn close_next(&mut self) -> Result<Option<Duration>, StepError> {
        let path = self.path(&format!("after={}", self.last_closed));
        let next = self.read(&path).await?;
        let number = |field: &'static str| {
            next[field].as_u64().ok_or_else(|| StepError::MissingField { path: path.clone(), field })
        };
        let (span, left_ms) = (number("span")?, number("left_ms")?);
        // Waiting for the end of a span counts as progress.
        self.lease.record_progress(0);
        if left_ms > 0 {
            return Ok(Some(Duration::from_millis(left_ms.min(MAX_SPAN_WAIT_MS))));
        }
        self.lease.check("close").await?;
        let holder = self.lease.holder_name();
        let recorded = self.control.record_watermark(&holder, &self.lease.claim, span).await;
        recorded.map_err(|error| self.on_control_error(error))?;
        self.last_closed = span;
        self.unsent = Some(span);
        Ok(None)
    }

    /// Sends a closed span to the sink.
    async fn send(&mut self, span: u64) -> Result<Option<Duration>, StepError> {
        let usage = self.read(&self.path(&format!("span={span}"))).await?;
        let body = json!({ "span": span, "span_ms": usage["span_ms"], "tries": usage["tries"] });
        let claim = &self.lease.claim;
        let request = Request::post("/report")
            .header("vy-duty", claim.shard.to_string())
            .header("vy-epoch", claim.epoch.0)
            .header("vy-holder", self.lease.holder_name())
            .body(Bytes::from(body.to_string()))?;
        let connection = Connection::open(self.sink, SINK_TIMEOUT).await?;
        self.lease.check("send").await?;
        let response = connection.send(request, SINK_TIMEOUT).await?;
        // If the body is not JSON, the status alone decides.
        let body: Value = serde_json::from_slice(&response.body).unwrap_or(Value::Null);
        match (response.status, body["newest"].as_u64()) {
            (StatusCode::OK, _) => {
                self.lease.record_progress(1);
                self.unsent = None;
                Ok(None)
            }
            (StatusCode::CONFLICT, Some(newest)) => {
                self.lease.on_fenced(Epoch(newest));
                Err(StepError::Fenced)
            }
            (status, _) => Err(StepError::SinkResponse { sink: self.sink, status, body }),
        }
    }
}
