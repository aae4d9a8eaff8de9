//! One attempt: sends a request to one backend, on an idle or a new connection, and validates the response.

use super::exchange::{exchange, ExchangeError};
use super::keep_alive::KeepAliveTimeout;
use super::pool::Connection;
use super::{AttemptError, AttemptRequest, ResponseStream, UpstreamResponse};
use crate::state::Proxy;
use bytes::BytesMut;
use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use violetyoke_balancing::Observation;
use violetyoke_transport::net;

/// Time-out for connecting to a backend of the same region, after which the backend counts as unreachable. It
/// is short because a request whose connection fails is certain not to have been executed, and the remaining
/// time can be used for another backend.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time-out for connecting to a backend of another region, for round trips of 55 ms and more
/// (docs/incidents/warm-too-early.md).
const CONNECT_TIMEOUT_OTHER_REGION: Duration = Duration::from_millis(450);

/// A valid response that can be forwarded.
pub(crate) struct AttemptResponse {
    pub(crate) response: UpstreamResponse,
    /// The rest of the body, if it is too large to be buffered.
    pub(crate) rest: Option<Box<ResponseStream>>,
    pub(crate) observation: Observation,
}

/// Sends the request to its backend. An attempt that has timed out is aborted only if `can_retry_elsewhere`.
///
/// # Errors
/// There is no response that can be forwarded. The error tells whether the request may have been executed.
pub(crate) async fn send(
    proxy: &Proxy,
    request: &AttemptRequest<'_>,
    can_retry_elsewhere: &dyn Fn() -> bool,
) -> Result<AttemptResponse, AttemptError> {
    let idle = proxy.connection_pool.acquire(request.backend_id, request.is_replayable);
    let is_reused = idle.is_some();
    let mut connection = match idle {
        Some(connection) => connection,
        None => open_connection(proxy, request).await.map_err(AttemptError::Connect)?,
    };
    let started_at = Instant::now();
    let mut result = exchange(&mut connection, request, is_reused, can_retry_elsewhere).await;
    if is_reused && result.as_ref().is_err_and(ExchangeError::precedes_response) {
        proxy.connection_pool.record_reset();
        // The replay counts against the retry budget because the backend may have executed the request before
        // it closed the connection.
        if request.is_replayable && proxy.retry_budgets.try_acquire(request.service) {
            connection = open_connection(proxy, request).await.map_err(AttemptError::Reconnect)?;
            result =
                exchange(&mut connection, request, false, can_retry_elsewhere).await.map_err(after_reset);
        }
    }
    let response = result.map_err(|error| attempt_error(error, is_reused && !request.is_replayable))?;
    complete(proxy, request, connection, response, started_at.elapsed())
}

async fn open_connection(proxy: &Proxy, request: &AttemptRequest<'_>) -> io::Result<Connection> {
    connect(proxy, request.address, request.is_same_region, request.deadline).await
}

/// Opens a connection to a backend.
pub(super) async fn connect(
    proxy: &Proxy,
    address: SocketAddrV4,
    is_same_region: bool,
    deadline: Instant,
) -> io::Result<Connection> {
    proxy.metrics.backend_connections.inc();
    let limit = if is_same_region { CONNECT_TIMEOUT } else { CONNECT_TIMEOUT_OTHER_REGION };
    let until = (Instant::now() + limit).min(deadline);
    let stream = timeout_at(until, net::connect(address.into())).await??;
    Ok(Connection { stream, buffer: BytesMut::new() })
}

/// Converts an error of a replay. The request may have been executed on the first connection, so `TooLate`,
/// which rules out an execution, becomes `TimedOut`.
fn after_reset(error: ExchangeError) -> ExchangeError {
    match error {
        ExchangeError::TooLate => ExchangeError::TimedOut,
        other => other,
    }
}

fn attempt_error(error: ExchangeError, is_unreplayable: bool) -> AttemptError {
    match error {
        ExchangeError::TooLate => AttemptError::TooLate,
        ExchangeError::TimedOut => AttemptError::TimedOut,
        ExchangeError::Client(source) => AttemptError::ClientBody(source),
        ExchangeError::Connection { source, .. } if is_unreplayable => AttemptError::ReusedConnection(source),
        ExchangeError::Connection { source, .. } => AttemptError::Connection(source),
    }
}

/// Validates the response, and keeps the connection for the next request or for the rest of this response.
fn complete(
    proxy: &Proxy,
    request: &AttemptRequest<'_>,
    connection: Connection,
    response: UpstreamResponse,
    latency: Duration,
) -> Result<AttemptResponse, AttemptError> {
    // Rejections may have no attempt id. If the connection were reused after one, a second rejection would be
    // taken for the response to the next request.
    let is_reusable = response.is_keep_alive && !response.is_rejection();
    let observation = Observation::Response { latency_ms: latency.as_millis() as u64, load: response.load };
    let keep_alive = response.keep_alive_timeout;
    let Some(reader) = response.rest else {
        // Bytes after a complete response belong to no request, so the connection is closed.
        if is_reusable && connection.buffer.is_empty() {
            release(proxy, request, connection, keep_alive);
        }
        return validate(response).map(|response| AttemptResponse { response, rest: None, observation });
    };
    let response = validate(response)?;
    let rest = ResponseStream {
        reader,
        connection,
        is_reusable,
        keep_alive,
        deadline: request.deadline,
        backend_id: request.backend_id.to_owned(),
        service: request.service.to_owned(),
    };
    Ok(AttemptResponse { response, rest: Some(Box::new(rest)), observation })
}

fn release(
    proxy: &Proxy,
    request: &AttemptRequest<'_>,
    connection: Connection,
    keep_alive: Option<KeepAliveTimeout>,
) {
    let max_connections = proxy.backends.max_connections(request.service);
    proxy.connection_pool.release(request.backend_id, connection, keep_alive, max_connections);
}

/// Returns the response if it may be forwarded to the client.
fn validate(response: UpstreamResponse) -> Result<UpstreamResponse, AttemptError> {
    if response.status == 421 {
        return Err(AttemptError::WrongInstance);
    }
    if response.is_not_executed {
        return Err(AttemptError::Rejected);
    }
    if matches!(response.status, 408 | 429 | 503) {
        return Err(AttemptError::UnconfirmedRejection(response.status));
    }
    if (200..300).contains(&response.status) && !response.is_sealed {
        return Err(AttemptError::Unsealed);
    }
    Ok(response)
}
