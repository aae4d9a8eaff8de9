//! What a pool finds out before its module hears of a request or a question: whether the try has been counted
//! already, and what an outside rate limit server says. A pool that needs neither has no gate, and the platform's
//! never has one.

use crate::consult::{Asked, Consulting};
use crate::request::claim_id;
use crate::{Message, Messages};
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::oneshot;
use violetyoke_decision::interface::Micros;
use violetyoke_ratelimit::claim::{self, ClaimState, Source};
use violetyoke_ratelimit::consult::Decision;

/// A request or a question, as far as it matters here.
pub struct PrecheckRequest {
    pub source: Source,
    pub customer: u64,
    pub units: f64,
    /// The try's name.
    pub attempt_name: Option<String>,
    /// As the client says them.
    pub account: String,
    pub plan: String,
    pub class: Option<String>,
    pub arrived_at: Micros,
    pub budget: Micros,
}

pub enum PrecheckOutcome {
    Pass(PrecheckPass),
    /// Over a quota, here or elsewhere. 0: no time is known.
    OverLimit {
        retry_after: Micros,
    },
    /// Nobody knows, and that means to refuse.
    Unavailable {
        retry_after: Micros,
    },
}

/// It may go on to the pool's module.
pub struct PrecheckPass {
    /// Its try has been counted, here or through another ingress.
    pub already_counted: bool,
    /// The number of its try's claim, if it is for this one to tell the outcome.
    pub claim: Option<u64>,
    asked: Option<Asked>,
}

impl PrecheckPass {
    /// It was let in, or certainly not. Dropped without that word, it may have been.
    pub fn finish(&mut self, let_in: bool) {
        if let Some(asked) = self.asked.take() {
            asked.ended(let_in);
        }
    }
}

pub type PrecheckFuture = Pin<Box<dyn Future<Output = PrecheckOutcome>>>;

pub trait Precheck {
    /// Whether there is anything to find out.
    fn applies_to(&self, attempt_name: bool, plan: &str) -> bool;

    fn run(&self, about: PrecheckRequest) -> PrecheckFuture;
}

/// A hosted pool's gate.
pub struct PoolPrecheck {
    messages: Messages,
    consulting: RefCell<Option<Rc<Consulting>>>,
}

impl PoolPrecheck {
    pub fn new(messages: Messages) -> PoolPrecheck {
        PoolPrecheck { messages, consulting: RefCell::default() }
    }

    /// Whom to ask from now on; what is out is ended by who began it.
    pub fn set_external_limiter(&self, consulting: Option<Rc<Consulting>>) {
        *self.consulting.borrow_mut() = consulting;
    }

    pub fn external_limiter(&self) -> Option<Rc<Consulting>> {
        self.consulting.borrow().clone()
    }
}

impl Precheck for PoolPrecheck {
    fn applies_to(&self, attempt_name: bool, plan: &str) -> bool {
        attempt_name
            || self.consulting.borrow().as_ref().is_some_and(|consulting| consulting.asks_about(plan))
    }

    fn run(&self, about: PrecheckRequest) -> PrecheckFuture {
        let consulting = self.external_limiter().filter(|consulting| consulting.asks_about(&about.plan));
        Box::pin(ask(self.messages.clone(), consulting, about))
    }
}

async fn ask(
    messages: Messages,
    consulting: Option<Rc<Consulting>>,
    about: PrecheckRequest,
) -> PrecheckOutcome {
    let mut pass = PrecheckPass { already_counted: false, claim: None, asked: None };
    if let Some(name) = &about.attempt_name {
        let number = claim_id(about.customer, about.units, name);
        match claim(&messages, about.source, number).await {
            ClaimState::Fresh => pass.claim = Some(number),
            ClaimState::Counted => {
                pass.already_counted = true;
                return PrecheckOutcome::Pass(pass);
            }
            ClaimState::Rejected => return PrecheckOutcome::OverLimit { retry_after: 0 },
        }
    }
    let Some(consulting) = consulting else { return PrecheckOutcome::Pass(pass) };
    let (decision, asked) = consulting.ask(&about).await;
    match decision {
        Decision::Proceed => {
            pass.asked = asked;
            PrecheckOutcome::Pass(pass)
        }
        Decision::OverLimit { retry_after } => {
            if let Some(claim) = pass.claim {
                // Whoever asks about this try again is told the same.
                let _ =
                    messages.send(Message::AddToClaim { claim, amount: claim::outcome(false), reply: None });
            }
            PrecheckOutcome::OverLimit { retry_after }
        }
        // No word on the try: it is fresh to whoever asks next.
        Decision::Reject { retry_after } => PrecheckOutcome::Unavailable { retry_after },
    }
}

/// Claims a try. Not known in time, it is fresh: counted again rather than not at all.
async fn claim(messages: &Messages, source: Source, claim: u64) -> ClaimState {
    let (reply, answered) = oneshot::channel();
    let _ =
        messages.send(Message::AddToClaim { claim, amount: claim::increment(source), reply: Some(reply) });
    claim::decode(source, answered.await.unwrap_or(None))
}
