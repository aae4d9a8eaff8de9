//! Questions to an outside rate limit server, on one HTTP/2 connection. Whether to ask, what silence means and
//! what becomes of a late answer is decided in `violetyoke-ratelimit::consult`, free of I/O.

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
use violetyoke_config::Consult;
use violetyoke_decision::interface::Micros;
use violetyoke_ratelimit::consult::{Decision, ExternalLimiter, Reply, Start};
use violetyoke_ratelimit_proto as proto;
use violetyoke_ratelimit_proto::{never_processed, Channel};
use violetyoke_shares::Member;

type Client = proto::RateLimitServiceClient<Channel>;

const CONNECT: Duration = Duration::from_millis(250);
/// Bytes of an answer; a longer one is none.
const LARGEST_ANSWER: usize = 64 * 1024;

/// One pool's outside server.
pub struct ExternalLimiterClient {
    file: RefCell<Rc<Consult>>,
    outside: RefCell<ExternalLimiter>,
    /// The connection in use, and what asks on it.
    link: RefCell<Option<(Channel, Client)>>,
    /// How many connections there have been.
    opened: Cell<u64>,
    /// Held by the one that opens a connection.
    opening: Mutex<()>,
    clock: Clock,
    descriptors: SharedCapacity,
    member: Member,
    /// Where its tasks take their turns.
    set: Rc<TaskSet>,
    pool: String,
}

impl ExternalLimiterClient {
    pub fn new(
        file: Consult,
        clock: Clock,
        descriptors: SharedCapacity,
        member: Member,
        set: Rc<TaskSet>,
        pool: String,
    ) -> Rc<ExternalLimiterClient> {
        let outside = ExternalLimiter::new(file.settings, clock.now() ^ (member as u64) << 40);
        Rc::new(ExternalLimiterClient {
            file: RefCell::new(Rc::new(file)),
            outside: RefCell::new(outside),
            link: RefCell::default(),
            opened: Cell::new(0),
            opening: Mutex::default(),
            clock,
            descriptors,
            member,
            set,
            pool,
        })
    }

    /// Whether the same server stands in the new file: what is known of it then stays.
    pub fn has_address_of(&self, file: &Consult) -> bool {
        self.file.borrow().address == file.address
    }

    pub fn update_settings(&self, file: Consult) {
        self.outside.borrow_mut().update_settings(file.settings);
        *self.file.borrow_mut() = Rc::new(file);
    }

    pub fn applies_to_plan(&self, plan: &str) -> bool {
        let file = self.file.borrow();
        file.plans.is_empty() || file.plans.iter().any(|known| known == plan)
    }

    /// Asks, and returns by the time that the answer counts until, whatever the server does.
    pub async fn query(
        self: &Rc<ExternalLimiterClient>,
        about: &PrecheckRequest,
    ) -> (Decision, Option<ExternalQuery>) {
        let deadline = about.arrived_at.saturating_add(about.timeout);
        let ask = self.outside.borrow_mut().start(self.clock.now(), deadline, key_of(about));
        let (number, until) = match ask {
            Start::Credited { id: number } => {
                return (Decision::Proceed, Some(ExternalQuery::new(self, number)))
            }
            Start::NoQuery(word) => return (word, None),
            Start::Query { id: number, until } => (number, until),
        };
        // Dropped while it waits, its client has gone.
        let mut asked = ExternalQuery::new(self, number);
        asked.left = true;
        let (tell, mut told) = oneshot::channel();
        let request = self.question(about);
        tasks::spawn_in(&self.set, self.clone().carry(number, until, request, tell));
        let end = self.clock.instant(until).into();
        let word = match timeout_at(end, &mut told).await {
            Ok(Ok(word)) => Some(word),
            _ => self.give_up(number).or_else(|| told.try_recv().ok()),
        };
        asked.left = false;
        // No word at all: its task has ended without one, as when the process ends.
        (word.unwrap_or(Decision::Reject { retry_after: 0 }), Some(asked))
    }

    fn give_up(&self, number: u64) -> Option<Decision> {
        let word = self.watched(|outside, now| outside.on_timeout(now, number));
        if word.is_some() && self.outside.borrow().is_breaker_open() {
            // A connection that nothing comes on may be why: the next trial begins with a new one.
            self.link.take();
        }
        word
    }

    /// Carries a question out and its answer back, in time or late.
    async fn carry(
        self: Rc<ExternalLimiterClient>,
        number: u64,
        until: Micros,
        request: proto::RateLimitRequest,
        tell: oneshot::Sender<Decision>,
    ) {
        let late = self.outside.borrow().late_reply_time();
        let end = self.clock.instant(until.saturating_add(late)).into();
        let said = tokio::select! {
            biased;
            said = self.call(request, number, until) => said,
            () = sleep_until(end) => {
                // Given up on before, but for a clock that jumped.
                let _ = self.give_up(number);
                return self.outside.borrow_mut().on_reply_lost(number);
            }
        };
        if let Some(word) = self.watched(|outside, now| outside.on_reply(now, number, said)) {
            let _ = tell.send(word);
        }
    }

    async fn call(&self, request: proto::RateLimitRequest, number: u64, until: Micros) -> Reply {
        for asked in 1.. {
            let Ok(mut client) = self.client().await else { return Reply::Failed };
            let connection = self.opened.get();
            let left = until.saturating_sub(self.clock.now()).max(1);
            let mut question = Request::new(request.clone());
            question.set_timeout(Duration::from_micros(left));
            match client.should_rate_limit(question).await {
                Ok(response) => return said(response.get_ref()),
                // Its connection was ending.
                Err(status) if never_processed(&status) => drop(self.link.take()),
                // What the server says itself has no cause; a connection's end has.
                Err(status) if status.source().is_some() => return Reply::ConnectionBroke { connection },
                Err(_) => return Reply::Failed,
            }
            if !self.outside.borrow().may_retry(self.clock.now(), number, until, asked) {
                break;
            }
        }
        Reply::Failed
    }

    /// The connection, opened if there is none that takes questions.
    async fn client(&self) -> io::Result<Client> {
        if let Some(client) = self.usable() {
            return Ok(client);
        }
        let _opening = self.opening.lock().await;
        if let Some(client) = self.usable() {
            return Ok(client);
        }
        if !self.descriptors.borrow_mut().try_acquire(self.member, 1) {
            return Err(io::ErrorKind::QuotaExceeded.into());
        }
        let place = Place { descriptors: self.descriptors.clone(), member: self.member };
        let address = self.file.borrow().address;
        let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let uri = format!("http://{address}").parse().map_err(io::Error::other)?;
        let opened = Channel::open(TokioIo::new(stream), LocalExecutor, uri).await;
        let (channel, connection) = opened.map_err(io::Error::other)?;
        tasks::spawn_in(&self.set, async move {
            let _place = place;
            // Its end is seen on the channel.
            let _ = connection.await;
        });
        let client = Client::new(channel.clone()).max_decoding_message_size(LARGEST_ANSWER);
        self.opened.set(self.opened.get() + 1);
        *self.link.borrow_mut() = Some((channel, client.clone()));
        Ok(client)
    }

    fn usable(&self) -> Option<Client> {
        let link = self.link.borrow();
        link.as_ref().filter(|(channel, _)| !channel.is_closed()).map(|(_, client)| client.clone())
    }

    /// Tells the state something, and the log where it opens or closes by that.
    fn watched<T>(&self, tell: impl FnOnce(&mut ExternalLimiter, Micros) -> T) -> T {
        let mut outside = self.outside.borrow_mut();
        let before = outside.is_breaker_open();
        let result = tell(&mut outside, self.clock.now());
        let pool = &self.pool;
        match (before, outside.is_breaker_open()) {
            (false, true) => eprintln!("violetyoke: pool {pool:?}: the outside rate limit server is silent"),
            (true, false) => eprintln!(
                "violetyoke: pool {pool:?}: the outside rate limit server answers again ({:?})",
                outside.counters()
            ),
            _ => {}
        }
        result
    }

    fn question(&self, about: &PrecheckRequest) -> proto::RateLimitRequest {
        let file = self.file.borrow();
        let entry = |key: &str, value: &str| proto::Entry { key: key.to_string(), value: value.to_string() };
        let mut entries: Vec<_> = file.with.iter().map(|(key, value)| entry(key, value)).collect();
        entries.push(entry(&file.account_key, &about.account));
        let said = [
            (&file.plan_key, Some(&about.plan)),
            (&file.class_key, about.class.as_ref()),
            (&file.try_key, about.attempt_name.as_ref()),
        ];
        for (key, value) in said {
            if let (Some(key), Some(value)) = (key, value) {
                entries.push(entry(key, value));
            }
        }
        proto::RateLimitRequest {
            domain: file.domain.clone(),
            descriptors: vec![proto::RateLimitDescriptor { entries, ..Default::default() }],
            // The protocol has whole units: a part of one counts as one.
            hits_addend: about.units.ceil().clamp(1.0, f64::from(u32::MAX)) as u32,
        }
    }
}

/// What a question is about, but for its try: units counted for one serve another about the same.
fn key_of(about: &PrecheckRequest) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(2, 0);
    for text in [about.account.as_str(), &about.plan, about.class.as_deref().unwrap_or_default()] {
        hasher.write_u64(text.len() as u64);
        hasher.write(text.as_bytes());
    }
    hasher.write_u64(about.units.to_bits());
    hasher.finish()
}

/// Reads an answer. A code that is neither of the two is no answer; a time that is none is not passed on.
fn said(response: &proto::RateLimitResponse) -> Reply {
    match response.overall_code() {
        proto::Code::Ok => Reply::Ok,
        proto::Code::OverLimit => {
            let over = |status: &&proto::DescriptorStatus| status.code() == proto::Code::OverLimit;
            let times = response.statuses.iter().filter(over).filter_map(|status| {
                let time = status.duration_until_reset.as_ref()?;
                let seconds = u64::try_from(time.seconds).ok()?;
                let rest = u64::try_from(time.nanos).ok()? / 1_000;
                seconds.checked_mul(1_000_000)?.checked_add(rest)
            });
            Reply::OverLimit { reset: times.max() }
        }
        proto::Code::Unknown => Reply::Failed,
    }
}

/// A question that has been asked, until its request's end is known.
pub struct ExternalQuery {
    consulting: Rc<ExternalLimiterClient>,
    number: u64,
    left: bool,
}

impl ExternalQuery {
    fn new(consulting: &Rc<ExternalLimiterClient>, number: u64) -> ExternalQuery {
        ExternalQuery { consulting: consulting.clone(), number, left: false }
    }

    pub fn on_request_end(self, let_in: bool) {
        let now = self.consulting.clock.now();
        self.consulting.outside.borrow_mut().on_request_end(now, self.number, let_in);
    }
}

impl Drop for ExternalQuery {
    fn drop(&mut self) {
        let now = self.consulting.clock.now();
        let mut outside = self.consulting.outside.borrow_mut();
        if self.left {
            outside.on_caller_gone(now, self.number);
        } else {
            // Nobody knows what became of it: it may have been let in. After `ended` this says nothing more.
            outside.on_request_end(now, self.number, true);
        }
    }
}

/// The connection's descriptor, given back when its task ends.
struct Place {
    descriptors: SharedCapacity,
    member: Member,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.descriptors.borrow_mut().release(self.member, 1);
    }
}
