//! Checks that run before a request or a rate limit query reaches the pool's decision module: whether the
//! client's named attempt has been counted already, and what an external rate limit server decides. A pool that
//! needs neither has no precheck, and neither has the pool of the platform's program.

use crate::external_limiter::{ExternalLimiterClient, ExternalQuery};
use crate::request::claim_id;
use crate::{Message, Messages};
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::oneshot;
use violetyoke_decision::interface::Micros;
use violetyoke_ratelimit::claim::{self, ClaimState, Source};
use violetyoke_ratelimit::external_limiter::Decision;

/// The properties of a request or rate limit query that the checks depend on.
pub struct PrecheckRequest {
    pub source: Source,
    pub customer: u64,
    pub units: f64,
    /// The name that the client gave the attempt, which makes counting it idempotent.
    pub attempt_name: Option<String>,
    /// The account's name as the client sent it.
    pub account: String,
    /// Names of the plan and the class.
    pub plan: String,
    pub class: Option<String>,
    pub arrived_at: Micros,
    /// Time after `arrived_at` within which the client expects an answer.
    pub timeout: Micros,
}

pub enum PrecheckOutcome {
    Pass(PrecheckPass),
    /// The attempt was rejected before, or the external server reports its limit as exceeded. `retry_after` is
    /// 0 if no time is known.
    OverLimit {
        retry_after: Micros,
    },
    /// The external server gave no decision, and the settings reject requests in that case.
    Unavailable {
        retry_after: Micros,
    },
}

/// The request may go on to the pool's decision module.
pub struct PrecheckPass {
    /// The attempt has been counted already, by this ingress or another one.
    pub already_counted: bool,
    /// The id of the attempt's claim, if this request has to record the outcome.
    pub claim: Option<u64>,
    limiter_query: Option<ExternalQuery>,
}

impl PrecheckPass {
    /// Reports whether the request was admitted. If this is not called, the external limiter assumes that it
    /// may have been.
    pub fn finish(&mut self, admitted: bool) {
        if let Some(limiter_query) = self.limiter_query.take() {
            limiter_query.on_request_end(admitted);
        }
    }
}

pub type PrecheckFuture = Pin<Box<dyn Future<Output = PrecheckOutcome>>>;

pub trait Precheck {
    /// Whether there is anything to check for a request with this plan, with or without a named attempt.
    fn applies_to(&self, has_attempt_name: bool, plan: &str) -> bool;

    fn run(&self, request: PrecheckRequest) -> PrecheckFuture;
}

/// The checks of a pool of the service.
pub struct PoolPrecheck {
    messages: Messages,
    limiter: RefCell<Option<Rc<ExternalLimiterClient>>>,
}

impl PoolPrecheck {
    pub fn new(messages: Messages) -> PoolPrecheck {
        PoolPrecheck { messages, limiter: RefCell::default() }
    }

    /// Replaces the external limiter. Queries that are in flight end with the limiter that they were sent to.
    pub fn set_external_limiter(&self, limiter: Option<Rc<ExternalLimiterClient>>) {
        *self.limiter.borrow_mut() = limiter;
    }

    pub fn external_limiter(&self) -> Option<Rc<ExternalLimiterClient>> {
        self.limiter.borrow().clone()
    }
}

impl Precheck for PoolPrecheck {
    fn applies_to(&self, has_attempt_name: bool, plan: &str) -> bool {
        has_attempt_name
            || self.limiter.borrow().as_ref().is_some_and(|limiter| limiter.applies_to_plan(plan))
    }

    fn run(&self, request: PrecheckRequest) -> PrecheckFuture {
        let limiter = self.external_limiter().filter(|limiter| limiter.applies_to_plan(&request.plan));
        Box::pin(run_checks(self.messages.clone(), limiter, request))
    }
}

async fn run_checks(
    messages: Messages,
    limiter: Option<Rc<ExternalLimiterClient>>,
    request: PrecheckRequest,
) -> PrecheckOutcome {
    let mut pass = PrecheckPass { already_counted: false, claim: None, limiter_query: None };
    if let Some(name) = &request.attempt_name {
        let claim = claim_id(request.customer, request.units, name);
        match claim_attempt(&messages, request.source, claim).await {
            ClaimState::Fresh => pass.claim = Some(claim),
            ClaimState::Counted => {
                pass.already_counted = true;
                return PrecheckOutcome::Pass(pass);
            }
            ClaimState::Rejected => return PrecheckOutcome::OverLimit { retry_after: 0 },
        }
    }
    let Some(limiter) = limiter else { return PrecheckOutcome::Pass(pass) };
    let (decision, limiter_query) = limiter.query(&request).await;
    match decision {
        Decision::Proceed => {
            pass.limiter_query = limiter_query;
            PrecheckOutcome::Pass(pass)
        }
        Decision::OverLimit { retry_after } => {
            if let Some(claim) = pass.claim {
                // A repetition of this attempt gets the same result.
                let _ =
                    messages.send(Message::AddToClaim { claim, amount: claim::outcome(false), reply: None });
            }
            PrecheckOutcome::OverLimit { retry_after }
        }
        // The claim gets no outcome, so that a repetition is treated as a new attempt.
        Decision::Reject { retry_after } => PrecheckOutcome::Unavailable { retry_after },
    }
}

/// Claims an attempt at the shared counter. If the counter does not answer in time, the attempt counts as new:
/// it is better counted twice than not at all.
async fn claim_attempt(messages: &Messages, source: Source, claim: u64) -> ClaimState {
    let (reply, answered) = oneshot::channel();
    let _ =
        messages.send(Message::AddToClaim { claim, amount: claim::increment(source), reply: Some(reply) });
    claim::decode(source, answered.await.unwrap_or(None))
}
