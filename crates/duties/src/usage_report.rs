//! Usage reports: each time span's attempts by tenant, to a sink that gets every span once and in order, whoever owns
//! the work.
//!
//! A span is *closed* in the store before it is sent: usage published later counts in the next span, so that every
//! owner that sends the span sends the same. The lease's watermark is the last closed span. A new owner sends it once
//! more, and the sink drops duplicates.

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

/// How long the sink's response is awaited.
const SINK_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause until the end of a span is looked for again.
const MAX_SPAN_WAIT_MS: u64 = 200;

/// Reports until the lease is to be handed over, or is not valid any more.
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
    /// That span, if the sink has not acknowledged it to this owner.
    unsent: Option<u64>,
}

/// Why a step was not done.
#[derive(Debug, thiserror::Error)]
enum StepError {
    #[error("a newer owner has been here")]
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
    /// A span that is not closed may be handed over at any time; one that is closed is sent first.
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

    /// Gives up the lease if that is what the error says.
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

    /// Closes the span after the last closed one, if it is over; else the time to wait for that.
    async fn close_next(&mut self) -> Result<Option<Duration>, StepError> {
        let path = self.path(&format!("after={}", self.last_closed));
        let next = self.read(&path).await?;
        let number = |field: &'static str| {
            next[field].as_u64().ok_or_else(|| StepError::MissingField { path: path.clone(), field })
        };
        let (span, left_ms) = (number("span")?, number("left_ms")?);
        // There is nothing to do yet, which is no lack of progress.
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
        // Without JSON in the body the status decides alone.
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
