//! The client of an external rate limit server, on one HTTP/2 connection. `violetyoke-ratelimit::external_limiter` decides, without
//! I/O, whether a query is sent, and how time-outs and late replies are handled.

use crate::pool::SharedCapacity;
use crate::precheck::PrecheckRequest;
use crate::tasks::{self, LocalExecutor, TaskSet};
use crate::Clock;
use hyper_util::rt::TokioIo;
use siphasher::sip::SipHasher13;
use std::cell::{Cell, RefCell};
use std::error::Error;
use std::hash::Hasher;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, Mutex};
use tokio::time::{sleep_until, timeout, timeout_at};
use tonic::Request;
use violetyoke_config::ExternalLimiterConfig;
use violetyoke_decision::interface::Micros;
use violetyoke_ratelimit::external_limiter::{Decision, ExternalLimiter, Reply, Start};
use violetyoke_ratelimit_proto as proto;
use violetyoke_ratelimit_proto::{never_processed, Channel};
use violetyoke_shares::Member;

type Client = proto::RateLimitServiceClient<Channel>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The maximum size of a reply (bytes). A larger reply counts as a failure.
const MAX_REPLY_SIZE: usize = 64 * 1024;

/// The client of one pool's external rate limit server.
pub struct ExternalLimiterClient {
    config: RefCell<Rc<ExternalLimiterConfig>>,
    limiter: RefCell<ExternalLimiter>,
    /// The connection in use, with its gRPC client.
    connection: RefCell<Option<(Channel, Client)>>,
    /// The number of connections that have been opened.
    connection_count: Cell<u64>,
    /// Locked while a connection is being opened, so that queries do not open several.
    connecting: Mutex<()>,
    clock: Clock,
    descriptors: SharedCapacity,
    member: Member,
    /// The task set in which its tasks run.
    set: Rc<TaskSet>,
    /// The name of the pool, for the log.
    pool: String,
}

impl ExternalLimiterClient {
    pub fn new(
        config: ExternalLimiterConfig,
        clock: Clock,
        descriptors: SharedCapacity,
        member: Member,
        set: Rc<TaskSet>,
        pool: String,
    ) -> Rc<ExternalLimiterClient> {
        let limiter = ExternalLimiter::new(config.settings, clock.now() ^ (member as u64) << 40);
        Rc::new(ExternalLimiterClient {
            config: RefCell::new(Rc::new(config)),
            limiter: RefCell::new(limiter),
            connection: RefCell::default(),
            connection_count: Cell::new(0),
            connecting: Mutex::default(),
            clock,
            descriptors,
            member,
            set,
            pool,
        })
    }

    /// Whether a new configuration has the address of this server. The state of the server is then kept.
    pub fn has_address_of(&self, config: &ExternalLimiterConfig) -> bool {
        self.config.borrow().address == config.address
    }

    pub fn update_settings(&self, config: ExternalLimiterConfig) {
        self.limiter.borrow_mut().update_settings(config.settings);
        *self.config.borrow_mut() = Rc::new(config);
    }

    /// Whether requests of this plan are checked by the server.
    pub fn applies_to_plan(&self, plan: &str) -> bool {
        let config = self.config.borrow();
        config.plans.is_empty() || config.plans.iter().any(|checked| checked == plan)
    }

    /// Queries the server about a request. Returns a decision before the time-out of the query, even if the server does not
    /// reply.
    pub async fn query(
        self: &Rc<ExternalLimiterClient>,
        request: &PrecheckRequest,
    ) -> (Decision, Option<ExternalQuery>) {
        let deadline = request.arrived_at.saturating_add(request.timeout);
        let start = self.limiter.borrow_mut().start(self.clock.now(), deadline, credit_key(request));
        let (id, until) = match start {
            Start::Credited { id } => return (Decision::Proceed, Some(ExternalQuery::new(self, id))),
            Start::NoQuery(decision) => return (decision, None),
            Start::Query { id, until } => (id, until),
        };
        // If this future is dropped while it waits, the client has disconnected.
        let mut query = ExternalQuery::new(self, id);
        query.is_waiting = true;
        let (decision_sender, mut decision_receiver) = oneshot::channel();
        let message = self.query_message(request);
        tasks::spawn_in(&self.set, self.clone().run_query(id, until, message, decision_sender));
        let end = self.clock.instant(until).into();
        let decision = match timeout_at(end, &mut decision_receiver).await {
            Ok(Ok(decision)) => Some(decision),
            _ => self.on_timeout(id).or_else(|| decision_receiver.try_recv().ok()),
        };
        query.is_waiting = false;
        // There is no decision if the task of the query was aborted, as when the process ends.
        (decision.unwrap_or(Decision::Reject { retry_after: 0 }), Some(query))
    }

    fn on_timeout(&self, id: u64) -> Option<Decision> {
        let decision = self.update_limiter(|limiter, now| limiter.on_timeout(now, id));
        if decision.is_some() && self.limiter.borrow().is_breaker_open() {
            // The connection may be dead, so the next trial opens a new one.
            self.connection.take();
        }
        decision
    }

    /// Sends a query and handles its reply, which may arrive after the time-out.
    async fn run_query(
        self: Rc<ExternalLimiterClient>,
        id: u64,
        until: Micros,
        message: proto::RateLimitRequest,
        decision_sender: oneshot::Sender<Decision>,
    ) {
        let late_reply_time = self.limiter.borrow().late_reply_time();
        let end = self.clock.instant(until.saturating_add(late_reply_time)).into();
        let reply = tokio::select! {
            biased;
            reply = self.call(message, id, until) => reply,
            () = sleep_until(end) => {
                // Usually the time-out has been handled before, unless the clock has jumped.
                let _ = self.on_timeout(id);
                return self.limiter.borrow_mut().on_reply_lost(id);
            }
        };
        if let Some(decision) = self.update_limiter(|limiter, now| limiter.on_reply(now, id, reply)) {
            let _ = decision_sender.send(decision);
        }
    }

    /// Calls the server, and retries on a new connection if the server certainly has not processed the call.
    async fn call(&self, message: proto::RateLimitRequest, id: u64, until: Micros) -> Reply {
        for attempts in 1.. {
            let Ok(mut client) = self.client().await else { return Reply::Failed };
            let connection = self.connection_count.get();
            let time_left = until.saturating_sub(self.clock.now()).max(1);
            let mut request = Request::new(message.clone());
            request.set_timeout(Duration::from_micros(time_left));
            match client.should_rate_limit(request).await {
                Ok(response) => return decode_reply(response.get_ref()),
                // The server was closing the connection.
                Err(status) if never_processed(&status) => drop(self.connection.take()),
                // A status has a source if the connection broke, and none if the server sent it.
                Err(status) if status.source().is_some() => return Reply::ConnectionBroke { connection },
                Err(_) => return Reply::Failed,
            }
            if !self.limiter.borrow().may_retry(self.clock.now(), id, until, attempts) {
                break;
            }
        }
        Reply::Failed
    }

    /// The client of the open connection. Opens a connection if there is none.
    async fn client(&self) -> io::Result<Client> {
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        let _connecting = self.connecting.lock().await;
        if let Some(client) = self.open_client() {
            return Ok(client);
        }
        if !self.descriptors.borrow_mut().try_acquire(self.member, 1) {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let reservation =
            DescriptorReservation { descriptors: self.descriptors.clone(), member: self.member };
        let address = self.config.borrow().address;
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let uri = format!("http://{address}").parse().map_err(io::Error::other)?;
        let opened = Channel::open(TokioIo::new(stream), LocalExecutor, uri).await;
        let (channel, connection) = opened.map_err(io::Error::other)?;
        tasks::spawn_in(&self.set, async move {
            let _reservation = reservation;
            // Errors are reported through the channel.
            let _ = connection.await;
        });
        let client = Client::new(channel.clone()).max_decoding_message_size(MAX_REPLY_SIZE);
        self.connection_count.set(self.connection_count.get() + 1);
        *self.connection.borrow_mut() = Some((channel, client.clone()));
        Ok(client)
    }

    fn open_client(&self) -> Option<Client> {
        let connection = self.connection.borrow();
        connection.as_ref().filter(|(channel, _)| !channel.is_closed()).map(|(_, client)| client.clone())
    }

    /// Updates the state of the limiter, and logs when its circuit breaker opens or closes.
    fn update_limiter<T>(&self, update: impl FnOnce(&mut ExternalLimiter, Micros) -> T) -> T {
        let mut limiter = self.limiter.borrow_mut();
        let was_open = limiter.is_breaker_open();
        let result = update(&mut limiter, self.clock.now());
        let pool = &self.pool;
        match (was_open, limiter.is_breaker_open()) {
            (false, true) => eprintln!("violetyoke: pool {pool:?}: the outside rate limit server is silent"),
            (true, false) => eprintln!(
                "violetyoke: pool {pool:?}: the outside rate limit server answers again ({:?})",
                limiter.counters()
            ),
            _ => {}
        }
        result
    }

    fn query_message(&self, request: &PrecheckRequest) -> proto::RateLimitRequest {
        let config = self.config.borrow();
        let entry = |key: &str, value: &str| proto::Entry { key: key.to_string(), value: value.to_string() };
        let mut entries: Vec<_> = config.fixed_entries.iter().map(|(key, value)| entry(key, value)).collect();
        entries.push(entry(&config.account_key, &request.account));
        let optional_entries = [
            (&config.plan_key, Some(&request.plan)),
            (&config.class_key, request.class.as_ref()),
            (&config.attempt_key, request.attempt_name.as_ref()),
        ];
        for (key, value) in optional_entries {
            if let (Some(key), Some(value)) = (key, value) {
                entries.push(entry(key, value));
            }
        }
        proto::RateLimitRequest {
            domain: config.domain.clone(),
            descriptors: vec![proto::RateLimitDescriptor { entries, ..Default::default() }],
            // The protocol has integer units only, so fractions are rounded up.
            hits_addend: request.units.ceil().clamp(1.0, f64::from(u32::MAX)) as u32,
        }
    }
}

/// A hash of the contents of a query, except the name of the attempt. Units that were counted for a request that was not
/// admitted are credited to another request with the same key.
fn credit_key(request: &PrecheckRequest) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(2, 0);
    for text in [request.account.as_str(), &request.plan, request.class.as_deref().unwrap_or_default()] {
        hasher.write_u64(text.len() as u64);
        hasher.write(text.as_bytes());
    }
    hasher.write_u64(request.units.to_bits());
    hasher.finish()
}

/// Decodes a reply. An unknown code counts as a failure. Invalid reset times are ignored; of several, the longest counts.
fn decode_reply(response: &proto::RateLimitResponse) -> Reply {
    match response.overall_code() {
        proto::Code::Ok => Reply::Ok,
        proto::Code::OverLimit => {
            let is_over_limit = |status: &&proto::DescriptorStatus| status.code() == proto::Code::OverLimit;
            let reset_times = response.statuses.iter().filter(is_over_limit).filter_map(|status| {
                let duration = status.duration_until_reset.as_ref()?;
                let seconds = u64::try_from(duration.seconds).ok()?;
                let micros = u64::try_from(duration.nanos).ok()? / 1_000;
                seconds.checked_mul(1_000_000)?.checked_add(micros)
            });
            Reply::OverLimit { reset: reset_times.max() }
        }
        proto::Code::Unknown => Reply::Failed,
    }
}

/// A query, until the outcome of its request is known.
pub struct ExternalQuery {
    client: Rc<ExternalLimiterClient>,
    id: u64,
    /// The decision is still awaited.
    is_waiting: bool,
}

impl ExternalQuery {
    fn new(client: &Rc<ExternalLimiterClient>, id: u64) -> ExternalQuery {
        ExternalQuery { client: client.clone(), id, is_waiting: false }
    }

    /// Reports whether the request was admitted in the end.
    pub fn on_request_end(self, is_admitted: bool) {
        let now = self.client.clock.now();
        self.client.limiter.borrow_mut().on_request_end(now, self.id, is_admitted);
    }
}

impl Drop for ExternalQuery {
    fn drop(&mut self) {
        let now = self.client.clock.now();
        let mut limiter = self.client.limiter.borrow_mut();
        if self.is_waiting {
            limiter.on_caller_cancelled(now, self.id);
        } else {
            // The outcome is unknown, so the request counts as admitted. This has no effect if the outcome was reported.
            limiter.on_request_end(now, self.id, true);
        }
    }
}

/// Reserves the descriptor of a connection, until the task of the connection ends.
struct DescriptorReservation {
    descriptors: SharedCapacity,
    member: Member,
}

impl Drop for DescriptorReservation {
    fn drop(&mut self) {
        self.descriptors.borrow_mut().release(self.member, 1);
    }
}
