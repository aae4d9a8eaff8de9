//! The HTTP server for the platform and for operators. It answers readiness checks, and publishes metrics and the state of
//! the backends.

use crate::metrics::Gauges;
use crate::state::Proxy;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::calls::{Call, CallTarget};
use violetyoke_balancing::BackendReport;
use violetyoke_transport::net::{Listener, Stream};

/// The pause after a failed accept, which may be due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves until the task is aborted.
pub(crate) async fn serve(listener: Listener, proxy: Rc<Proxy>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::task::spawn_local(serve_connection(stream, proxy.clone()))),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection(stream: Stream, proxy: Rc<Proxy>) {
    let service = service_fn(|request| {
        let response = respond(&request, &proxy);
        async move { Ok::<_, Infallible>(response) }
    });
    // Errors are ignored: the caller has closed the connection or sent an invalid request.
    let connection = Builder::new().serve_connection(TokioIo::new(stream), service);
    drop(connection.await);
}

fn respond(request: &Request<Incoming>, proxy: &Proxy) -> Response<Full<Bytes>> {
    let uri = request.uri();
    let call = Call::find(CallTarget::Edge, request.method().as_str(), uri.path(), uri.query());
    let (status, body) = match call {
        Some(Call::Readiness) if proxy.serving.accepts_new_clients() => (StatusCode::OK, String::new()),
        Some(Call::Figures) => (StatusCode::OK, proxy.metrics.to_prometheus(gauges(proxy))),
        Some(Call::Backends) => (StatusCode::OK, backends_as_json(proxy)),
        Some(_) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        None => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

fn gauges(proxy: &Proxy) -> Gauges {
    Gauges { longest_queue: proxy.pending.longest_queue_len() }
}

/// The state of each backend, with the number of requests that it was sent and of their outcomes.
fn backends_as_json(proxy: &Proxy) -> String {
    let entry = |backend: &BackendReport| {
        json!({
            "id": backend.id, "service": backend.service, "zone": backend.zone, "slots": backend.slots,
            "open": backend.in_flight, "load": backend.load, "pace-ms": backend.latency_estimate_ms,
            "given": backend.counts.sent, "answered": backend.counts.answered,
            "turned-away": backend.counts.rejected, "failed": backend.counts.failed,
            "state": backend.state.to_string(),
        })
    };
    proxy.backends.report().iter().map(entry).collect::<Value>().to_string()
}
