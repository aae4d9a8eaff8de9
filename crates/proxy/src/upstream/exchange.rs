//! One request and its response on one connection: the request is written while the response is read.

use super::framing::invalid;
use super::pool::Connection;
use super::response::{read_response, UpstreamResponse};
use super::AttemptRequest;
use crate::request_body::{BodyError, SendError};
use bytes::BytesMut;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::time::Duration;
use tokio::io::{split, AsyncRead, AsyncWriteExt};
use tokio::time::{timeout_at, Instant};

/// Interval at which an attempt that has timed out checks again whether it can be retried elsewhere.
const RETRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of responses to earlier requests that are skipped before the expected one.
const MAX_STALE_RESPONSES: usize = 4;

/// Why no response was read.
#[derive(Debug, thiserror::Error)]
pub(super) enum ExchangeError {
    /// The client's body was too large or incomplete.
    #[error("the client's request body is too large or incomplete")]
    Client(#[source] BodyError),
    /// The connection broke, or the response is invalid or belongs to another request.
    #[error("the connection broke, or the response is invalid")]
    Connection {
        /// Whether bytes of a response had arrived.
        has_responded: bool,
        source: io::Error,
    },
    /// The deadline passed before the request was written, for example because the process was suspended.
    #[error("the deadline passed before the request was sent")]
    TooLate,
    /// The deadline passed, or the attempt timed out and can be retried at another backend.
    #[error("no response in time")]
    TimedOut,
}

impl ExchangeError {
    /// Whether the connection failed before any byte of a response arrived.
    pub(super) fn precedes_response(&self) -> bool {
        matches!(self, ExchangeError::Connection { has_responded: false, .. })
    }
}

/// Sends a request and waits for its response until the deadline, or until the attempt has timed out and
/// `can_retry_elsewhere`. If no retry is possible, aborting the attempt would only fail a request that a
/// backend may still complete.
pub(super) async fn exchange(
    connection: &mut Connection,
    request: &AttemptRequest<'_>,
    is_reused: bool,
    can_retry_elsewhere: &dyn Fn() -> bool,
) -> Result<UpstreamResponse, ExchangeError> {
    let response = write_and_read(connection, request, is_reused);
    with_timeouts(response, request, can_retry_elsewhere).await.unwrap_or(Err(ExchangeError::TimedOut))
}

/// Runs the exchange. Returns `None` if the attempt timed out.
async fn with_timeouts<T>(
    exchange: impl Future<Output = T>,
    request: &AttemptRequest<'_>,
    can_retry_elsewhere: &dyn Fn() -> bool,
) -> Option<T> {
    let mut exchange = pin!(exchange);
    let mut timeout = request.timeout;
    while let Some(next_check) = timeout.filter(|next_check| *next_check < request.deadline) {
        match timeout_at(next_check, exchange.as_mut()).await {
            Ok(result) => return Some(result),
            Err(_) if can_retry_elsewhere() => return None,
            Err(_) => timeout = Some(next_check + RETRY_CHECK_INTERVAL),
        }
    }
    timeout_at(request.deadline, exchange).await.ok()
}

/// Writes the request and reads the response, which may arrive before the request is completely written.
async fn write_and_read(
    connection: &mut Connection,
    request: &AttemptRequest<'_>,
    is_reused: bool,
) -> Result<UpstreamResponse, ExchangeError> {
    if Instant::now() >= request.deadline {
        return Err(ExchangeError::TooLate);
    }
    if let Some(claim) = request.claim {
        claim.record_write();
    }
    let (mut reader, mut writer) = split(&mut connection.stream);
    let mut writing = pin!(async {
        writer.write_all(&request.bytes).await.map_err(SendError::Backend)?;
        request.body.send_rest(&mut writer).await
    });
    let mut reading = pin!(read_matching(&mut reader, &mut connection.buffer, request, is_reused));
    tokio::select! {
        biased;
        written = writing.as_mut() => match written {
            Ok(()) => reading.await,
            Err(SendError::Client(error)) => Err(ExchangeError::Client(error)),
            // The backend may have responded before it closed the connection, having received a part of the
            // body.
            Err(SendError::Backend(_)) if request.body.is_consumed() => reading.await.map(close_after),
            Err(SendError::Backend(source)) => {
                Err(ExchangeError::Connection { has_responded: false, source })
            }
        },
        response = reading.as_mut() => response.map(close_after),
    }
}

/// Marks the connection as not reusable because the request was not completely written.
fn close_after(response: UpstreamResponse) -> UpstreamResponse {
    UpstreamResponse { is_keep_alive: false, ..response }
}

/// Reads responses until the one with the attempt's id. A response without an id is accepted only if it is a
/// rejection and the first response on its connection: on a reused connection it may be a second response to
/// an earlier request, while the backend executes this one.
async fn read_matching(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    request: &AttemptRequest<'_>,
    is_reused: bool,
) -> Result<UpstreamResponse, ExchangeError> {
    for skipped in 0..MAX_STALE_RESPONSES {
        let response = read_response(stream, buffer, request.is_head).await.map_err(|source| {
            let has_responded = skipped > 0 || !buffer.is_empty();
            ExchangeError::Connection { has_responded, source }
        })?;
        match response.attempt_id.as_deref() {
            Some(id) if id == request.attempt_id => return Ok(response),
            None if response.is_rejection() && !is_reused && skipped == 0 => return Ok(response),
            // A response with another id belongs to an earlier request and is skipped, even if it is a
            // rejection. A large one is not read to its end.
            _ if response.rest.is_some() => break,
            _ => {}
        }
    }
    let source = invalid("no response to this request");
    Err(ExchangeError::Connection { has_responded: true, source })
}
