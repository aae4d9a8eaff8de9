//! Connections of clients: taken, served one request at a time, ended in order.

mod heads;

use crate::request::handle;
use crate::state::Proxy;
use heads::{Heads, Watched};
use http_body_util::Either;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_transport::net::{Listener, Stream};

/// The least that hyper takes for its buffer.
const LEAST_HEAD: usize = 8 << 10;
/// The longest that a connection may keep silent where no configuration says.
const SILENT_MS: f64 = 15_000.0;
const HEAD_MS: f64 = 5_000.0;

pub async fn serve(listener: Listener, proxy: Rc<Proxy>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(connection(stream, proxy.clone()))),
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

async fn connection(stream: Stream, proxy: Rc<Proxy>) {
    let _guard = proxy.serving.track_connection();
    let limits = proxy.configuration.snapshot().map(|snapshot| snapshot.routing().limits);
    let silent = limits.map_or(SILENT_MS, |limits| limits.idle_timeout_ms.max(limits.header_timeout_ms));
    let late = Duration::from_secs_f64(limits.map_or(HEAD_MS, |limits| limits.header_timeout_ms) / 1000.0);
    let head = limits.map_or(LEAST_HEAD, |limits| (limits.max_header_bytes as usize).max(LEAST_HEAD));
    let heads = Heads::new();
    let service = service_fn(|request| {
        let (proxy, heads) = (proxy.clone(), heads.clone());
        heads.whole();
        async move {
            let mut reply = handle(&proxy, request).await;
            heads.answered(matches!(reply.body(), Either::Right(_)));
            if proxy.serving.is_draining() {
                reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs_f64(silent / 1000.0))
        .max_buf_size(head);
    let stream = Watched { stream, heads: heads.clone() };
    let mut served = pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        // A client that breaks off has its own reasons.
        _ = served.as_mut() => return,
        () = heads.late(late) => return,
        () = proxy.serving.connections_closing() => served.as_mut().graceful_shutdown(),
    }
    let _ = served.await;
}
