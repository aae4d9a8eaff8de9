//! What the platform asks: is this ingress ready? And what a scraper asks.

use crate::state::Proxy;
use bytes::Bytes;
use http_body_util::Full;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::rc::Rc;
use violetyoke_api::calls::{Call, CallTarget};
use violetyoke_balancing::BackendReport;
use violetyoke_transport::net::Listener;

pub async fn serve(listener: Listener, proxy: Rc<Proxy>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            continue;
        };
        let proxy = proxy.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<hyper::body::Incoming>| {
                let uri = request.uri();
                let call = Call::find(CallTarget::Edge, request.method().as_str(), uri.path(), uri.query());
                let (status, body) = match call {
                    Some(Call::Readiness) if proxy.serving() => (StatusCode::OK, String::new()),
                    Some(Call::Figures) => (StatusCode::OK, proxy.figures.text()),
                    Some(Call::Backends) => (StatusCode::OK, backends(&proxy)),
                    Some(_) => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
                    None => (StatusCode::NOT_FOUND, String::new()),
                };
                let mut answer = Response::new(Full::new(Bytes::from(body)));
                *answer.status_mut() = status;
                async move { Ok::<_, Infallible>(answer) }
            });
            // The platform may break off as it likes.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// What each backend was given and has shown, as JSON.
fn backends(proxy: &Proxy) -> String {
    let shown = proxy.fleet.borrow().report(proxy.now());
    let line = |one: &BackendReport| {
        serde_json::json!({
            "id": one.id, "service": one.service, "zone": one.zone, "slots": one.slots, "open": one.in_flight,
            "load": one.load, "pace-ms": one.latency_estimate_ms, "given": one.counts.sent, "answered": one.counts.answered,
            "turned-away": one.counts.rejected, "failed": one.counts.failed, "state": one.state.to_string(),
        })
    };
    serde_json::Value::from_iter(shown.iter().map(line)).to_string()
}
