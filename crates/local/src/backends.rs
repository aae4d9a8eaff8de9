//! Stand-in backends: lives with ids, slots and loads, a record of what each ran, and faults on order.

use bytes::Bytes;
use http_body_util::channel::Channel;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle;

/// A request that a backend began to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub backend: String,
    pub attempt: String,
    pub tenant: Option<String>,
    pub path: String,
    pub deadline_ms: Option<u64>,
    pub body: Bytes,
}

/// What a backend does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// It runs requests and closes without an answer.
    LosesAnswers,
    /// It answers with the id of another request first.
    AnswersTwice,
    /// It says that it did not run them.
    TurnsAway,
    /// It runs them, and says 503 without saying that it did not.
    RunsAndRefuses,
    /// It never answers.
    Hangs,
    /// It closes in the middle of an answer.
    CutsShort,
}

/// One backend, alive until dropped with all else.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub address: SocketAddr,
    pub work: Duration,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    runs: Mutex<Vec<Run>>,
    fault: Mutex<Fault>,
    running: AtomicU32,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Backend {
    /// Starts a backend at an address that is free.
    pub fn start(
        runtime: &Handle,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> io::Result<Backend> {
        let listener = violetyoke_standin::listen(violetyoke_standin::any())?;
        listener.set_nonblocking(true)?;
        let backend = Backend {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            slots: 8,
            address: listener.local_addr()?,
            work,
            state: Arc::default(),
        };
        let _entered = runtime.enter();
        let listener = TcpListener::from_std(listener)?;
        runtime.spawn(serve(listener, backend.clone()));
        Ok(backend)
    }

    pub fn runs(&self) -> Vec<Run> {
        lock(&self.state.runs).clone()
    }

    pub fn fail(&self, fault: Fault) {
        *lock(&self.state.fault) = fault;
    }

    /// Its line of the platform's list.
    pub fn line(&self) -> serde_json::Value {
        serde_json::json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": "ready", "cold-left-ms": 0,
        })
    }
}

/// How often each attempt ran, over some backends.
pub fn times_run(backends: &[Backend]) -> BTreeMap<String, usize> {
    let mut times = BTreeMap::new();
    for run in backends.iter().flat_map(Backend::runs) {
        *times.entry(run.attempt).or_insert(0) += 1;
    }
    times
}

async fn serve(listener: TcpListener, backend: Backend) {
    while let Ok((stream, _)) = listener.accept().await {
        let backend = backend.clone();
        tokio::spawn(async move {
            let service = service_fn(|request| {
                let backend = backend.clone();
                async move { answer(&backend, request).await }
            });
            // Whoever calls may break off.
            let _ = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

type Reply = Response<Either<Full<Bytes>, Channel<Bytes, io::Error>>>;

/// Bytes of an answer's body, where the path asks for many: `…/bytes/100000`.
fn large(path: &str) -> Option<usize> {
    path.split_once("/bytes/")?.1.parse().ok().filter(|size| *size <= 64 << 20)
}

fn reply(backend: &Backend, status: u16, attempt: &str, body: Bytes) -> Result<Reply, io::Error> {
    let running = backend.state.running.load(Ordering::Relaxed);
    Response::builder()
        .status(status)
        .header("x-attempt-id", attempt)
        .header("x-instance-id", &backend.id)
        .header("x-server-load", format!("{running},0,{}", backend.slots))
        .body(Either::Left(Full::new(body)))
        .map_err(io::Error::other)
}

async fn answer(backend: &Backend, request: Request<Incoming>) -> Result<Reply, io::Error> {
    let field = |name: &str| {
        let value = request.headers().get(name).and_then(|value| value.to_str().ok());
        value.map(str::to_owned)
    };
    let attempt = field("x-attempt-id").unwrap_or_default();
    if field("x-target-instance").is_some_and(|id| id != backend.id) {
        return reply(backend, 421, &attempt, Bytes::new());
    }
    let (tenant, deadline) = (field("x-tenant"), field("x-deadline-ms"));
    let path = request.uri().path().to_owned();
    let body = request.into_body().collect().await.map_err(io::Error::other)?.to_bytes();
    let fault = *lock(&backend.state.fault);
    if fault == Fault::TurnsAway {
        let mut answer = reply(backend, 503, &attempt, Bytes::new())?;
        answer.headers_mut().insert("x-not-executed", hyper::header::HeaderValue::from_static("1"));
        return Ok(answer);
    }
    lock(&backend.state.runs).push(Run {
        backend: backend.id.clone(),
        attempt: attempt.clone(),
        tenant,
        path: path.clone(),
        deadline_ms: deadline.and_then(|ms| ms.parse().ok()),
        body: body.clone(),
    });
    backend.state.running.fetch_add(1, Ordering::Relaxed);
    tokio::time::sleep(backend.work).await;
    backend.state.running.fetch_sub(1, Ordering::Relaxed);
    match fault {
        Fault::LosesAnswers => return Err(io::ErrorKind::ConnectionReset.into()),
        Fault::Hangs => std::future::pending::<()>().await,
        Fault::RunsAndRefuses => return reply(backend, 503, &attempt, Bytes::new()),
        Fault::None | Fault::AnswersTwice | Fault::TurnsAway | Fault::CutsShort => {}
    }
    let told = if fault == Fault::AnswersTwice { "another" } else { &attempt };
    let whole = match large(&path) {
        Some(size) => Bytes::from((0..size).map(|n| n as u8).collect::<Vec<u8>>()),
        None => Bytes::from(format!("{} ran {attempt}", backend.id)),
    };
    let mut answer = reply(backend, 200, told, whole.clone())?;
    if fault == Fault::CutsShort {
        let (mut sender, part) = Channel::new(1);
        answer = answer.map(|_| Either::Right(part));
        tokio::spawn(async move {
            // Whoever reads may have gone.
            let _ = sender.send_data(whole.slice(..whole.len() / 2)).await;
            sender.abort(io::ErrorKind::ConnectionReset.into());
        });
    }
    answer.headers_mut().insert("x-server-seal", hyper::header::HeaderValue::from_static("seal"));
    Ok(answer)
}
