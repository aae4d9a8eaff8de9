//! The gRPC rate limit service: accepts HTTP/2 connections, and forwards each query to the decision module of its pool.
//! `violetyoke-ratelimit` decides, without I/O, how descriptors map to pools and how their results are combined.

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

/// The maximum number of queries in the channel from the connections. Further queries wait in their streams.
const MAX_CHANNEL_LENGTH: usize = 1_024;
/// The maximum number of streams that a client may reset before they are answered. A client that opens and resets streams
/// at full speed causes more work than it sends, so its connection is closed (CVE-2023-44487, "rapid reset").
const MAX_RESETS: usize = 64;
/// The idle time after which a connection is checked with a ping, and the time-out of the ping.
const PING_INTERVAL: Duration = Duration::from_secs(20);
const PING_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum size of the header fields of a request (bytes).
const MAX_HEADER_SIZE: u32 = 16 * 1024;
/// The time within which a new connection must send the HTTP/2 preface.
const PREFACE_TIMEOUT: Duration = Duration::from_millis(2_400);

/// The configuration of the service; a reload replaces it as a unit.
pub struct RateLimitConfig {
    pub file: File,
    /// The pools, by their indices in the mapping.
    pub pools: Vec<Rc<Pool>>,
}

/// The service; its connections share it.
pub struct RateLimitServer {
    config: RefCell<Rc<RateLimitConfig>>,
    clock: Clock,
    descriptors: SharedCapacity,
    member: Member,
    open_connections: Cell<usize>,
    /// Notified when a connection is closed.
    connection_closed: Notify,
}

/// A query with the sender of its response. It is sent from tonic's services, which must be `Send`, to the pools, which are
/// not.
type QueuedQuery = (Query, oneshot::Sender<Result<proto::RateLimitResponse, Status>>);

struct Query {
    request: proto::RateLimitRequest,
    timeout: Option<Micros>,
}

/// The tonic service, which sends queries to the channel.
struct GrpcService {
    queries: mpsc::Sender<QueuedQuery>,
}

#[tonic::async_trait]
impl proto::RateLimitService for GrpcService {
    async fn should_rate_limit(
        &self,
        request: Request<proto::RateLimitRequest>,
    ) -> Result<Response<proto::RateLimitResponse>, Status> {
        let timeout = match request.metadata().get("grpc-timeout").map(|value| value.to_str()) {
            None => None,
            Some(Ok(text)) => Some(violetyoke_ratelimit::grpc_timeout::parse(text).ok_or_else(bad_timeout)?),
            Some(Err(_)) => return Err(bad_timeout()),
        };
        let (response_sender, response) = oneshot::channel();
        let query = Query { request: request.into_inner(), timeout };
        let sent = self.queries.send((query, response_sender)).await;
        sent.map_err(|_| Status::unavailable("the service ends"))?;
        response.await.map_err(|_| Status::unavailable("the service ends"))?.map(Response::new)
    }
}

fn bad_timeout() -> Status {
    Status::invalid_argument("grpc-timeout: at most 8 digits and one of H, M, S, m, u, n")
}

impl RateLimitServer {
    pub fn new(
        config: RateLimitConfig,
        clock: Clock,
        descriptors: SharedCapacity,
        member: Member,
    ) -> Rc<RateLimitServer> {
        let max_connections = config.file.connections;
        descriptors.borrow_mut().set_limits(member, 0, max_connections);
        Rc::new(RateLimitServer {
            config: RefCell::new(Rc::new(config)),
            clock,
            descriptors,
            member,
            open_connections: Cell::new(0),
            connection_closed: Notify::new(),
        })
    }

    /// Applies a new configuration to further queries. The listening address does not change.
    pub fn update_config(&self, config: RateLimitConfig) {
        self.descriptors.borrow_mut().set_limits(self.member, 0, config.file.connections);
        *self.config.borrow_mut() = Rc::new(config);
    }

    pub fn listen(&self) -> io::Result<TcpListener> {
        listen(self.config.borrow().file.listen)
    }

    /// Serves until SIGTERM. Returns once all accepted queries are answered and their connections closed, or after
    /// `max_drain_time`.
    pub async fn serve(
        self: Rc<RateLimitServer>,
        listener: TcpListener,
        mut terminate: Signal,
        max_drain_time: Duration,
    ) -> io::Result<()> {
        let (queries, mut query_receiver) = mpsc::channel::<QueuedQuery>(MAX_CHANNEL_LENGTH);
        let server = self.clone();
        tasks::spawn(async move {
            while let Some((query, response_sender)) = query_receiver.recv().await {
                let config = server.config.borrow().clone();
                let clock = server.clock;
                tasks::spawn(async move {
                    let mut response_sender = response_sender;
                    // If the client disconnects, the query is dropped, together with its requests to pools.
                    tokio::select! {
                        biased;
                        () = response_sender.closed() => {}
                        result = answer_query(&config, clock, query) => drop(response_sender.send(result)),
                    }
                });
            }
        });
        let routes = routes(queries, self.config.borrow().file.message_bytes)?;
        let (closing, _) = watch::channel(());
        loop {
            let has_capacity = self.descriptors.borrow().available(self.member) > 0;
            tokio::select! {
                accepted = listener.accept(), if has_capacity => match accepted {
                    Ok((stream, _)) => self.open(Socket::new(stream), routes.clone(), closing.subscribe()),
                    Err(error) => {
                        eprintln!("accept: {error}");
                        sleep(Duration::from_millis(5)).await;
                    }
                },
                () = self.connection_closed.notified(), if !has_capacity => {}
                _ = terminate.recv() => break,
            }
        }
        drop(listener);
        closing.send_replace(());
        let all_closed = async {
            while self.open_connections.get() > 0 {
                self.connection_closed.notified().await;
            }
        };
        let _ = timeout(max_drain_time, all_closed).await;
        Ok(())
    }

    /// Serves a connection in a new task.
    fn open(self: &Rc<RateLimitServer>, socket: Socket, routes: Routes, mut closing: watch::Receiver<()>) {
        if !self.descriptors.borrow_mut().try_acquire(self.member, 1) {
            return;
        }
        self.open_connections.set(self.open_connections.get() + 1);
        let guard = ConnectionGuard { server: self.clone() };
        let max_streams = self.config.borrow().file.streams;
        tasks::spawn(async move {
            let _guard = guard;
            let mut builder = http2::Builder::new(LocalExecutor);
            builder
                .timer(TokioTimer::new())
                .max_concurrent_streams(max_streams)
                .max_pending_accept_reset_streams(MAX_RESETS)
                .max_local_error_reset_streams(MAX_RESETS)
                .max_header_list_size(MAX_HEADER_SIZE)
                .keep_alive_interval(PING_INTERVAL)
                .keep_alive_timeout(PING_TIMEOUT);
            let service = service_fn(move |request| {
                let mut routes = routes.clone();
                async move { tonic::codegen::Service::call(&mut routes, request).await }
            });
            let read_counter = socket.clone();
            let mut connection = pin!(builder.serve_connection(TokioIo::new(socket), service));
            let mut preface_timeout = pin!(sleep(PREFACE_TIMEOUT));
            let (mut is_closing, mut has_preface) = (false, false);
            loop {
                tokio::select! {
                    biased;
                    _ = connection.as_mut() => break,
                    () = preface_timeout.as_mut(), if !has_preface => {
                        // A connection without a complete HTTP/2 preface (24 bytes) is closed.
                        has_preface = read_counter.bytes_read() >= 24;
                        if !has_preface {
                            break;
                        }
                    }
                    change = closing.changed(), if !is_closing => {
                        is_closing = true;
                        if change.is_ok() {
                            connection.as_mut().graceful_shutdown();
                        }
                    }
                }
            }
        });
    }
}

/// Counts a connection as open until its task ends.
struct ConnectionGuard {
    server: Rc<RateLimitServer>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        let server = &self.server;
        server.open_connections.set(server.open_connections.get() - 1);
        server.descriptors.borrow_mut().release(server.member, 1);
        server.connection_closed.notify_one();
    }
}

/// The rate limit service, with the health and reflection services.
fn routes(queries: mpsc::Sender<QueuedQuery>, message_bytes: usize) -> io::Result<Routes> {
    let service =
        proto::RateLimitServiceServer::new(GrpcService { queries }).max_decoding_message_size(message_bytes);
    let (reporter, health) = tonic_health::server::health_reporter();
    // The health status never changes: the service is healthy whenever it can reply.
    drop(reporter);
    let reflection = tonic_reflection::server::Builder::configure()
        .register_encoded_file_descriptor_set(proto::DESCRIPTORS)
        .build_v1()
        .map_err(io::Error::other)?;
    Ok(Routes::new(service).add_service(health).add_service(reflection).prepare())
}

/// Answers a query: with the results of all descriptors, or with an error, in which case none of them is counted.
async fn answer_query(
    config: &RateLimitConfig,
    clock: Clock,
    query: Query,
) -> Result<proto::RateLimitResponse, Status> {
    let arrived_at = clock.now();
    let request = &query.request;
    let descriptors: Vec<Descriptor> = request.descriptors.iter().map(to_descriptor).collect();
    let limits = RequestLimits { descriptors: config.file.descriptors, ..RequestLimits::default() };
    let list =
        quota_queries(&config.file.mapping, &limits, &request.domain, &descriptors, request.hits_addend)
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let timeout = query.timeout.unwrap_or(Micros::MAX).min(config.file.deadline);
    // All descriptors are validated before the first one is evaluated, so that an invalid one prevents that others are
    // counted.
    let mut valid = Vec::with_capacity(list.len());
    for (index, quota_query) in list.into_iter().enumerate() {
        valid.push(match quota_query {
            Err(unknown) => Err(unknown),
            Ok(quota_query) => Ok(ValidQuery::new(config, index, quota_query)?),
        });
    }
    let evaluations = valid.into_iter().map(|valid| async move {
        match valid {
            Err(UnknownPolicy::Ok) => QueryResult::without_request(true),
            Err(UnknownPolicy::OverLimit) => QueryResult::without_request(false),
            Ok(valid) => valid.evaluate(arrived_at, timeout).await,
        }
    });
    let mut results = join_all(evaluations).await;
    let combined = combine(&results.iter().map(|result| result.is_admitted).collect::<Vec<_>>());
    for index in &combined.refunds {
        results[*index].refund();
    }
    results.iter_mut().for_each(QueryResult::settle);
    let code = |ok| if ok { proto::Code::Ok } else { proto::Code::OverLimit };
    let headers =
        results.iter().find(|result| result.is_admitted == combined.is_ok).and_then(QueryResult::headers);
    Ok(proto::RateLimitResponse {
        overall_code: code(combined.is_ok).into(),
        statuses: results.iter().map(|result| result.status(code(result.is_admitted))).collect(),
        response_headers_to_add: headers.unwrap_or_default(),
        ..proto::RateLimitResponse::default()
    })
}

fn to_descriptor(descriptor: &proto::RateLimitDescriptor) -> Descriptor<'_> {
    Descriptor {
        entries: descriptor.entries.iter().map(|entry| (entry.key.as_str(), entry.value.as_str())).collect(),
        hits: descriptor.hits_addend,
        is_negative: descriptor.is_negative_hits,
        has_limit: descriptor.limit.is_some(),
    }
}

/// A query that is valid for its pool.
struct ValidQuery {
    pool: Rc<Pool>,
    class: u16,
    plan: u16,
    customer: u64,
    units: f64,
    gateway_count: f64,
    attempt_name: Option<String>,
    account: String,
}

impl ValidQuery {
    fn new(config: &RateLimitConfig, index: usize, query: QuotaQuery) -> Result<ValidQuery, Status> {
        let invalid = |reason: &str| Status::invalid_argument(format!("descriptors[{index}]: {reason}"));
        let pool = config.pools.get(query.pool).ok_or_else(|| Status::internal("the pool is gone"))?;
        let rules = pool.rules();
        let plan = match &query.plan {
            Some(name) => rules.plan(name).ok_or_else(|| invalid("no such plan"))?,
            None => {
                rules.default_plan().ok_or_else(|| invalid("names no plan, and the pool has no default"))?
            }
        };
        if query.units > rules.max_units() {
            return Err(invalid("hits_addend: more units than one request may have"));
        }
        let customer =
            customer_id(&query.account).ok_or_else(|| invalid("the account is empty or too long"))?;
        let class = rules.query_class().ok_or_else(|| Status::internal("the pool takes no questions"))?;
        let (units, gateway_count, attempt_name) = (query.units, rules.ingress_count(), query.attempt_name);
        let (pool, account) = (pool.clone(), query.account);
        Ok(ValidQuery { pool, class, plan, customer, units, gateway_count, attempt_name, account })
    }

    /// Runs the prechecks of the pool, then requests admission by the decision module.
    async fn evaluate(self, arrived_at: Micros, timeout: Micros) -> QueryResult {
        let mut pass = None;
        if let Some(precheck) = self.pool.precheck(self.attempt_name.is_some(), || self.plan) {
            let request = PrecheckRequest {
                source: Source::Query,
                customer: self.customer,
                units: self.units,
                attempt_name: self.attempt_name,
                account: self.account,
                plan: self.pool.rules().plans[usize::from(self.plan)].clone(),
                class: None,
                arrived_at,
                timeout,
            };
            match precheck.run(request).await {
                PrecheckOutcome::Pass(passed) if passed.already_counted => {
                    return QueryResult::without_request(true)
                }
                PrecheckOutcome::Pass(passed) => pass = Some(passed),
                PrecheckOutcome::OverLimit { retry_after } | PrecheckOutcome::Unavailable { retry_after } => {
                    let mut rejected = QueryResult::without_request(false);
                    rejected.retry_after = retry_after;
                    return rejected;
                }
            }
        }
        let Some(_open_request) = self.pool.open_request() else {
            return QueryResult::without_request(false);
        };
        let id = self.pool.next_request_id();
        let (reply, reply_receiver) = oneshot::channel();
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
        // If this future is dropped while it waits, the stream was reset, and dropping the result ends the request.
        let mut result = QueryResult::without_request(false);
        (result.pool, result.id, result.is_open, result.pass) = (Some(self.pool.clone()), id, sent, pass);
        let reply = reply_receiver.await.unwrap_or(Reply { answer: ClientAnswer::Failed, quota: None });
        (result.is_admitted, result.quota) = (matches!(reply.answer, ClientAnswer::Admitted), reply.quota);
        result.is_open = result.is_admitted;
        if let ClientAnswer::Refused { retry_after } = reply.answer {
            result.retry_after = retry_after;
        }
        if let Some(pass) = result.pass.as_mut().filter(|_| !result.is_admitted) {
            pass.finish(false);
        }
        result
    }
}

/// The result of one descriptor.
struct QueryResult {
    is_admitted: bool,
    quota: Option<QuotaState>,
    retry_after: Micros,
    /// The pool of the request; `None` if no request was sent to a decision module.
    pool: Option<Rc<Pool>>,
    id: u32,
    /// Whether the request is still open in the decision module.
    is_open: bool,
    pass: Option<PrecheckPass>,
}

impl QueryResult {
    /// A result for which no request was sent to a decision module.
    fn without_request(is_admitted: bool) -> QueryResult {
        QueryResult {
            is_admitted,
            quota: None,
            retry_after: 0,
            pool: None,
            id: 0,
            is_open: false,
            pass: None,
        }
    }

    /// Refunds the units of this descriptor, because another one is over its limit.
    fn refund(&mut self) {
        if let Some(pool) = self.pool.as_ref().filter(|_| self.is_open) {
            pool.send(Message::Withdrawn(self.id));
            if let Some(pass) = &mut self.pass {
                pass.finish(false);
                if let Some(claim) = pass.claim {
                    // Resets the claim of the attempt to undecided.
                    pool.send(Message::AddToClaim { claim, amount: -claim::ADMITTED, reply: None });
                }
            }
            self.is_open = false;
        }
    }

    /// Ends the request in the decision module. Its units stay counted.
    fn settle(&mut self) {
        if let Some(pool) = self.pool.as_ref().filter(|_| self.is_open) {
            pool.send(Message::Abandoned(self.id));
            self.is_open = false;
        }
    }

    fn status(&self, code: proto::Code) -> proto::DescriptorStatus {
        let limit = self.quota.map(|quota| proto::RateLimit {
            name: String::new(),
            requests_per_unit: quota.rate.floor().clamp(0.0, f64::from(u32::MAX)) as u32,
            unit: proto::Unit::Second.into(),
        });
        let reset = self.quota.map(|quota| quota.reset_after.max(self.retry_after));
        let reset = reset.or((self.retry_after > 0).then_some(self.retry_after));
        proto::DescriptorStatus {
            code: code.into(),
            current_limit: limit,
            limit_remaining: self.quota.map_or(0, |quota| quota.remaining.floor() as u32),
            duration_until_reset: reset.map(|micros| prost_types::Duration {
                seconds: (micros / 1_000_000) as i64,
                nanos: (micros % 1_000_000 * 1_000) as i32,
            }),
            quota: None,
        }
    }

    /// The quota header fields, if they are enabled for the pool and the state of the quota is known.
    fn headers(&self) -> Option<Vec<proto::HeaderValue>> {
        let mut headers = hyper::HeaderMap::new();
        quota_headers::write(&mut headers, self.pool.as_ref()?.quota_headers.get(), &self.quota?);
        let value =
            |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| proto::HeaderValue {
                key: name.to_string(),
                value: value.to_str().unwrap_or_default().to_string(),
                raw_value: Default::default(),
            };
        Some(headers.iter().map(value).collect())
    }
}

impl Drop for QueryResult {
    fn drop(&mut self) {
        // The caller has disconnected and may or may not have executed its request, so admitted units stay counted.
        self.settle();
    }
}
