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

/// Bounds of the size of hyper's read buffer (bytes). A client fills it before its request is refused.
const MIN_BUFFER_BYTES: u64 = 8 << 10;
const MAX_BUFFER_BYTES: u64 = 1 << 20;
/// Time-outs while the proxy has no configuration and responds to all requests with 503.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
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
                idle_timeout: DEFAULT_IDLE_TIMEOUT,
                head_timeout: DEFAULT_HEAD_TIMEOUT,
                max_head_bytes: MIN_BUFFER_BYTES as usize,
            };
        };
        ConnectionLimits {
            idle_timeout: limits.idle_timeout().max(limits.head_timeout()),
            head_timeout: limits.head_timeout(),
            max_head_bytes: limits.max_head_bytes().clamp(MIN_BUFFER_BYTES, MAX_BUFFER_BYTES) as usize,
        }
    }
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
