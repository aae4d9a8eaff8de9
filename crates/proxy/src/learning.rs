//! What is not known here may be known by now: an ingress asks before it denies. One question for all who wait, and
//! none for a while after an answer, so that invented keys don't reach the core.

use crate::state::Proxy;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Duration, Instant};
use violetyoke_transport::frame::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest};

/// An answer is waited for so long.
const PATIENCE: Duration = Duration::from_millis(250);
/// What was not known then is denied without a question for so long.
const RESTS: Duration = Duration::from_millis(300);

#[derive(Default)]
pub struct Learning {
    asked: Cell<Option<Instant>>,
    answered: Cell<Option<Instant>>,
    /// Registries that have not answered yet.
    out: Cell<usize>,
    told: Notify,
}

impl Learning {
    /// A registry knows of nothing newer; the last of those that were asked ends the question.
    pub fn nothing(&self) {
        self.out.set(self.out.get().saturating_sub(1));
        if self.out.get() == 0 {
            self.answered();
        }
    }

    /// A newer state has come, or nobody knows of one.
    pub fn answered(&self) {
        self.asked.set(None);
        self.answered.set(Some(Instant::now()));
        self.told.notify_waiters();
    }
}

impl Proxy {
    /// Asks whether there is anything newer than what is in force here; whether there was.
    pub async fn learn(self: &Rc<Self>) -> bool {
        let before = self.stamp();
        let now = Instant::now();
        if self.learning.answered.get().is_some_and(|at| now < at + RESTS) {
            return false;
        }
        let told = self.learning.told.notified();
        if self.learning.asked.get().is_none_or(|at| now > at + PATIENCE) {
            // All of them: the one that is asked first may be the one that is cut off.
            let frame = encode(&RegistryRequest::Proxy(ProxyRequest::Newer { have: before }));
            let registries = self.registries.borrow();
            let up = registries.values().filter_map(|registry| registry.sender.as_ref());
            self.learning.out.set(up.map(|sender| sender.send(frame.clone())).count());
            self.learning.asked.set(Some(now));
        }
        // Nobody answers in time: it stays unknown.
        let _ = timeout_at(now + PATIENCE, told).await;
        self.stamp() > before
    }
}
