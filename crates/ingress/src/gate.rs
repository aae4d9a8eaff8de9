//! What a pool finds out before its module hears of a request or a question: whether the try has been counted
//! already, and what an outside rate limit server says. A pool that needs neither has no gate, and the platform's
//! never has one.

use crate::consult::{Asked, Consulting};
use crate::request::claim_of;
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
pub struct About {
    pub source: Source,
    pub customer: u64,
    pub units: f64,
    /// The try's name.
    pub named: Option<String>,
    /// As the client says them.
    pub account: String,
    pub plan: String,
    pub class: Option<String>,
    pub arrived: Micros,
    pub budget: Micros,
}

pub enum Gated {
    Pass(Pass),
    /// Over a quota, here or elsewhere. 0: no time is known.
    Refused {
        retry_after: Micros,
    },
    /// Nobody knows, and that means to refuse.
    Silent {
        retry_after: Micros,
    },
}

/// It may go on to the pool's module.
pub struct Pass {
    /// Its try has been counted, here or through another ingress.
    pub counted: bool,
    /// The number of its try's claim, if it is for this one to tell the outcome.
    pub claim: Option<u64>,
    asked: Option<Asked>,
}

impl Pass {
    /// It was let in, or certainly not. Dropped without that word, it may have been.
    pub fn ended(&mut self, let_in: bool) {
        if let Some(asked) = self.asked.take() {
            asked.ended(let_in);
        }
    }
}

pub type Asking = Pin<Box<dyn Future<Output = Gated>>>;

pub trait Gate {
    /// Whether there is anything to find out.
    fn wants(&self, named: bool, plan: &str) -> bool;

    fn ask(&self, about: About) -> Asking;
}

/// A hosted pool's gate.
pub struct Checks {
    messages: Messages,
    consulting: RefCell<Option<Rc<Consulting>>>,
}

impl Checks {
    pub fn new(messages: Messages) -> Checks {
        Checks { messages, consulting: RefCell::default() }
    }

    /// Whom to ask from now on; what is out is ended by who began it.
    pub fn consult(&self, consulting: Option<Rc<Consulting>>) {
        *self.consulting.borrow_mut() = consulting;
    }

    pub fn consulting(&self) -> Option<Rc<Consulting>> {
        self.consulting.borrow().clone()
    }
}

impl Gate for Checks {
    fn wants(&self, named: bool, plan: &str) -> bool {
        named || self.consulting.borrow().as_ref().is_some_and(|consulting| consulting.asks_about(plan))
    }

    fn ask(&self, about: About) -> Asking {
        let consulting = self.consulting().filter(|consulting| consulting.asks_about(&about.plan));
        Box::pin(ask(self.messages.clone(), consulting, about))
    }
}

async fn ask(messages: Messages, consulting: Option<Rc<Consulting>>, about: About) -> Gated {
    let mut pass = Pass { counted: false, claim: None, asked: None };
    if let Some(name) = &about.named {
        let number = claim_of(about.customer, about.units, name);
        match claim(&messages, about.source, number).await {
            ClaimState::Fresh => pass.claim = Some(number),
            ClaimState::Counted => {
                pass.counted = true;
                return Gated::Pass(pass);
            }
            ClaimState::Rejected => return Gated::Refused { retry_after: 0 },
        }
    }
    let Some(consulting) = consulting else { return Gated::Pass(pass) };
    let (decision, asked) = consulting.ask(&about).await;
    match decision {
        Decision::Proceed => {
            pass.asked = asked;
            Gated::Pass(pass)
        }
        Decision::OverLimit { retry_after } => {
            if let Some(claim) = pass.claim {
                // Whoever asks about this try again is told the same.
                let _ = messages.send(Message::Claim { claim, amount: claim::outcome(false), reply: None });
            }
            Gated::Refused { retry_after }
        }
        // No word on the try: it is fresh to whoever asks next.
        Decision::Reject { retry_after } => Gated::Silent { retry_after },
    }
}

/// Claims a try. Not known in time, it is fresh: counted again rather than not at all.
async fn claim(messages: &Messages, source: Source, claim: u64) -> ClaimState {
    let (reply, answered) = oneshot::channel();
    let _ = messages.send(Message::Claim { claim, amount: claim::increment(source), reply: Some(reply) });
    claim::decode(source, answered.await.unwrap_or(None))
}
