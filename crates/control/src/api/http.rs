//! The API on the wire: axum round the table of endpoints.

use super::endpoints::{Access, Endpoint, Permission, ENDPOINTS};
use super::snapshots::IngressState;
use super::{keys, sweep, Answer, Call, Caller, Outcome, Problem};
use crate::keys::{Pepper, Role};
use crate::limit::{Limiter, Rates, STRANGERS};
use crate::store::{Author, Revision, Store, Writes};
use axum::body::{to_bytes, Body, Bytes};
use axum::extract::{RawPathParams, Request, State};
use axum::http::header::{
    AUTHORIZATION, CONTENT_TYPE, ETAG, IF_MATCH, IF_NONE_MATCH, LOCATION, RETRY_AFTER, WWW_AUTHENTICATE,
};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::response::Response;
use axum::routing::{on, MethodFilter};
use axum::Router;
use std::collections::BTreeMap;
use std::future::{Future, IntoFuture};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The longest body.
const LARGEST_BODY: usize = 1 << 20;
/// The longest that a client may wait for something new.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// How long calls may take that are open when the process is told to end.
const END_WAIT: Duration = Duration::from_secs(5);

/// How the control plane runs.
#[derive(Clone)]
pub struct Options {
    /// From a tenant's deletion until it goes: longer than any request of its takes.
    pub drain_ms: u64,
    pub rates: Rates,
    pub pepper: Pepper,
}

/// What all calls share.
pub struct App {
    pub store: Arc<dyn Store>,
    pub options: Options,
    limiter: Limiter,
    revision: watch::Sender<Revision>,
    ingresses: Mutex<BTreeMap<String, IngressState>>,
    ending: watch::Sender<bool>,
}

impl App {
    /// Must be called on a runtime.
    pub fn new(store: Arc<dyn Store>, options: Options) -> Arc<App> {
        Arc::new(App {
            store,
            limiter: Limiter::start(options.rates),
            options,
            revision: watch::Sender::new(0),
            ingresses: Mutex::default(),
            ending: watch::Sender::new(false),
        })
    }

    /// Unix time in milliseconds.
    pub fn now(&self) -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
    }

    /// The store is at this revision: whoever waits looks again.
    pub(super) fn tell(&self, revision: Revision) {
        self.revision.send_if_modified(|known| {
            let newer = revision > *known;
            *known = revision.max(*known);
            newer
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, IngressState>> {
        self.ingresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn seen(&self, name: &str, state: IngressState) {
        // A name is at most as long as others, and there are at most so many: any key of an ingress may call this.
        let mut ingresses = self.lock();
        if name.len() <= 128 && (ingresses.len() < 10_000 || ingresses.contains_key(name)) {
            ingresses.insert(name.to_string(), state);
        }
    }

    pub(super) fn ingresses(&self) -> BTreeMap<String, IngressState> {
        self.lock().clone()
    }

    /// The first operator's key, where a store has none: shown once, to whoever starts the control plane.
    pub fn first_key(&self) -> Result<Option<String>, String> {
        let now = self.now();
        let (key, secret) = self.options.pepper.make(Role::Operator, "first".into(), now, None)?;
        let path = crate::keys::path(&key.role, &key.id);
        let body = serde_json::to_value(&key).map_err(|error| error.to_string())?;
        let writes = Writes::default()
            .put(path.clone(), body)
            .put(crate::keys::index(&key.id), serde_json::Value::from(path));
        let author = Author { who: "control".into(), at: now };
        let decide = &mut |read: &dyn crate::store::Read| {
            Ok(read.list("keys/", "", 1)?.is_empty().then(|| writes.clone()))
        };
        let made = self.store.transact(&author, decide).map_err(|error| error.to_string())?;
        Ok(made.map(|_| secret))
    }
}

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
                Permission::NotThere => return Err(Problem::not_found()),
            }
        }
    };
    let too_large = |_| Problem::new(413, "too-large", "the body is over 1 MiB");
    let body = to_bytes(body, LARGEST_BODY).await.map_err(too_large)?;
    let query = queried(head.uri.query().unwrap_or_default())?;
    let wait = waited(&head.headers)?;
    let end = Instant::now() + wait;
    let mut changes = app.revision.subscribe();
    let mut ending = app.ending.subscribe();
    loop {
        changes.mark_unchanged();
        let outcome = run(app, endpoint, &caller, &params, &query, &head, &body).await;
        let Ok(answer) = &outcome else { return outcome };
        if !answer.wait || Instant::now() >= end || *ending.borrow() {
            return outcome;
        }
        tokio::select! {
            _ = changes.changed() => {}
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
        (endpoint.run)(&call)
    })
    .await
}

/// The store blocks: its calls are made on threads that may.
async fn blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, Problem> + Send + 'static,
) -> Result<T, Problem> {
    tokio::task::spawn_blocking(work).await.unwrap_or_else(|_| Err(Problem::failed("a handler failed")))
}

/// The versions of a list of ETags; none of them: `*`.
fn versions(text: &str) -> Result<Vec<Revision>, Problem> {
    if text.trim() == "*" {
        return Ok(Vec::new());
    }
    let one = |text: &str| text.trim().strip_prefix('"')?.strip_suffix('"')?.parse().ok();
    let list: Option<Vec<Revision>> = text.split(',').map(one).collect();
    list.ok_or_else(|| Problem::field("If-Match", "must be ETags as they were given, or *"))
}

/// `Prefer: wait=SECONDS` (RFC 7240).
fn waited(headers: &HeaderMap) -> Result<Duration, Problem> {
    let Some(text) = headers.get("prefer").and_then(|value| value.to_str().ok()) else {
        return Ok(Duration::ZERO);
    };
    let mut waits = text.split(',').filter_map(|part| part.trim().strip_prefix("wait="));
    let Some(text) = waits.next() else { return Ok(Duration::ZERO) };
    let seconds: f64 =
        text.parse().map_err(|_| Problem::field("Prefer", "wait must be a number of seconds"))?;
    let wait = Duration::try_from_secs_f64(seconds);
    Ok(wait.map_err(|_| Problem::field("Prefer", "wait must be 0 or more"))?.min(LONGEST_WAIT))
}

fn queried(text: &str) -> Result<BTreeMap<String, String>, Problem> {
    let uri = axum::http::Uri::try_from(format!("/?{text}"));
    let uri = uri.map_err(|_| Problem::field("query", "is not readable"))?;
    let query = axum::extract::Query::<BTreeMap<String, String>>::try_from_uri(&uri);
    Ok(query.map_err(|error| Problem::field("query", error.to_string()))?.0)
}

fn response(outcome: Outcome) -> Response {
    let mut response = Response::new(Body::empty());
    let (status, body, kind) = match outcome {
        Ok(answer) => {
            let Answer { status, body, version, location, .. } = answer;
            if let Some(value) =
                version.and_then(|version| HeaderValue::try_from(format!("\"{version}\"")).ok())
            {
                response.headers_mut().insert(ETAG, value);
            }
            if let Some(value) = location.and_then(|location| HeaderValue::try_from(location).ok()) {
                response.headers_mut().insert(LOCATION, value);
            }
            (status, body, "application/json")
        }
        Err(problem) => {
            if problem.status == 401 {
                response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
            }
            if let Some(time) = problem.retry_after {
                if let Ok(value) = HeaderValue::try_from(format!("{}", time.ceil())) {
                    response.headers_mut().insert(RETRY_AFTER, value);
                }
            }
            if let Some(version) = problem.current_version {
                if let Ok(value) = HeaderValue::try_from(format!("\"{version}\"")) {
                    response.headers_mut().insert(ETAG, value);
                }
            }
            (problem.status, serde_json::to_value(&problem).ok(), "application/problem+json")
        }
    };
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if let Some(body) = body {
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
        *response.body_mut() = Body::from(body.to_string());
    }
    response
}
