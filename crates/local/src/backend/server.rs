//! The HTTP server of a stub backend.

use super::{lock, Backend, Execution, Fault, SLOTS};
use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::sync::atomic::Ordering;
use std::time::Instant;
use tokio::net::TcpListener;

type Reply = Response<Either<Full<Bytes>, Channel<Bytes, io::Error>>>;

/// Accepts connections until the runtime ends. Each connection is a task of its own.
pub(super) async fn serve(listener: TcpListener, backend: Backend) {
    while let Ok((stream, _)) = listener.accept().await {
        let backend = backend.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let backend = backend.clone();
                async move { respond(&backend, request).await }
            });
            let connection =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            #[expect(clippy::let_underscore_must_use, reason = "a proxy may close a connection at any time")]
            let _ = connection.await;
        });
    }
}

async fn respond(backend: &Backend, request: Request<Incoming>) -> Result<Reply, io::Error> {
    let attempt = header(request.headers(), "x-attempt-id").unwrap_or_default();
    if header(request.headers(), "x-target-instance").is_some_and(|id| id != backend.id) {
        return reply(backend, 421, &attempt, Bytes::new());
    }
    let execution = read_request(backend, request, attempt.clone()).await?;
    let body = Bytes::from(execution.response_body());
    let fault = *lock(&backend.state.fault);
    if fault == Fault::Rejects {
        let mut rejection = reply(backend, 503, &attempt, Bytes::new())?;
        rejection.headers_mut().insert("x-not-executed", HeaderValue::from_static("1"));
        return Ok(rejection);
    }
    execute(backend, execution).await;
    match fault {
        Fault::DropsResponses => return Err(io::ErrorKind::ConnectionReset.into()),
        Fault::Hangs => std::future::pending::<()>().await,
        Fault::FailsAfterExecution => return reply(backend, 503, &attempt, Bytes::new()),
        Fault::None | Fault::AnswersOtherAttempt | Fault::Rejects | Fault::TruncatesResponses => {}
    }
    let answered = if fault == Fault::AnswersOtherAttempt { "another" } else { &attempt };
    let mut response = reply(backend, 200, answered, body.clone())?;
    if fault == Fault::TruncatesResponses {
        response = response.map(|_| Either::Right(truncated(body)));
    }
    response.headers_mut().insert("x-server-seal", HeaderValue::from_static("seal"));
    if backend.spoils_numbers() {
        backend.spoil(response.headers_mut());
    }
    Ok(response)
}

fn header(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Reads the complete request before it is decided whether to execute it.
async fn read_request(
    backend: &Backend,
    request: Request<Incoming>,
    attempt: String,
) -> Result<Execution, io::Error> {
    let (parts, body) = request.into_parts();
    Ok(Execution {
        backend: backend.id.clone(),
        attempt,
        tenant: header(&parts.headers, "x-tenant"),
        operation_key: header(&parts.headers, "x-operation-key"),
        path: parts.uri.path().to_owned(),
        deadline_ms: header(&parts.headers, "x-deadline-ms").and_then(|ms| ms.parse().ok()),
        body: body.collect().await.map_err(io::Error::other)?.to_bytes(),
        started_at: Instant::now(),
    })
}

async fn execute(backend: &Backend, execution: Execution) {
    lock(&backend.state.executions).push(execution);
    backend.state.in_flight.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(backend.service_time).await;
    backend.state.in_flight.fetch_sub(1, Ordering::Relaxed);
}

/// The first half of `body`, and then the end of the connection.
fn truncated(body: Bytes) -> Channel<Bytes, io::Error> {
    let (mut sender, channel) = Channel::new(1);
    tokio::spawn(async move {
        let half = body.slice(..body.len() / 2);
        if sender.send_data(half).await.is_ok() {
            sender.abort(io::ErrorKind::ConnectionReset.into());
        }
    });
    channel
}

fn reply(backend: &Backend, status: u16, attempt: &str, body: Bytes) -> Result<Reply, io::Error> {
    let in_flight = backend.state.in_flight.load(Ordering::Relaxed);
    Response::builder()
        .status(status)
        .header("x-attempt-id", attempt)
        .header("x-instance-id", &backend.id)
        .header("x-server-load", format!("{in_flight},0,{SLOTS}"))
        .body(Either::Left(Full::new(body)))
        .map_err(io::Error::other)
}
