//! Client connections: accepts them, serves one request at a time on each, and closes them gracefully when
//! the process drains.

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

/// Minimum size of hyper's read buffer (bytes).
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Time-outs while the proxy has no configuration and responds to all requests with 503.
const DEFAULT_IDLE_TIMEOUT_MS: f64 = 15_000.0;
const DEFAULT_HEAD_TIMEOUT_MS: f64 = 5_000.0;
/// Delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of a client connection.
struct ConnectionLimits {
    /// How long a connection may be idle between requests. Also used for hyper's head time-out, which
    /// includes the idle time, so it must not be less than `head_timeout`.
    idle_timeout: Duration,
    /// Time-out for receiving the head of a request, from its first byte.
    head_timeout: Duration,
    max_head_bytes: usize,
}

impl ConnectionLimits {
    fn new(limits: Option<Limits>) -> ConnectionLimits {
        let Some(limits) = limits else {
            return ConnectionLimits {
                idle_timeout: duration_from_ms(DEFAULT_IDLE_TIMEOUT_MS),
                head_timeout: duration_from_ms(DEFAULT_HEAD_TIMEOUT_MS),
                max_head_bytes: MIN_BUFFER_BYTES,
            };
        };
        ConnectionLimits {
            idle_timeout: duration_from_ms(limits.idle_timeout_ms.max(limits.header_timeout_ms)),
            head_timeout: duration_from_ms(limits.header_timeout_ms),
            max_head_bytes: (limits.max_header_bytes as usize).max(MIN_BUFFER_BYTES),
        }
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Accepts connections until the future is dropped. Each connection is served in a separate task, which ends
/// with the connection.
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
        // Errors are ignored: the client disconnected or sent an invalid request.
        _ = served.as_mut() => return,
        () = timer.expired(limits.head_timeout) => return,
        () = proxy.serving.connections_closing() => served.as_mut().graceful_shutdown(),
    }
    // Errors are ignored here too. A request that was being served has got its response.
    drop(served.await);
}
