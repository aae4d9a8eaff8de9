//! What is not known here may be known by now: an ingress asks before it denies. One question for all who wait, and
//! none for a while after an answer, so that invented keys don't reach the core.

use crate::state::Proxy;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Duration, Instant};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Revision};

/// An answer is waited for so long.
const PATIENCE: Duration = Duration::from_millis(250);
/// After an answer that there is nothing newer, what is not known is denied without a question for so long.
const RESTS: Duration = Duration::from_millis(300);

/// What has become of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// A newer state is in force here by now.
    Newer,
    /// The registries that were asked know of nothing newer, or it is too soon to ask again.
    Nothing,
    /// Nobody whose word counts has answered in time.
    Unknown,
}

/// A question that is out.
#[derive(Debug, Default)]
struct Question {
    number: u32,
    have: Revision,
    /// Registries that have not answered yet.
    due: BTreeSet<Ipv4Addr>,
    /// One that is in contact with the core knew of nothing newer.
    certain: bool,
}

#[derive(Debug, Default)]
pub struct Learning {
    question: RefCell<Question>,
    asked: Cell<Option<Instant>>,
    answered: Cell<Option<Instant>>,
    ended: Notify,
}

impl Learning {
    /// A registry knows of nothing newer than `revision`; `in_contact`: it is not cut off from the core. The last of those
    /// that were asked ends the question. An answer to an earlier question, or from one that is behind what is in force
    /// here, proves nothing.
    pub fn newest(&self, registry: Ipv4Addr, in_contact: bool, number: u32, revision: Revision) {
        let question = &mut *self.question.borrow_mut();
        if question.number != number || !question.due.remove(&registry) {
            return;
        }
        question.certain |= in_contact && revision >= question.have;
        if question.due.is_empty() && question.certain {
            self.answered.set(Some(Instant::now()));
            self.end();
        }
    }

    /// A newer state is in force. What it lacks may be in the next one: that may be asked for at once.
    pub fn installed_newer(&self) {
        self.answered.set(None);
        self.end();
    }

    fn end(&self) {
        self.asked.set(None);
        self.ended.notify_waiters();
    }

    fn rests(&self, now: Instant) -> bool {
        self.answered.get().is_some_and(|at| now < at + RESTS)
    }

    /// Begins a question to those registries; its number.
    fn ask(&self, now: Instant, have: Revision, due: BTreeSet<Ipv4Addr>) -> u32 {
        let question = &mut *self.question.borrow_mut();
        let number = question.number.wrapping_add(1);
        *question = Question { number, have, due, certain: false };
        self.asked.set(Some(now));
        number
    }
}

impl Proxy {
    /// Asks whether there is anything newer than what is in force here.
    pub async fn learn(self: &Rc<Self>) -> Learned {
        let before = self.revision();
        let now = Instant::now();
        if self.learning.rests(now) {
            return Learned::Nothing;
        }
        let ended = self.learning.ended.notified();
        if self.learning.asked.get().is_none_or(|at| now > at + PATIENCE) {
            self.ask_for_newer(now, before);
        }
        if self.learning.question.borrow().due.is_empty() {
            return Learned::Unknown;
        }
        let _ = timeout_at(now + PATIENCE, ended).await;
        if self.revision() > before {
            return Learned::Newer;
        }
        // All have to answer to end a question; where some are silent, one that would know is enough in the end.
        let certain = self.learning.question.borrow().certain;
        if certain || self.learning.rests(Instant::now()) {
            Learned::Nothing
        } else {
            Learned::Unknown
        }
    }

    /// Asks all registries: the one that is asked first may be the one that is cut off.
    fn ask_for_newer(&self, now: Instant, have: Revision) {
        let registries = self.registries.borrow();
        let connected =
            registries.iter().filter_map(|(ip, it)| it.sender.as_ref().map(|sender| (*ip, sender)));
        let question = self.learning.ask(now, have, connected.clone().map(|(ip, _)| ip).collect());
        let frame = encode(&RegistryRequest::Proxy(ProxyRequest::CheckFreshness {
            request_id: question,
            known: have,
        }));
        for (_, sender) in connected {
            sender.send(frame.clone());
        }
    }
}
