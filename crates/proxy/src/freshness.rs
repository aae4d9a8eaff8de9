//! Whether the configuration in force is the newest: asked before a request is denied for a route or a credential that
//! is not known here, as it may have been acknowledged to an operator a moment ago.
//!
//! All requests share one query at a time, and none is sent for a while after a conclusive one: clients that invent
//! credentials cause no load on the registries.

use crate::configuration::ConfigurationStore;
use crate::registries::RegistryConnections;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Duration, Instant};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Revision};

/// How long replies are waited for.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the result that nothing newer exists stays valid.
const NEGATIVE_CACHE_TTL: Duration = Duration::from_millis(300);

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// A newer configuration has been installed meanwhile.
    Updated,
    /// The registries know of nothing newer, or said so a moment ago.
    UpToDate,
    /// No registry whose reply is conclusive has replied in time.
    Unknown,
}

/// Checks whether the configuration in force is the newest.
#[derive(Debug)]
pub(crate) struct FreshnessCheck {
    registries: Rc<RegistryConnections>,
    configuration: Rc<ConfigurationStore>,
    query: RefCell<Query>,
    /// When the running query was sent; `None` while none is running.
    sent_at: Cell<Option<Instant>>,
    /// When a query found that nothing newer exists; `None` since a newer configuration has come.
    confirmed_at: Cell<Option<Instant>>,
    finished: Notify,
}

/// The newest query.
#[derive(Debug, Default)]
struct Query {
    request_id: u32,
    /// The revision that was in force when it was sent.
    known: Revision,
    /// Registries that have not replied yet.
    awaiting: BTreeSet<Ipv4Addr>,
    /// Whether a registry whose reply is conclusive knew of nothing newer.
    is_conclusive: bool,
}

/// A registry's reply to a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreshnessReply {
    pub(crate) registry: Ipv4Addr,
    pub(crate) request_id: u32,
    /// The newest revision that the registry knows.
    pub(crate) newest: Revision,
}

impl FreshnessCheck {
    pub(crate) fn new(
        registries: Rc<RegistryConnections>,
        configuration: Rc<ConfigurationStore>,
    ) -> FreshnessCheck {
        FreshnessCheck {
            registries,
            configuration,
            query: RefCell::default(),
            sent_at: Cell::new(None),
            confirmed_at: Cell::new(None),
            finished: Notify::new(),
        }
    }

    /// Finds out whether anything newer than the configuration in force exists, for at most [`QUERY_TIMEOUT`].
    pub(crate) async fn check(&self) -> Freshness {
        let known = self.configuration.revision();
        let now = Instant::now();
        if self.was_confirmed(now) {
            return Freshness::UpToDate;
        }
        // Before the query is sent, so that its end is not missed.
        let finished = self.finished.notified();
        if !self.is_query_running(now) {
            self.send_query(now, known);
        }
        if self.query.borrow().awaiting.is_empty() {
            return Freshness::Unknown;
        }
        // A time-out is no error: the replies so far may be conclusive.
        drop(timeout_at(now + QUERY_TIMEOUT, finished).await);
        self.result(known)
    }

    /// Takes a reply. The last one outstanding finishes the query. A reply to an earlier query proves nothing; nor does
    /// one of a registry that is behind the configuration in force, or out of contact with the other registries.
    pub(crate) fn on_reply(&self, reply: FreshnessReply) {
        let query = &mut *self.query.borrow_mut();
        if query.request_id != reply.request_id || !query.awaiting.remove(&reply.registry) {
            return;
        }
        query.is_conclusive |= self.registries.is_in_contact(reply.registry) && reply.newest >= query.known;
        if query.awaiting.is_empty() && query.is_conclusive {
            self.confirmed_at.set(Some(Instant::now()));
            self.finish();
        }
    }

    /// A newer configuration is in force. What it lacks may be in the next one, so that may be asked for at once.
    pub(crate) fn on_updated(&self) {
        self.confirmed_at.set(None);
        self.finish();
    }

    fn finish(&self) {
        self.sent_at.set(None);
        self.finished.notify_waiters();
    }

    fn was_confirmed(&self, now: Instant) -> bool {
        self.confirmed_at.get().is_some_and(|at| now < at + NEGATIVE_CACHE_TTL)
    }

    fn is_query_running(&self, now: Instant) -> bool {
        self.sent_at.get().is_some_and(|at| now <= at + QUERY_TIMEOUT)
    }

    /// Asks all registries: the one that would be asked first may be the one that is partitioned.
    fn send_query(&self, now: Instant, known: Revision) {
        let query = &mut *self.query.borrow_mut();
        let request_id = query.request_id.wrapping_add(1);
        let message = encode(&RegistryRequest::Proxy(ProxyRequest::CheckFreshness { request_id, known }));
        let awaiting = self.registries.broadcast(&message);
        *query = Query { request_id, known, awaiting, is_conclusive: false };
        self.sent_at.set(Some(now));
    }

    fn result(&self, known: Revision) -> Freshness {
        if self.configuration.revision() > known {
            return Freshness::Updated;
        }
        // A query finishes early when all registries have replied; where some are silent, one conclusive reply is enough.
        if self.query.borrow().is_conclusive || self.was_confirmed(Instant::now()) {
            Freshness::UpToDate
        } else {
            Freshness::Unknown
        }
    }
}
