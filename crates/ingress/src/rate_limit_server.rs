//! The gRPC rate limit service: HTTP/2 connections, and each question on its way to its pool's module. What a
//! question is about and what becomes of several descriptors is decided in `violetyoke-ratelimit`, free of I/O.

use crate::pool::{Pool, SharedCapacity};
use crate::precheck::{PrecheckOutcome, PrecheckPass, PrecheckRequest};
use crate::quota_headers;
use crate::request::customer_id;
use crate::server::listen;
use crate::socket::Socket;
use crate::tasks::{self, LocalExecutor};
use crate::{ClientAnswer, ClientRequest, Clock, Message, Reply};
use futures_util::future::join_all;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, oneshot, watch, Notify};
use tokio::time::{sleep, timeout};
use tonic::service::Routes;
use tonic::{Request, Response, Status};
use violetyoke_config::RateLimit as File;
use violetyoke_decision::interface::Micros;
use violetyoke_decision::view::QuotaState;
use violetyoke_ratelimit::claim::{self, Source};
use violetyoke_ratelimit::{combine, quota_queries, Descriptor, QuotaQuery, RequestLimits, UnknownPolicy};
use violetyoke_ratelimit_proto as proto;
use violetyoke_shares::Member;

/// Questions handed over and not yet taken up, at most: more wait in their streams.
const MOST_WAITING: usize = 1_024;
/// Streams that a client may reset before they are answered, in a row: a client that opens and resets at full
/// speed costs more than it asks, and its connection ends (CVE-2023-44487, "rapid reset").
const MOST_RESETS: usize = 64;
/// How long a silent connection is kept before it is asked for a sign of life, and how long for that.
const PING_EVERY: Duration = Duration::from_secs(20);
const PING_WAIT: Duration = Duration::from_secs(10);
/// The longest head of a question.
const LARGEST_HEAD: u32 = 16 * 1024;
/// How long a client may take to begin with HTTP/2.
const FIRST_TIME: Duration = Duration::from_millis(2_400);

/// What questions are answered by; replaced as a whole by a reload.
pub struct RateLimitConfig {
    pub file: File,
    /// By the numbers that the mapping has.
    pub pools: Vec<Rc<Pool>>,
}

/// The service, as its connections share it.
pub struct RateLimitServer {
    asking: RefCell<Rc<RateLimitConfig>>,
    clock: Clock,
    descriptors: SharedCapacity,
    member: Member,
    open: Cell<usize>,
    freed: Notify,
}

/// A question on its way from tonic, whose services have to be `Send`, to the pools, which are not.
type Handed = (Handing, oneshot::Sender<Result<proto::RateLimitResponse, Status>>);

struct Handing {
    request: proto::RateLimitRequest,
    timeout: Option<Micros>,
}

struct Service {
    handed: mpsc::Sender<Handed>,
}

#[tonic::async_trait]
impl proto::RateLimitService for Service {
    async fn should_rate_limit(
        &self,
        request: Request<proto::RateLimitRequest>,
    ) -> Result<Response<proto::RateLimitResponse>, Status> {
        let timeout = match request.metadata().get("grpc-timeout").map(|value| value.to_str()) {
            None => None,
            Some(Ok(text)) => Some(violetyoke_ratelimit::grpc_timeout::parse(text).ok_or_else(bad_timeout)?),
            Some(Err(_)) => return Err(bad_timeout()),
        };
        let (answer, answered) = oneshot::channel();
        let handing = Handing { request: request.into_inner(), timeout };
        let handed = self.handed.send((handing, answer)).await;
        handed.map_err(|_| Status::unavailable("the service ends"))?;
        answered.await.map_err(|_| Status::unavailable("the service ends"))?.map(Response::new)
    }
}

fn bad_timeout() -> Status {
    Status::invalid_argument("grpc-timeout: at most 8 digits and one of H, M, S, m, u, n")
}

impl RateLimitServer {
    pub fn new(
        asking: RateLimitConfig,
        clock: Clock,
        descriptors: SharedCapacity,
        member: Member,
    ) -> Rc<RateLimitServer> {
        let most = asking.file.connections;
        descriptors.borrow_mut().set_limits(member, 0, most);
        Rc::new(RateLimitServer {
            asking: RefCell::new(Rc::new(asking)),
            clock,
            descriptors,
            member,
            open: Cell::new(0),
            freed: Notify::new(),
        })
    }

    /// Answers by a new file from now on; its listener stays.
    pub fn update_config(&self, asking: RateLimitConfig) {
        self.descriptors.borrow_mut().set_limits(self.member, 0, asking.file.connections);
        *self.asking.borrow_mut() = Rc::new(asking);
    }

    pub fn listen(&self) -> io::Result<TcpListener> {
        listen(self.asking.borrow().file.listen)
    }

    /// Accepts until SIGTERM; returns once what was taken has been answered, or `longest` has passed.
    pub async fn serve(
        self: Rc<RateLimitServer>,
        listener: TcpListener,
        mut terminate: Signal,
        longest: Duration,
    ) -> io::Result<()> {
        let (handed, mut taken) = mpsc::channel::<Handed>(MOST_WAITING);
        let questions = self.clone();
        tasks::spawn(async move {
            while let Some((handing, answer)) = taken.recv().await {
                let asking = questions.asking.borrow().clone();
                let clock = questions.clock;
                tasks::spawn(async move {
                    let mut answer = answer;
                    // A question whose client has gone is not asked on, and what is out for it ends.
                    tokio::select! {
                        biased;
                        () = answer.closed() => {}
                        result = answer_one(&asking, clock, handing) => drop(answer.send(result)),
                    }
                });
            }
        });
        let routes = routes(handed, self.asking.borrow().file.message_bytes)?;
        let (closing, _) = watch::channel(());
        loop {
            let has_room = self.descriptors.borrow().available(self.member) > 0;
            tokio::select! {
                accepted = listener.accept(), if has_room => match accepted {
                    Ok((stream, _)) => self.open(Socket::new(stream), routes.clone(), closing.subscribe()),
                    Err(error) => {
                        eprintln!("accept: {error}");
                        sleep(Duration::from_millis(5)).await;
                    }
                },
                () = self.freed.notified(), if !has_room => {}
                _ = terminate.recv() => break,
            }
        }
        drop(listener);
        closing.send_replace(());
        let all_ended = async {
            while self.open.get() > 0 {
                self.freed.notified().await;
            }
        };
        let _ = timeout(longest, all_ended).await;
        Ok(())
    }

    fn open(self: &Rc<RateLimitServer>, socket: Socket, routes: Routes, mut closing: watch::Receiver<()>) {
        if !self.descriptors.borrow_mut().try_acquire(self.member, 1) {
            return;
        }
        self.open.set(self.open.get() + 1);
        let place = Connected { questions: self.clone() };
        let streams = self.asking.borrow().file.streams;
        tasks::spawn(async move {
            let _place = place;
            let mut builder = http2::Builder::new(LocalExecutor);
            builder
                .timer(TokioTimer::new())
                .max_concurrent_streams(streams)
                .max_pending_accept_reset_streams(MOST_RESETS)
                .max_local_error_reset_streams(MOST_RESETS)
                .max_header_list_size(LARGEST_HEAD)
                .keep_alive_interval(PING_EVERY)
                .keep_alive_timeout(PING_WAIT);
            let service = service_fn(move |request| {
                let mut routes = routes.clone();
                async move { tonic::codegen::Service::call(&mut routes, request).await }
            });
            let watched = socket.clone();
            let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
            let mut first = pin!(sleep(FIRST_TIME));
            let (mut told, mut begun) = (false, false);
            loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    () = first.as_mut(), if !begun => {
                        // One that has not even said what it speaks holds its place for no longer.
                        begun = watched.bytes_read() >= 24;
                        if !begun {
                            break;
                        }
                    }
                    change = closing.changed(), if !told => {
                        told = true;
                        if change.is_ok() {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                }
            }
        });
    }
}

/// A connection's place, given back when its task ends.
struct Connected {
    questions: Rc<RateLimitServer>,
}

impl Drop for Connected {
    fn drop(&mut self) {
        let questions = &self.questions;
        questions.open.set(questions.open.get() - 1);
        questions.descriptors.borrow_mut().release(questions.member, 1);
        questions.freed.notify_one();
    }
}

fn routes(handed: mpsc::Sender<Handed>, message_bytes: usize) -> io::Result<Routes> {
    let service =
        proto::RateLimitServiceServer::new(Service { handed }).max_decoding_message_size(message_bytes);
    let (reporter, health) = tonic_health::server::health_reporter();
    // Nothing ever changes it: while this answers, the service does.
    drop(reporter);
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(proto::DESCRIPTORS)
        .build_v1()
        .map_err(io::Error::other)?;
    Ok(Routes::new(service).add_service(health).add_service(reflection).prepare())
}

/// Answers a question: all of its descriptors, or none.
async fn answer_one(
    asking: &RateLimitConfig,
    clock: Clock,
    handing: Handing,
) -> Result<proto::RateLimitResponse, Status> {
    let arrived_at = clock.now();
    let request = &handing.request;
    let descriptors: Vec<Descriptor> = request.descriptors.iter().map(asked).collect();
    let limits = RequestLimits { descriptors: asking.file.descriptors, ..RequestLimits::default() };
    let list =
        quota_queries(&asking.file.mapping, &limits, &request.domain, &descriptors, request.hits_addend)
            .map_err(|fault| Status::invalid_argument(fault.to_string()))?;
    let timeout = handing.timeout.unwrap_or(Micros::MAX).min(asking.file.deadline);
    // All are checked before the first one is asked: what is wrong with one counts nothing for another.
    let mut ready = Vec::with_capacity(list.len());
    for (number, question) in list.into_iter().enumerate() {
        ready.push(match question {
            Err(unknown) => Err(unknown),
            Ok(question) => Ok(Ready::check(asking, number, question)?),
        });
    }
    let asks = ready.into_iter().map(|ready| async move {
        match ready {
            Err(UnknownPolicy::Ok) => Answered::known(true),
            Err(UnknownPolicy::OverLimit) => Answered::known(false),
            Ok(ready) => ready.ask(arrived_at, timeout).await,
        }
    });
    let mut answers = join_all(asks).await;
    let combined = combine(&answers.iter().map(|answer| answer.let_in).collect::<Vec<_>>());
    for number in &combined.refunds {
        answers[*number].give_back();
    }
    answers.iter_mut().for_each(Answered::settle);
    let code = |ok| if ok { proto::Code::Ok } else { proto::Code::OverLimit };
    let headers = answers.iter().find(|answer| answer.let_in == combined.is_ok).and_then(Answered::headers);
    Ok(proto::RateLimitResponse {
        overall_code: code(combined.is_ok).into(),
        statuses: answers.iter().map(|answer| answer.status(code(answer.let_in))).collect(),
        response_headers_to_add: headers.unwrap_or_default(),
        ..proto::RateLimitResponse::default()
    })
}

fn asked(descriptor: &proto::RateLimitDescriptor) -> Descriptor<'_> {
    Descriptor {
        entries: descriptor.entries.iter().map(|entry| (entry.key.as_str(), entry.value.as_str())).collect(),
        hits: descriptor.hits_addend,
        is_negative: descriptor.is_negative_hits,
        has_limit: descriptor.limit.is_some(),
    }
}

/// A question that has been checked against its pool.
struct Ready {
    pool: Rc<Pool>,
    class: u16,
    plan: u16,
    customer: u64,
    units: f64,
    gateway_count: f64,
    named: Option<String>,
    account: String,
}

impl Ready {
    fn check(asking: &RateLimitConfig, number: usize, query: QuotaQuery) -> Result<Ready, Status> {
        let wrong = |what: &str| Status::invalid_argument(format!("descriptors[{number}]: {what}"));
        let pool = asking.pools.get(query.pool).ok_or_else(|| Status::internal("the pool is gone"))?;
        let rules = pool.rules();
        let plan = match &query.plan {
            Some(name) => rules.plan(name).ok_or_else(|| wrong("no such plan"))?,
            None => {
                rules.default_plan().ok_or_else(|| wrong("names no plan, and the pool has no default"))?
            }
        };
        if query.units > rules.max_units() {
            return Err(wrong("hits_addend: more units than one request may have"));
        }
        let customer =
            customer_id(&query.account).ok_or_else(|| wrong("the account is empty or too long"))?;
        let class = rules.query_class().ok_or_else(|| Status::internal("the pool takes no questions"))?;
        let (units, gateway_count, named) = (query.units, rules.ingress_count(), query.attempt_name);
        let (pool, account) = (pool.clone(), query.account);
        Ok(Ready { pool, class, plan, customer, units, gateway_count, named, account })
    }

    async fn ask(self, arrived_at: Micros, timeout: Micros) -> Answered {
        let mut pass = None;
        if let Some(precheck) = self.pool.precheck(self.named.is_some(), || self.plan) {
            let about = PrecheckRequest {
                source: Source::Query,
                customer: self.customer,
                units: self.units,
                attempt_name: self.named,
                account: self.account,
                plan: self.pool.rules().plans[usize::from(self.plan)].clone(),
                class: None,
                arrived_at,
                timeout,
            };
            match precheck.run(about).await {
                PrecheckOutcome::Pass(passed) if passed.already_counted => return Answered::known(true),
                PrecheckOutcome::Pass(passed) => pass = Some(passed),
                PrecheckOutcome::OverLimit { retry_after } | PrecheckOutcome::Unavailable { retry_after } => {
                    let mut refused = Answered::known(false);
                    refused.retry_after = retry_after;
                    return refused;
                }
            }
        }
        let Some(_entry) = self.pool.open_request() else { return Answered::known(false) };
        let id = self.pool.next_request_id();
        let (reply, answered) = oneshot::channel();
        let sent = self.pool.send(Message::Request(ClientRequest {
            id,
            arrived_at,
            timeout,
            class: self.class,
            plan: self.plan,
            customer: self.customer,
            units: self.units,
            gateway_count: self.gateway_count,
            first_gateway: 0.0,
            is_retry: false,
            forward: None,
            claim: pass.as_ref().and_then(|pass| pass.claim),
            charged_member: None,
            reply,
        }));
        // Dropped here, its stream has been reset: what was asked ends with it.
        let mut asked = Answered::known(false);
        (asked.pool, asked.id, asked.open, asked.pass) = (Some(self.pool.clone()), id, sent, pass);
        let reply = answered.await.unwrap_or(Reply { answer: ClientAnswer::Failed, quota: None });
        (asked.let_in, asked.standing) = (matches!(reply.answer, ClientAnswer::Admitted), reply.quota);
        asked.open = asked.let_in;
        if let ClientAnswer::Refused { retry_after } = reply.answer {
            asked.retry_after = retry_after;
        }
        if let Some(pass) = asked.pass.as_mut().filter(|_| !asked.let_in) {
            pass.finish(false);
        }
        asked
    }
}

/// What came of one descriptor.
struct Answered {
    let_in: bool,
    standing: Option<QuotaState>,
    retry_after: Micros,
    pool: Option<Rc<Pool>>,
    id: u32,
    /// The module holds it open.
    open: bool,
    pass: Option<PrecheckPass>,
}

impl Answered {
    fn known(let_in: bool) -> Answered {
        Answered { let_in, standing: None, retry_after: 0, pool: None, id: 0, open: false, pass: None }
    }

    /// Another descriptor is over: this one's units are taken back.
    fn give_back(&mut self) {
        if let Some(pool) = self.pool.as_ref().filter(|_| self.open) {
            pool.send(Message::Withdrawn(self.id));
            if let Some(pass) = &mut self.pass {
                pass.finish(false);
                if let Some(claim) = pass.claim {
                    // Its try stands as if nobody had decided it.
                    pool.send(Message::AddToClaim { claim, amount: -claim::ADMITTED, reply: None });
                }
            }
            self.open = false;
        }
    }

    /// It stays counted.
    fn settle(&mut self) {
        if let Some(pool) = self.pool.as_ref().filter(|_| self.open) {
            pool.send(Message::Abandoned(self.id));
            self.open = false;
        }
    }

    fn status(&self, code: proto::Code) -> proto::DescriptorStatus {
        let limit = self.standing.map(|standing| proto::RateLimit {
            name: String::new(),
            requests_per_unit: standing.rate.floor().clamp(0.0, f64::from(u32::MAX)) as u32,
            unit: proto::Unit::Second.into(),
        });
        let reset = self.standing.map(|standing| standing.reset_after.max(self.retry_after));
        let reset = reset.or((self.retry_after > 0).then_some(self.retry_after));
        proto::DescriptorStatus {
            code: code.into(),
            current_limit: limit,
            limit_remaining: self.standing.map_or(0, |standing| standing.remaining.floor() as u32),
            duration_until_reset: reset.map(|micros| prost_types::Duration {
                seconds: (micros / 1_000_000) as i64,
                nanos: (micros % 1_000_000 * 1_000) as i32,
            }),
            quota: None,
        }
    }

    /// The fields that tell of the quota, where the pool has them switched on.
    fn headers(&self) -> Option<Vec<proto::HeaderValue>> {
        let mut headers = hyper::HeaderMap::new();
        quota_headers::write(&mut headers, self.pool.as_ref()?.quota_headers.get(), &self.standing?);
        let value =
            |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| proto::HeaderValue {
                key: name.to_string(),
                value: value.to_str().unwrap_or_default().to_string(),
                raw_value: Default::default(),
            };
        Some(headers.iter().map(value).collect())
    }
}

impl Drop for Answered {
    fn drop(&mut self) {
        // Whoever asked has gone: nobody knows whether it went on, so what was let in stays counted.
        self.settle();
    }
}
