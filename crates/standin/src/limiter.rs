//! An outside rate limit server (`envoy.service.ratelimit.v3`): it counts each descriptor in fixed windows, and
//! fails as it is told to.

use crate::{listen, lock};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::str::FromStr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;
use tonic::{Request, Response, Status};
use violetyoke_ratelimit_proto as proto;
use violetyoke_ratelimit_proto::LocalExecutor;

/// How it treats questions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Answer,
    /// Counts at once, and answers after so long.
    Delay(Duration),
    /// Counts, and never answers.
    Silent,
    /// Answers UNAVAILABLE and counts nothing.
    Error,
    /// Answers a code that is neither OK nor OVER_LIMIT.
    Garble,
    /// Wrong counts: lets everything in, or nothing.
    Lenient,
    Strict,
}

impl FromStr for Mode {
    type Err = String;

    /// A word, or `delay MILLISECONDS`.
    fn from_str(text: &str) -> Result<Mode, String> {
        if let Some(time) = text.strip_prefix("delay ") {
            let time = time.trim().parse().map_err(|_| format!("{time:?} is no number of milliseconds"))?;
            return Ok(Mode::Delay(Duration::from_millis(time)));
        }
        match text {
            "answer" => Ok(Mode::Answer),
            "silent" => Ok(Mode::Silent),
            "error" => Ok(Mode::Error),
            "garble" => Ok(Mode::Garble),
            "lenient" => Ok(Mode::Lenient),
            "strict" => Ok(Mode::Strict),
            _ => Err(format!("{text:?} is none of answer, delay MS, silent, error, garble, lenient, strict")),
        }
    }
}

/// A descriptor's keys and values.
pub type Entries = Vec<(String, String)>;

/// A question that came.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub at: Instant,
    pub domain: String,
    /// Its first descriptor's entries.
    pub entries: Entries,
    pub units: u64,
    /// Whether it was counted: not where it is over the limit, nor where the mode says so.
    pub counted: bool,
}

/// What a connection is told.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Word {
    #[default]
    Go,
    /// Answer what has come, and take no more: GOAWAY.
    GoAway,
    Break,
}

struct State {
    mode: Mutex<Mode>,
    limit: u64,
    window: Duration,
    seen: Mutex<Vec<Seen>>,
    /// Units of each descriptor, and since when they are counted.
    counts: Mutex<HashMap<Entries, (u64, Instant)>>,
    /// Connections opened so far, and what all of them are told.
    connections: Mutex<u64>,
    word: watch::Sender<Word>,
}

/// A running server; its thread ends with the process.
#[derive(Clone)]
pub struct Limiter {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Limiter {
    /// `limit` units of each descriptor in each window.
    pub fn start(address: SocketAddr, limit: u64, window: Duration) -> io::Result<Limiter> {
        let listener = listen(address)?;
        let state = Arc::new(State {
            mode: Mutex::default(),
            limit,
            window,
            seen: Mutex::default(),
            counts: Mutex::default(),
            connections: Mutex::default(),
            word: watch::Sender::default(),
        });
        let limiter = Limiter { address: listener.local_addr()?, state: state.clone() };
        listener.set_nonblocking(true)?;
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::spawn(move || {
            if let Err(error) = LocalSet::new().block_on(&runtime, accept(listener, state)) {
                eprintln!("limiter: {error}");
            }
        });
        Ok(limiter)
    }

    pub fn set(&self, mode: Mode) {
        *lock(&self.state.mode) = mode;
    }

    /// Ends all connections that are open now by GOAWAY: what has come on them is answered.
    pub fn go_away(&self) {
        self.tell(Word::GoAway);
    }

    /// Closes all connections that are open now at once.
    pub fn break_off(&self) {
        self.tell(Word::Break);
    }

    fn tell(&self, word: Word) {
        // Connections that are opened later have not heard it.
        self.state.word.send_replace(word);
    }

    pub fn seen(&self) -> Vec<Seen> {
        lock(&self.state.seen).clone()
    }

    pub fn forget_seen(&self) {
        lock(&self.state.seen).clear();
    }

    pub fn connections(&self) -> u64 {
        *lock(&self.state.connections)
    }
}

async fn accept(listener: std::net::TcpListener, state: Arc<State>) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let service = proto::RateLimitServiceServer::new(Counted(state.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        *lock(&state.connections) += 1;
        let (service, mut words) = (service.clone(), state.word.subscribe());
        words.mark_unchanged();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let mut service = service.clone();
                async move { tonic::codegen::Service::call(&mut service, request).await }
            });
            let connection =
                http2::Builder::new(LocalExecutor).serve_connection(TokioIo::new(stream), service);
            let mut connection = pin!(connection);
            loop {
                tokio::select! {
                    _ = connection.as_mut() => break,
                    changed = words.changed() => {
                        let word = *words.borrow_and_update();
                        match (changed.is_ok(), word) {
                            (true, Word::GoAway) => connection.as_mut().graceful_shutdown(),
                            (true, Word::Go) => {}
                            _ => break,
                        }
                    }
                }
            }
        });
    }
}

struct Counted(Arc<State>);

impl Counted {
    /// Counts a question, as the mode has it, and tells whether it is let in and until when its window lasts.
    fn count(&self, request: &proto::RateLimitRequest, mode: Mode) -> (bool, Duration) {
        let state = &self.0;
        let now = Instant::now();
        let units = u64::from(request.hits_addend.max(1));
        let keys: Vec<Entries> = request
            .descriptors
            .iter()
            .map(|descriptor| {
                let entries = descriptor.entries.iter();
                entries.map(|entry| (entry.key.clone(), entry.value.clone())).collect()
            })
            .collect();
        let mut counts = lock(&state.counts);
        let (mut within, mut left) = (true, Duration::ZERO);
        for key in &keys {
            let count = counts.entry(key.clone()).or_insert((0, now));
            if now - count.1 >= state.window {
                *count = (0, now);
            }
            left = left.max(state.window.saturating_sub(now - count.1));
            within &= count.0 + units <= state.limit;
        }
        let let_in = match mode {
            Mode::Lenient => true,
            Mode::Strict => false,
            _ => within,
        };
        let counted = let_in && !matches!(mode, Mode::Error | Mode::Garble);
        if counted {
            for key in &keys {
                if let Some(count) = counts.get_mut(key) {
                    count.0 += units;
                }
            }
        }
        let (domain, entries) = (request.domain.clone(), keys.into_iter().next().unwrap_or_default());
        lock(&state.seen).push(Seen { at: now, domain, entries, units, counted });
        (let_in, left)
    }
}

#[tonic::async_trait]
impl proto::RateLimitService for Counted {
    async fn should_rate_limit(
        &self,
        request: Request<proto::RateLimitRequest>,
    ) -> Result<Response<proto::RateLimitResponse>, Status> {
        let request = request.into_inner();
        let mode = *lock(&self.0.mode);
        let (let_in, left) = self.count(&request, mode);
        match mode {
            Mode::Delay(time) => tokio::time::sleep(time).await,
            Mode::Silent => std::future::pending().await,
            Mode::Error => return Err(Status::unavailable("as told")),
            Mode::Answer | Mode::Garble | Mode::Lenient | Mode::Strict => {}
        }
        let code = match (mode, let_in) {
            (Mode::Garble, _) => proto::Code::Unknown,
            (_, true) => proto::Code::Ok,
            (_, false) => proto::Code::OverLimit,
        };
        let status = |_| proto::DescriptorStatus {
            code: code.into(),
            duration_until_reset: Some(proto::Duration {
                seconds: left.as_secs() as i64,
                nanos: left.subsec_nanos() as i32,
            }),
            ..Default::default()
        };
        Ok(Response::new(proto::RateLimitResponse {
            overall_code: code.into(),
            statuses: request.descriptors.iter().map(status).collect(),
            ..Default::default()
        }))
    }
}

/// Always OK, on tonic's own server and with nothing noted: what a question costs at least.
pub fn bare(address: SocketAddr) -> io::Result<SocketAddr> {
    let listener = listen(address)?;
    let address = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let runtime = Builder::new_current_thread().enable_all().build()?;
    thread::spawn(move || {
        let served = runtime.block_on(async {
            let incoming = tonic::transport::server::TcpIncoming::from(TcpListener::from_std(listener)?);
            let service = proto::RateLimitServiceServer::new(Always);
            let server = tonic::transport::Server::builder().add_service(service);
            server.serve_with_incoming(incoming.with_nodelay(Some(true))).await.map_err(io::Error::other)
        });
        if let Err(error) = served {
            eprintln!("limiter: {error}");
        }
    });
    Ok(address)
}

struct Always;

#[tonic::async_trait]
impl proto::RateLimitService for Always {
    async fn should_rate_limit(
        &self,
        request: Request<proto::RateLimitRequest>,
    ) -> Result<Response<proto::RateLimitResponse>, Status> {
        let code = proto::Code::Ok.into();
        let statuses = request.get_ref().descriptors.iter();
        Ok(Response::new(proto::RateLimitResponse {
            overall_code: code,
            statuses: statuses.map(|_| proto::DescriptorStatus { code, ..Default::default() }).collect(),
            ..Default::default()
        }))
    }
}
