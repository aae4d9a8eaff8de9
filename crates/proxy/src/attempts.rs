//! A request's attempts: one backend after another, as the verdicts, the budget and the time allow.

use crate::backend::{attempt, Answer, Flow, Try};
use crate::body::Body;
use crate::state::Proxy;
use bytes::{Bytes, BytesMut};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use violetyoke_api::execution::{Execution, FailureReason};
use violetyoke_balancing::retry_policy::{RetryPolicy, MIN_ATTEMPT_MS, RETRY_AFTER_MS};
use violetyoke_balancing::{Millis, Observation, Selection, SelectionCriteria};

/// A request with all that its attempts need.
pub struct Job {
    pub service: String,
    pub homes: [Vec<String>; 2],
    pub bounds: RetryPolicy,
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
    proxy.retry_budgets.record_request(&job.service);
    let ended = |verdict, ending, retry_ms| Outcome::Ended { verdict, ending, retry_ms };
    loop {
        if left(job) < Duration::from_millis(MIN_ATTEMPT_MS) {
            return ended(verdict, FailureReason::DeadlineExceeded, None);
        }
        let Some(id) = choose(proxy, job, &tried).await else {
            return ended(verdict, FailureReason::Overloaded, Some(RETRY_AFTER_MS));
        };
        if !tried.is_empty() {
            if !proxy.retry_budgets.try_acquire(&job.service) {
                proxy.metrics.retry_budget_exhausted.increment();
                return ended(verdict, FailureReason::Overloaded, None);
            }
            proxy.metrics.retries.increment();
        }
        let Some(one) = prepare(proxy, job, &id) else { continue };
        tried.push(id.clone());
        let mut guard = Open {
            proxy: proxy.clone(),
            id,
            service: job.service.clone(),
            observed: Observation::Inconclusive,
        };
        proxy.backends.record_attempt_started(&guard.id);
        let end = attempt(proxy, &one, &|| elsewhere(proxy, job, &tried)).await;
        guard.observed = end.observed;
        verdict = verdict.combine(end.verdict);
        let again = verdict.may_retry(job.bounds.is_idempotent)
            && job.bounds.allows_another_attempt(tried.len())
            && !job.body.spent();
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
                    && left(job) > Duration::from_millis(MIN_ATTEMPT_MS * 2)
                    && elsewhere(proxy, job, &tried) => {}
            Some(answer) => return Outcome::Answer(answer),
            None if !again => {
                let ending = if left(job) < Duration::from_millis(MIN_ATTEMPT_MS) {
                    FailureReason::DeadlineExceeded
                } else {
                    FailureReason::Overloaded
                };
                return ended(verdict, ending, (verdict == Execution::NotExecuted).then_some(RETRY_AFTER_MS));
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
    let wanted = SelectionCriteria {
        service: &job.service,
        attempted: tried,
        home_regions: [&job.homes[0], &job.homes[1]],
    };
    let look = || proxy.backends.select(wanted);
    // Those who wait already go first.
    let first = if proxy.waiting.borrow().anybody(&job.service) { Selection::AtCapacity } else { look() };
    match first {
        Selection::Backend(id) => return Some(id),
        Selection::NoBackend => return None,
        Selection::AtCapacity => {}
    }
    let until = (job.arrived + Duration::from_millis(job.bounds.max_queue_wait_ms())).min(job.until);
    let waits = until.saturating_duration_since(Instant::now()).as_millis() as Millis;
    let mut place = proxy.waiting.borrow_mut().wait(&job.service, job.priority, proxy.now() + waits)?;
    let mut found = None;
    loop {
        match look() {
            Selection::Backend(id) => found = Some(id),
            Selection::NoBackend => {}
            Selection::AtCapacity => {
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
    let target = proxy.backends.target(id)?;
    let now = Instant::now();
    let patience = job.bounds.attempt_timeout_ms(left(job).as_millis() as Millis, target.latency_estimate_ms);
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
        address: target.address,
        same_region: target.is_same_region,
        attempt: job.attempt.clone(),
        bytes: bytes.freeze(),
        body: job.body.clone(),
        head_only: job.head_only,
        repeatable: job.bounds.is_idempotent && !job.body.flows(),
        patience: patience.map(|ms| now + Duration::from_millis(ms)),
        until: job.until,
    })
}

/// Another attempt may and can be made: none is broken off for one that could not be. Not by an ingress that leaves: what
/// backends are at work at then is waited for.
fn elsewhere(proxy: &Rc<Proxy>, job: &Job, tried: &[String]) -> bool {
    let wanted = SelectionCriteria {
        service: &job.service,
        attempted: tried,
        home_regions: [&job.homes[0], &job.homes[1]],
    };
    !proxy.serving.is_draining()
        && !job.body.spent()
        && job.bounds.allows_another_attempt(tried.len())
        && proxy.retry_budgets.has_capacity(&job.service)
        && matches!(proxy.backends.select(wanted), Selection::Backend(_))
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
        self.proxy.backends.record_attempt_finished(&self.id, self.observed);
        self.proxy.waiting.borrow_mut().room(&self.service, self.proxy.now());
    }
}
