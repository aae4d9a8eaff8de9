//! Limits how often each key of the administration API may be used, by the program's own decision module: a key is an
//! account, a call is a request of one unit, and the counts are in this process.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
use violetyoke_decision::interface::{
    Action, Class, Counter, DedupScope, Event, Idempotency, Limits, Micros, Outcome, Plan, Request, Settings,
};
use violetyoke_decision::Gateway;

/// How many calls a key may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Calls per second, in the long run.
    pub calls_per_second: f64,
    /// Calls at once.
    pub burst: f64,
}

/// What calls are counted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AccountId(u64);

impl AccountId {
    /// The account of all calls without a valid key: guessing keys costs the store a lookup for each.
    pub(crate) const UNKNOWN: AccountId = AccountId(0);

    /// The account of a key, by its id.
    pub(crate) fn of_key(id: &str) -> AccountId {
        let number = u64::from_str_radix(id, 16).unwrap_or(0);
        AccountId(number.max(AccountId::UNKNOWN.0 + 1))
    }
}

/// The call is over the account's limit.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("over the rate limit for {retry_after_us} us")]
pub(crate) struct RateLimited {
    /// When a call would be admitted, in microseconds from now.
    pub(crate) retry_after_us: Micros,
}

struct Query {
    account: AccountId,
    reply: oneshot::Sender<Result<(), RateLimited>>,
}

/// A handle of the task that owns the decision module. The task ends when all handles are dropped.
#[derive(Clone)]
pub(crate) struct RateLimiter {
    /// Unbounded: each call in flight has at most one query, and the server bounds calls.
    queries: mpsc::UnboundedSender<Query>,
}

impl RateLimiter {
    /// Starts the task on the present runtime.
    pub(crate) fn start(limit: RateLimit) -> RateLimiter {
        let (queries, mut inbox) = mpsc::unbounded_channel();
        tokio::spawn(async move { Limiting::new(limit).run(&mut inbox).await });
        RateLimiter { queries }
    }

    /// Admits one more call of an account.
    pub(crate) async fn admit(&self, account: AccountId) -> Result<(), RateLimited> {
        let (reply, admitted) = oneshot::channel();
        // Without its task nothing is counted, and no call is admitted: the reply's sender is dropped.
        drop(self.queries.send(Query { account, reply }));
        admitted.await.unwrap_or(Err(RateLimited { retry_after_us: 0 }))
    }
}

fn settings(limit: RateLimit) -> Settings {
    let class = Class {
        latency_target: 500_000,
        latency_target_stretch: 0.0,
        deadline: 1_000_000,
        idempotency: Idempotency::Idempotent,
        dedup_scope: DedupScope::All,
        dedup_window: 0,
        late_value: 0.0,
        value: 1.0,
        streamed: false,
        admission_only: true,
    };
    Settings {
        gateways: 1,
        tick: 1_000,
        classes: vec![class],
        plans: vec![Plan { rate: limit.calls_per_second, burst: limit.burst, value: 1.0, ..Plan::default() }],
        counter: Some(Counter { timeout: 50_000, fee: 0.0 }),
        max_request_units: 1.0,
        limits: Limits {
            max_attempts: 1,
            retry_hints: true,
            max_retry_after: 60_000_000,
            ..Limits::default()
        },
        ..Settings::default()
    }
}

/// The longest time that a count is kept.
const MAX_COUNT_LIFETIME: Micros = 60_000_000;
/// The module's time at the start of the task: its windows reach before it.
const START: Micros = 3_600_000_000;

/// A count of the decision module.
struct Count {
    total: f64,
    expires_at: Micros,
}

/// A timer of the decision module; the earliest is the smallest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Micros,
    token: u64,
}

/// The task's state: the decision module, and what it has outside of itself.
struct Limiting {
    started_at: Instant,
    gateway: Gateway,
    waiting: HashMap<u32, oneshot::Sender<Result<(), RateLimited>>>,
    timers: BinaryHeap<Reverse<Timer>>,
    counts: HashMap<u64, Count>,
    next_request: u32,
}

impl Limiting {
    fn new(limit: RateLimit) -> Limiting {
        Limiting {
            started_at: Instant::now(),
            gateway: Gateway::new(settings(limit), 1),
            waiting: HashMap::new(),
            timers: BinaryHeap::new(),
            counts: HashMap::new(),
            next_request: 1,
        }
    }

    fn now(&self) -> Micros {
        START + self.started_at.elapsed().as_micros() as Micros
    }

    fn instant(&self, time: Micros) -> Instant {
        self.started_at + Duration::from_micros(time.saturating_sub(START))
    }

    async fn run(&mut self, inbox: &mut mpsc::UnboundedReceiver<Query>) {
        loop {
            let timer = self.timers.peek().map(|Reverse(timer)| *timer);
            let due = self.instant(timer.map_or(0, |timer| timer.at));
            tokio::select! {
                query = inbox.recv() => {
                    let Some(query) = query else { return };
                    let event = self.request(query);
                    self.handle(event);
                }
                () = sleep_until(due.into()), if timer.is_some() => {
                    if let Some(Reverse(Timer { token, .. })) = self.timers.pop() {
                        self.handle(Event::Timer { token });
                    }
                }
            }
        }
    }

    /// The event of a query, which waits for its reply.
    fn request(&mut self, query: Query) -> Event {
        let id = self.next_request;
        self.next_request = self.next_request.wrapping_add(1);
        self.waiting.insert(id, query.reply);
        Event::Request(Request {
            id,
            class: 0,
            plan: 0,
            customer: query.account.0,
            units: 1.0,
            gateway_count: 1.0,
            first_gateway: 0.0,
            timeout: 1_000_000,
            is_retry: false,
            is_write: false,
        })
    }

    /// Handles an event, and those that follow from it.
    fn handle(&mut self, event: Event) {
        let (mut events, mut actions) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            self.gateway.handle(self.now(), event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.perform(&action));
            }
        }
    }

    /// Performs an action; returns the event that it causes.
    fn perform(&mut self, action: &Action) -> Option<Event> {
        match *action {
            Action::AddToCounter { counter_id, amount, ttl } => {
                let total = self.add(counter_id, amount, ttl);
                return Some(Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total, elapsed: 0 });
            }
            Action::Timer { at, token } => self.timers.push(Reverse(Timer { at, token })),
            Action::Admit { request } => {
                self.reply(request, Ok(()));
                // A call's count stands: nothing gives it back.
                return Some(Event::Abandoned { request });
            }
            Action::Reject { request, retry_after, .. } => {
                self.reply(request, Err(RateLimited { retry_after_us: retry_after }));
            }
            Action::Fail { request, .. } => drop(self.waiting.remove(&request)),
            _ => {}
        }
        None
    }

    fn add(&mut self, count: u64, amount: f64, lifetime: Micros) -> f64 {
        let now = self.now();
        self.counts.retain(|_, count| count.expires_at > now);
        let expires_at = now + lifetime.min(MAX_COUNT_LIFETIME);
        let count = self.counts.entry(count).or_insert(Count { total: 0.0, expires_at });
        count.total += amount;
        count.total
    }

    fn reply(&mut self, request: u32, result: Result<(), RateLimited>) {
        if let Some(waiting) = self.waiting.remove(&request) {
            // A caller that has gone needs no reply.
            drop(waiting.send(result));
        }
    }
}
