//! A request's attempts: one backend after another, as the verdicts, the budget and the time allow.

use crate::backend::{attempt, Answer, Flow, Try};
use crate::body::Body;
use crate::figures::add;
use crate::state::Proxy;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use violetyoke_api::execution::{Execution, FailureReason};
use violetyoke_balancing::backend::Observation;
use violetyoke_balancing::retry::{Bounds, COME_BACK, LEAST};
use violetyoke_balancing::{Choice, Millis, Wanted};

/// A request with all that its attempts need.
pub struct Job {
    pub service: String,
    pub homes: [Vec<String>; 2],
    pub bounds: Bounds,
    pub priority: i64,
    pub head_only: bool,
    pub attempt: String,
    /// The head up to the headers that each attempt sets.
    pub head: Bytes,
    pub body: Rc<Body>,
    pub arrived: Instant,
    /// When the client, or the operator, waits no longer.
    pub until: Instant,
}

/// What became of it.
pub enum Outcome {
    Answer(Answer),
    /// The beginning of an answer that is too large to be held, its rest, and the place at the backend that it takes.
    Flowing(Answer, Box<Flow>, Open),
    /// Given up on; whether there is a time to come back at (ms).
    Ended {
        verdict: Execution,
        ending: FailureReason,
        retry_ms: Option<Millis>,
    },
}

/// What the way back takes of the time that is left.
const WAY: Duration = Duration::from_millis(5);
pub async fn run(proxy: &Rc<Proxy>, job: &Job) -> Outcome {
    let mut verdict = Execution::NotExecuted;
    let mut tried: Vec<String> = Vec::new();
    proxy.budget(&job.service, |budget| budget.request(proxy.now()));
    let ended = |verdict, ending, retry_ms| Outcome::Ended { verdict, ending, retry_ms };
    loop {
        if left(job) < Duration::from_millis(LEAST) {
            return ended(verdict, FailureReason::DeadlineExceeded, None);
        }
        let Some(id) = choose(proxy, job, &tried).await else {
            return ended(verdict, FailureReason::Overloaded, Some(COME_BACK));
        };
        if !tried.is_empty() {
            if !proxy.budget(&job.service, |budget| budget.further(proxy.now(), proxy.ingresses())) {
                add(&proxy.figures.no_budget);
                return ended(verdict, FailureReason::Overloaded, None);
            }
            add(&proxy.figures.further);
        }
        let Some(one) = prepare(proxy, job, &id) else { continue };
        tried.push(id.clone());
        let mut guard =
            Open { proxy: proxy.clone(), id, service: job.service.clone(), observed: Observation::Nothing };
        proxy.fleet.borrow_mut().sent(proxy.now(), &guard.id);
        let end = attempt(proxy, &one, &|| elsewhere(proxy, job, &tried)).await;
        guard.observed = end.observed;
        verdict = verdict.combine(end.verdict);
        let again =
            verdict.may_retry(job.bounds.repeatable) && job.bounds.another(tried.len()) && !job.body.spent();
        if end.flow.is_none() {
            drop(guard);
        } else if let (Some(answer), Some(flow)) = (end.answer, end.flow) {
            return Outcome::Flowing(answer, flow, guard);
        } else {
            return ended(verdict, FailureReason::Overloaded, None);
        }
        match end.answer {
            // A backend's own failure of a request that may run again is worth another backend.
            Some(answer)
                if answer.status >= 500
                    && again
                    && left(job) > Duration::from_millis(LEAST * 2)
                    && elsewhere(proxy, job, &tried) => {}
            Some(answer) => return Outcome::Answer(answer),
            None if !again => {
                let ending = if left(job) < Duration::from_millis(LEAST) {
                    FailureReason::DeadlineExceeded
                } else {
                    FailureReason::Overloaded
                };
                return ended(verdict, ending, (verdict == Execution::NotExecuted).then_some(COME_BACK));
            }
            None => {}
        }
    }
}

/// What is left of the time that the client waits.
fn left(job: &Job) -> Duration {
    job.until.saturating_duration_since(Instant::now())
}

/// A backend with room; waits for one as long as that is worth it.
async fn choose(proxy: &Rc<Proxy>, job: &Job, tried: &[String]) -> Option<String> {
    let wanted = Wanted { service: &job.service, tried, homes: [&job.homes[0], &job.homes[1]] };
    let look = || proxy.fleet.borrow().choose(proxy.now(), wanted);
    // Those who wait already go first.
    let first = if proxy.waiting.borrow().anybody(&job.service) { Choice::Full } else { look() };
    match first {
        Choice::Backend(id) => return Some(id),
        Choice::Nobody => return None,
        Choice::Full => {}
    }
    let until = (job.arrived + Duration::from_millis(job.bounds.queues())).min(job.until);
    let waits = until.saturating_duration_since(Instant::now()).as_millis() as Millis;
    let mut place = proxy.waiting.borrow_mut().wait(&job.service, job.priority, proxy.now() + waits)?;
    let mut found = None;
    loop {
        match look() {
            Choice::Backend(id) => found = Some(id),
            Choice::Nobody => {}
            Choice::Full => {
                // Told loads fade, and cold backends' parts come back, without a word: look now and then.
                let again = until.min(Instant::now() + Duration::from_millis(20));
                let woken = timeout_at(again, &mut place.woken).await;
                if Instant::now() < until {
                    if woken.is_ok() {
                        proxy.waiting.borrow_mut().again(&mut place);
                    }
                    continue;
                }
            }
        }
        break;
    }
    proxy.waiting.borrow_mut().leave(&job.service, job.priority, &place);
    found
}

fn prepare(proxy: &Rc<Proxy>, job: &Job, id: &str) -> Option<Try> {
    let fleet = proxy.fleet.borrow();
    let backend = fleet.get(id)?;
    let now = Instant::now();
    let patience = job.bounds.patience(left(job).as_millis() as Millis, backend.pace);
    let deadline_ms = left(job).saturating_sub(WAY).as_millis();
    let held = if job.body.flows() { crate::body::HELD } else { job.body.length().unwrap_or(0) as usize };
    let mut bytes = BytesMut::with_capacity(job.head.len() + held + 96);
    bytes.extend_from_slice(&job.head);
    let set = format!("x-deadline-ms: {deadline_ms}\r\nx-target-instance: {id}\r\n\r\n");
    bytes.extend_from_slice(set.as_bytes());
    job.body.beginning(&mut bytes);
    Some(Try {
        id: id.to_owned(),
        service: job.service.clone(),
        address: backend.address,
        same_region: backend.region == fleet.place.region,
        attempt: job.attempt.clone(),
        bytes: bytes.freeze(),
        body: job.body.clone(),
        head_only: job.head_only,
        repeatable: job.bounds.repeatable && !job.body.flows(),
        patience: patience.map(|ms| now + Duration::from_millis(ms)),
        until: job.until,
    })
}

/// Another attempt may and can be made: none is broken off for one that could not be. Not by an ingress that leaves: what
/// backends are at work at then is waited for.
fn elsewhere(proxy: &Rc<Proxy>, job: &Job, tried: &[String]) -> bool {
    let wanted = Wanted { service: &job.service, tried, homes: [&job.homes[0], &job.homes[1]] };
    !proxy.leaving.get()
        && !job.body.spent()
        && job.bounds.another(tried.len())
        && proxy.budget(&job.service, |budget| budget.room(proxy.now(), proxy.ingresses()))
        && matches!(proxy.fleet.borrow().choose(proxy.now(), wanted), Choice::Backend(_))
}

/// An attempt that is out: its end is noted however it comes.
pub struct Open {
    proxy: Rc<Proxy>,
    id: String,
    service: String,
    observed: Observation,
}

impl Drop for Open {
    fn drop(&mut self) {
        let now = self.proxy.now();
        self.proxy.fleet.borrow_mut().ended(now, &self.id, self.observed);
        self.proxy.waiting.borrow_mut().room(&self.service, now);
    }
}
