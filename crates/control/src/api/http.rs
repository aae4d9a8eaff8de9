//! The API on the wire: axum round the table of endpoints.

use super::app::App;
use super::endpoint::{Access, Endpoint, Permission};
use super::endpoints::ENDPOINTS;
use super::wire::{queried, response, versions, waited};
use super::{keys, sweep, Call, Caller, Outcome, Problem, Wait};
use crate::keys::Role;
use crate::limit::STRANGERS;
use axum::body::{to_bytes, Bytes};
use axum::extract::{RawPathParams, Request, State};
use axum::http::header::{AUTHORIZATION, IF_MATCH, IF_NONE_MATCH};
use axum::http::{HeaderMap, HeaderName};
use axum::routing::{on, MethodFilter};
use axum::Router;
use std::collections::BTreeMap;
use std::future::{Future, IntoFuture};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;

/// The longest body.
const LARGEST_BODY: usize = 1 << 20;
/// How long calls may take that are open when the process is told to end.
const END_WAIT: Duration = Duration::from_secs(5);

/// Answers until `end`, and then what is open.
pub async fn serve(
    listener: TcpListener,
    app: Arc<App>,
    end: impl Future<Output = ()> + Send + 'static,
) -> std::io::Result<()> {
    tokio::spawn(sweep::run(app.clone()));
    let mut router = Router::new();
    for endpoint in ENDPOINTS {
        let filter = MethodFilter::try_from(
            axum::http::Method::from_bytes(endpoint.method.as_bytes()).map_err(std::io::Error::other)?,
        );
        let handler = move |State(app): State<Arc<App>>, params: RawPathParams, request: Request| async move {
            let params = params.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect();
            response(called(&app, endpoint, params, request).await)
        };
        router = router.route(endpoint.path, on(filter.map_err(std::io::Error::other)?, handler));
    }
    let nothing = || async { response(Err(Problem::not_found())) };
    let other =
        || async { response(Err(Problem::new(405, "method", "the method is not one of this path's"))) };
    let router = router.fallback(nothing).method_not_allowed_fallback(other).with_state(app.clone());
    let ending = app.clone();
    let ended = async move {
        end.await;
        // Those who wait for something new are answered now.
        ending.ending.send_replace(true);
    };
    let mut late = app.ending.subscribe();
    let serving = axum::serve(listener, router).with_graceful_shutdown(ended);
    tokio::select! {
        result = serving.into_future() => result,
        () = async {
            let _ = late.wait_for(|ending| *ending).await;
            tokio::time::sleep(END_WAIT).await;
        } => Ok(()),
    }
}

async fn called(
    app: &Arc<App>,
    endpoint: &'static Endpoint,
    params: BTreeMap<String, String>,
    request: Request,
) -> Outcome {
    let (head, body) = request.into_parts();
    let caller = match endpoint.access {
        Access::Public => Caller { id: String::new(), role: Role::Ingress },
        access => {
            let caller = known(app, &head.headers).await?;
            match access.allows(&caller.role, params.get("tenant").map(String::as_str)) {
                Permission::Granted => caller,
                Permission::Forbidden => {
                    return Err(Problem::new(403, "forbidden", "the key may not do that"))
                }
                Permission::NotFound => return Err(Problem::not_found()),
            }
        }
    };
    let too_large = |_| Problem::new(413, "too-large", "the body is over 1 MiB");
    let body = to_bytes(body, LARGEST_BODY).await.map_err(too_large)?;
    let query = queried(head.uri.query().unwrap_or_default())?;
    let wait = waited(&head.headers)?;
    let end = Instant::now() + wait;
    let mut changes = app.revision.subscribe();
    let mut leases = app.leases.subscribe();
    let mut ending = app.ending.subscribe();
    loop {
        changes.mark_unchanged();
        leases.mark_unchanged();
        let outcome = run(app, endpoint, &caller, &params, &query, &head, &body).await;
        let Ok(answer) = &outcome else { return outcome };
        if answer.wait == Wait::No || Instant::now() >= end || *ending.borrow() {
            return outcome;
        }
        tokio::select! {
            _ = changes.changed(), if answer.wait == Wait::Change => {}
            _ = leases.changed(), if answer.wait == Wait::Lease => {}
            _ = ending.changed() => {}
            () = tokio::time::sleep_until(end.into()) => {}
        }
        if let Access::Public = endpoint.access {
            continue;
        }
        // The key may have been withdrawn while it waited.
        known(app, &head.headers).await?;
    }
}

/// Who calls; each call counts against its key's quota.
async fn known(app: &Arc<App>, headers: &HeaderMap) -> Result<Caller, Problem> {
    let sent = headers.get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = sent.and_then(|text| text.strip_prefix("Bearer ")).unwrap_or_default().to_string();
    let there = app.clone();
    let caller = blocking(move || keys::caller(&there, &key, there.now())).await?;
    let account = caller.as_ref().map_or(STRANGERS, |caller| {
        u64::from_str_radix(&caller.id, 16).unwrap_or(STRANGERS).max(STRANGERS + 1)
    });
    if let Err(retry_after) = app.limiter.ask(account).await {
        let retry_after = Some((retry_after as f64 / 1e6).max(0.001));
        return Err(Problem {
            retry_after,
            ..Problem::new(429, "too-many-calls", "the key's quota is used up")
        });
    }
    caller.ok_or_else(|| Problem::new(401, "no-key", "the key is missing, unknown, expired or withdrawn"))
}

async fn run(
    app: &Arc<App>,
    endpoint: &'static Endpoint,
    caller: &Caller,
    params: &BTreeMap<String, String>,
    query: &BTreeMap<String, String>,
    head: &axum::http::request::Parts,
    body: &Bytes,
) -> Outcome {
    let tags = |name: HeaderName| head.headers.get(name).and_then(|value| value.to_str().ok());
    let if_match = tags(IF_MATCH).map(versions).transpose()?;
    let if_none_match = tags(IF_NONE_MATCH).map(versions).transpose()?.and_then(|list| list.first().copied());
    let idempotency_key = tags(HeaderName::from_static("idempotency-key")).map(String::from);
    let (app, caller, params, query) = (app.clone(), caller.clone(), params.clone(), query.clone());
    let (path, body) = (head.uri.path().to_string(), body.clone());
    blocking(move || {
        let call = Call {
            app: &app,
            caller,
            path,
            params,
            query,
            if_match,
            if_none_match,
            idempotency_key,
            body: &body,
            now: app.now(),
        };
        (endpoint.handler)(&call)
    })
    .await
}

/// The store blocks: its calls are made on threads that may.
async fn blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, Problem> + Send + 'static,
) -> Result<T, Problem> {
    tokio::task::spawn_blocking(work).await.unwrap_or_else(|_| Err(Problem::failed("a handler failed")))
}
