//! Connections of clients: accepted, served one request at a time, closed in order when the process drains.

mod head_timer;

use crate::request::handle;
use crate::state::Proxy;
use head_timer::{HeadTimer, TimedStream};
use http_body_util::Either;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::configuration::Limits;
use violetyoke_transport::net::{Listener, Stream};

/// The least that hyper accepts as the size of its read buffer (bytes).
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Time-outs while no configuration is known: requests are answered with 503 then.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_HEAD_TIMEOUT_MS: f64 = 5_000.0;
/// After an accept that failed, as when no file descriptor is left, the next is made so much later.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a connection may take.
struct ConnectionLimits {
    /// For how long it may be silent between requests. hyper's time-out of the head holds from then on, so this is no
    /// less than `head_timeout`.
    idle_timeout: Duration,
    /// How long the head of a request may take from its first byte.
    head_timeout: Duration,
    max_head_bytes: usize,
}

impl ConnectionLimits {
    fn new(limits: Option<Limits>) -> ConnectionLimits {
        let Some(limits) = limits else {
            return ConnectionLimits {
                idle_timeout: from_ms(DEFAULT_IDLE_TIMEOUT_MS),
                head_timeout: from_ms(DEFAULT_HEAD_TIMEOUT_MS),
                max_head_bytes: MIN_BUFFER_BYTES,
            };
        };
        ConnectionLimits {
            idle_timeout: from_ms(limits.idle_timeout_ms.max(limits.header_timeout_ms)),
            head_timeout: from_ms(limits.header_timeout_ms),
            max_head_bytes: (limits.max_header_bytes as usize).max(MIN_BUFFER_BYTES),
        }
    }
}

fn from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Accepts connections for as long as it is polled. Each connection has a task of its own, which ends with the
/// connection.
pub(crate) async fn serve(listener: Listener, proxy: Rc<Proxy>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(serve_connection(stream, proxy.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: Stream, proxy: Rc<Proxy>) {
    let _guard = proxy.serving.track_connection();
    let configuration = proxy.configuration.snapshot();
    let limits = ConnectionLimits::new(configuration.map(|configuration| configuration.routing().limits));
    let timer = HeadTimer::new();
    let service = service_fn(|request| {
        let (proxy, timer) = (proxy.clone(), timer.clone());
        timer.head_completed();
        async move {
            let mut response = handle(&proxy, request).await;
            timer.response_started(matches!(response.body(), Either::Right(_)));
            if proxy.serving.is_draining() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes);
    let stream = TimedStream { stream, timer: timer.clone() };
    let mut served = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // An error here is the client's: it broke off, or sent what is no request.
        _ = served.as_mut() => return,
        () = timer.expired(limits.head_timeout) => return,
        () = proxy.serving.connections_closing() => served.as_mut().graceful_shutdown(),
    }
    // The same; the request that was being served has its response.
    drop(served.await);
}
