//! The HTTP API: operators' calls (control) and clients that ask for the addresses of proxies (directory).

mod control;
mod directory;
mod error;

use super::registry::Registry;
use bytes::Bytes;
use error::ApiError;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;
use violetyoke_api::calls::{Call, CallTarget};
use violetyoke_transport::net::{Listener, Stream};

/// The longest time that a client may take to send the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause after a connection could not be accepted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

type SharedRegistry = Rc<RefCell<Registry>>;
type ApiResponse = Response<Full<Bytes>>;

/// Which calls a listener accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApiKind {
    /// Those of operators.
    Control,
    /// Those of clients.
    Directory,
}

impl ApiKind {
    fn target(self) -> CallTarget {
        match self {
            ApiKind::Control => CallTarget::Controller,
            ApiKind::Directory => CallTarget::Locator,
        }
    }
}

/// Accepts and serves connections until the future is dropped, which closes all of them.
pub(super) async fn serve(listener: Listener, registry: SharedRegistry, kind: ApiKind) {
    let mut connections = JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn_local(serve_connection(stream, registry.clone(), kind));
            }
            Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve_connection(stream: Stream, registry: SharedRegistry, kind: ApiKind) {
    let service = service_fn(|request| {
        let registry = registry.clone();
        async move {
            let response = handle(request, &registry, kind).await;
            Ok::<_, Infallible>(response.unwrap_or_else(|error| error_response(&error)))
        }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_TIMEOUT);
    // A client that closes its side ends the call, so that a command that has not been sent yet is dropped.
    builder.half_close(false);
    // Errors are ignored: a client may close the connection at any time, and can't be answered then.
    drop(builder.serve_connection(TokioIo::new(stream), service).await);
}

/// Passes a call to its handler.
async fn handle(
    request: Request<Incoming>,
    registry: &RefCell<Registry>,
    kind: ApiKind,
) -> Result<ApiResponse, ApiError> {
    let uri = request.uri().clone();
    let call = Call::find(kind.target(), request.method().as_str(), uri.path(), uri.query());
    match call.ok_or(ApiError::UnknownCall)? {
        Call::Resolve => directory::resolve(registry, uri.query()),
        Call::ConfigurationReplace => control::replace_configuration(registry, request.into_body()).await,
        Call::ConfigurationRead => control::read_configuration(registry).await,
        Call::EvacuationBegin => control::evacuate(registry, uri.query(), true).await,
        Call::EvacuationFinish => control::evacuate(registry, uri.query(), false).await,
        Call::Readiness | Call::Figures | Call::Backends | Call::Instances => Err(ApiError::OtherProcess),
    }
}

/// A successful response.
fn json(body: impl Into<Bytes>) -> ApiResponse {
    let mut response = Response::new(Full::new(body.into()));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn error_response(error: &ApiError) -> ApiResponse {
    let mut response = json(error.body());
    *response.status_mut() = error.status();
    if let Some(seconds) = error.retry_after() {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(seconds));
    }
    response
}
