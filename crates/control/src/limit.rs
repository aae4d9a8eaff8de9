//! How often the administration API may be called, by the program's own decision module: each key is an account, a
//! call is a question of one unit, and the counts are in this process.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Instant;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep_until;
use violetyoke_decision::interface::{
    Action, Class, Counter, Effect, Event, Group, Limits, Micros, Outcome, Plan, Request, Settings,
};
use violetyoke_decision::Gateway;

/// How many calls a second a key may make, and how many at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    pub rate: f64,
    pub burst: f64,
}

/// All calls that bring no good key share one account: guessing costs the store a look each.
pub const STRANGERS: u64 = 0;

struct Ask {
    account: u64,
    answer: oneshot::Sender<Result<(), Micros>>,
}

/// The way to the task that owns the module.
#[derive(Clone)]
pub struct Limiter {
    asks: mpsc::UnboundedSender<Ask>,
}

impl Limiter {
    /// Starts its task on the runtime that this is called on.
    pub fn start(rates: Rates) -> Limiter {
        let (asks, inbox) = mpsc::unbounded_channel();
        tokio::spawn(run(rates, inbox));
        Limiter { asks }
    }

    /// Whether one more call of an account is within its quota; else after how many microseconds it would be.
    pub async fn ask(&self, account: u64) -> Result<(), Micros> {
        let (answer, answered) = oneshot::channel();
        let _ = self.asks.send(Ask { account, answer });
        // Without its task nothing is counted, and nothing may be done.
        answered.await.unwrap_or(Err(0))
    }
}

fn settings(rates: Rates) -> Settings {
    let class = Class {
        aim: 500_000,
        aim_stretch: 0.0,
        deadline: 1_000_000,
        effect: Effect::Safe,
        group: Group::All,
        repeat_window: 0,
        late_value: 0.0,
        value: 1.0,
        streamed: false,
        asks_only: true,
    };
    Settings {
        gateways: 1,
        tick: 1_000,
        classes: vec![class],
        plans: vec![Plan { rate: rates.rate, burst: rates.burst, worth: 1.0, ..Plan::default() }],
        counter: Some(Counter { timeout: 50_000, fee: 0.0 }),
        largest_request: 1.0,
        limits: Limits {
            attempts: 1,
            retry_hints: true,
            longest_retry_hint: 60_000_000,
            ..Limits::default()
        },
        ..Settings::default()
    }
}

/// Longest life of a count.
const LIFE: Micros = 60_000_000;

async fn run(rates: Rates, mut inbox: mpsc::UnboundedReceiver<Ask>) {
    let origin = Instant::now();
    // The module's times begin at an arbitrary value, and its windows before it.
    let now = || 3_600_000_000 + origin.elapsed().as_micros() as Micros;
    let at = |time: Micros| origin + std::time::Duration::from_micros(time.saturating_sub(3_600_000_000));
    let mut gateway = Gateway::new(settings(rates), 1);
    let mut waiting: HashMap<u32, oneshot::Sender<Result<(), Micros>>> = HashMap::new();
    let mut timers: BinaryHeap<Reverse<(Micros, u64)>> = BinaryHeap::new();
    let mut counts: HashMap<u64, (f64, Micros)> = HashMap::new();
    let mut next: u32 = 1;
    loop {
        let due = timers.peek().map(|Reverse((time, _))| *time);
        let mut events = Vec::new();
        tokio::select! {
            ask = inbox.recv() => {
                let Some(Ask { account, answer }) = ask else { return };
                waiting.insert(next, answer);
                events.push(Event::Request(Request {
                    id: next, class: 0, plan: 0, customer: account, units: 1.0, spread: 1.0, first_gateway: 0.0,
                    budget: 1_000_000, repeat: false, write: false,
                }));
                next = next.wrapping_add(1);
            }
            () = sleep_until(at(due.unwrap_or(0)).into()), if due.is_some() => {
                if let Some(Reverse((_, token))) = timers.pop() {
                    events.push(Event::Timer { token });
                }
            }
        }
        let mut actions = Vec::new();
        while let Some(event) = events.pop() {
            gateway.handle(now(), event, &mut actions);
            for action in actions.drain(..) {
                match action {
                    Action::Count { count, amount, life } => {
                        let (now, life) = (now(), life.min(LIFE));
                        counts.retain(|_, (_, end)| *end > now);
                        let total = counts.entry(count).or_insert((0.0, now + life));
                        total.0 += amount;
                        let total = total.0;
                        events.push(Event::Counted { count, outcome: Outcome::Ok, total, waited: 0 });
                    }
                    Action::Timer { at, token } => timers.push(Reverse((at, token))),
                    Action::Admit { request } => {
                        if let Some(answer) = waiting.remove(&request) {
                            let _ = answer.send(Ok(()));
                        }
                        // It stands: nothing takes a call back.
                        events.push(Event::Abandoned { request });
                    }
                    Action::Refuse { request, retry_after, .. } => {
                        if let Some(answer) = waiting.remove(&request) {
                            let _ = answer.send(Err(retry_after));
                        }
                    }
                    Action::Fail { request, .. } => drop(waiting.remove(&request)),
                    _ => {}
                }
            }
        }
    }
}
