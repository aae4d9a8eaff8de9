//! Serves the endpoints over HTTP: access checks, rate limits, and waiting for changes.

use super::app::App;
use super::call::{Call, Caller, IfMatch};
use super::endpoint::{Access, Endpoint, Permission};
use super::endpoints::ENDPOINTS;
use super::keys::find_caller;
use super::problem::Problem;
use super::refresh;
use super::reply::{HandlerResult, WaitFor};
use super::wire::{parse_query, parse_versions, requested_wait, to_response};
use crate::keys::KeyRole;
use crate::rate_limit::{AccountId, RateLimited};
use crate::store::Revision;
use axum::body::{to_bytes, Bytes};
use axum::extract::{RawPathParams, Request, State};
use axum::http::header::{AUTHORIZATION, IF_MATCH, IF_NONE_MATCH};
use axum::http::{HeaderMap, HeaderName, Method};
use axum::routing::{on, MethodFilter};
use axum::Router;
use std::collections::BTreeMap;
use std::future::{Future, IntoFuture};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The largest request body, in bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// How long calls that are in flight at the shutdown may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(5);

/// A request whose caller may make it.
struct AuthorizedRequest {
    endpoint: &'static Endpoint,
    caller: Caller,
    path: String,
    params: BTreeMap<String, String>,
    query: BTreeMap<String, String>,
    headers: HeaderMap,
    if_match: Option<IfMatch>,
    if_none_match: Option<Revision>,
    body: Bytes,
}

/// Serves until `shutdown` completes, and then until calls in flight have ended or their time is over.
///
/// # Errors
/// If the endpoints cannot be routed or the listener fails.
pub async fn serve(
    listener: TcpListener,
    app: Arc<App>,
    shutdown: impl Future<Output = ()> + Send + 'static,
) -> io::Result<()> {
    // The task runs until the process ends, as do the leases that it looks after.
    tokio::spawn(refresh::run(app.clone()));
    let router = router(&app)?;
    let ending = app.clone();
    let shutdown = async move {
        shutdown.await;
        // Calls that wait for a change return now.
        ending.shutdown.send_replace(true);
    };
    let mut is_ending = app.shutdown.subscribe();
    let serving = axum::serve(listener, router).with_graceful_shutdown(shutdown);
    tokio::select! {
        result = serving.into_future() => result,
        () = async {
            // The sender lives in `app`, so that there is no error.
            drop(is_ending.wait_for(|is_ending| *is_ending).await);
            tokio::time::sleep(SHUTDOWN_TIMEOUT).await;
        } => Ok(()),
    }
}

/// Routes all endpoints.
fn router(app: &Arc<App>) -> io::Result<Router> {
    let mut router = Router::new();
    for endpoint in ENDPOINTS {
        let method = Method::from_bytes(endpoint.method.as_bytes()).map_err(io::Error::other)?;
        let filter = MethodFilter::try_from(method).map_err(io::Error::other)?;
        let handler = move |State(app): State<Arc<App>>, params: RawPathParams, request: Request| async move {
            let params = params.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
            to_response(handle(&app, endpoint, params, request).await)
        };
        router = router.route(endpoint.path, on(filter, handler));
    }
    let not_found = || async { to_response(Err(Problem::not_found())) };
    let method_not_allowed =
        || async { to_response(Err(Problem::new(405, "method", "the method is not one of this path's"))) };
    Ok(router.fallback(not_found).method_not_allowed_fallback(method_not_allowed).with_state(app.clone()))
}

async fn handle(
    app: &Arc<App>,
    endpoint: &'static Endpoint,
    params: BTreeMap<String, String>,
    request: Request,
) -> HandlerResult {
    let (head, body) = request.into_parts();
    let caller = authorize(app, endpoint, &params, &head.headers).await?;
    let too_large = |_| Problem::new(413, "too-large", "the body is over 1 MiB");
    let body = to_bytes(body, MAX_BODY_BYTES).await.map_err(too_large)?;
    let query = parse_query(head.uri.query().unwrap_or_default())?;
    let deadline = Instant::now() + requested_wait(&head.headers)?;
    let versions = |name| header(&head.headers, &name).map(parse_versions).transpose();
    let if_match = versions(IF_MATCH)?;
    let if_none_match = match versions(IF_NONE_MATCH)? {
        Some(IfMatch::Versions(versions)) => versions.first().copied(),
        Some(IfMatch::Any) | None => None,
    };
    let path = head.uri.path().to_string();
    let headers = head.headers;
    let request =
        AuthorizedRequest { endpoint, caller, path, params, query, headers, if_match, if_none_match, body };
    reply_when_ready(app, Arc::new(request), deadline).await
}

/// The caller, if it may call the endpoint.
async fn authorize(
    app: &Arc<App>,
    endpoint: &Endpoint,
    params: &BTreeMap<String, String>,
    headers: &HeaderMap,
) -> Result<Caller, Problem> {
    if endpoint.access == Access::Public {
        return Ok(Caller { id: String::new(), role: KeyRole::Ingress });
    }
    let caller = authenticate(app, headers).await?;
    match endpoint.access.permission(&caller.role, params.get("tenant").map(String::as_str)) {
        Permission::Granted => Ok(caller),
        Permission::Forbidden => Err(Problem::new(403, "forbidden", "the key may not do that")),
        Permission::NotFound => Err(Problem::not_found()),
    }
}

/// Identifies the caller by its key. Each call counts against the key's rate limit.
async fn authenticate(app: &Arc<App>, headers: &HeaderMap) -> Result<Caller, Problem> {
    let key = header(headers, &AUTHORIZATION).and_then(|text| text.strip_prefix("Bearer "));
    let (key, app_for_lookup) = (key.unwrap_or_default().to_string(), app.clone());
    let caller = run_blocking(move || find_caller(&app_for_lookup, &key, app_for_lookup.now())).await?;
    let account = caller.as_ref().map_or(AccountId::UNKNOWN, |caller| AccountId::of_key(&caller.id));
    if let Err(RateLimited { retry_after_us }) = app.rate_limiter.admit(account).await {
        return Err(Problem {
            retry_after: Some((retry_after_us as f64 / 1e6).max(0.001)),
            ..Problem::new(429, "too-many-calls", "the key's quota is used up")
        });
    }
    caller.ok_or_else(|| Problem::new(401, "no-key", "the key is missing, unknown, expired or withdrawn"))
}

/// Calls the handler again after each change that it waits for, until its reply is final or the deadline has passed.
async fn reply_when_ready(
    app: &Arc<App>,
    request: Arc<AuthorizedRequest>,
    deadline: Instant,
) -> HandlerResult {
    let mut changes = app.revision.subscribe();
    let mut leases = app.leases.subscribe();
    let mut shutdown = app.shutdown.subscribe();
    loop {
        changes.mark_unchanged();
        leases.mark_unchanged();
        let result = call_handler(app, request.clone()).await;
        let Ok(reply) = &result else { return result };
        if reply.wait_for == WaitFor::Nothing || Instant::now() >= deadline || *shutdown.borrow() {
            return result;
        }
        tokio::select! {
            _ = changes.changed(), if reply.wait_for == WaitFor::StoreChange => {}
            _ = leases.changed(), if reply.wait_for == WaitFor::Lease => {}
            _ = shutdown.changed() => {}
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        if request.endpoint.access != Access::Public {
            // The key may have been withdrawn meanwhile.
            authenticate(app, &request.headers).await?;
        }
    }
}

async fn call_handler(app: &Arc<App>, request: Arc<AuthorizedRequest>) -> HandlerResult {
    let app = app.clone();
    run_blocking(move || {
        let call = Call {
            app: &app,
            caller: &request.caller,
            path: &request.path,
            params: &request.params,
            query: &request.query,
            if_match: request.if_match.as_ref(),
            if_none_match: request.if_none_match,
            idempotency_key: header(&request.headers, &HeaderName::from_static("idempotency-key")),
            body: &request.body,
            now: app.now(),
        };
        (request.endpoint.handler)(&call)
    })
    .await
}

fn header<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Runs what uses the store, which blocks, on a thread for that.
async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, Problem> + Send + 'static,
) -> Result<T, Problem> {
    tokio::task::spawn_blocking(work).await.unwrap_or_else(|_| Err(Problem::internal("a handler failed")))
}
