//! Checks with the registries whether the configuration in force is the newest. The check is made before a request is
//! denied for an unknown route or credential: the change that adds the route or credential may have been acknowledged to an
//! operator a moment ago.
//!
//! All requests share one query at a time, and a result that nothing newer exists is cached for a short time. Clients that
//! invent credentials therefore cause hardly any load on the registries.

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

/// The maximum time to wait for replies.
const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the result that nothing newer exists is cached.
const NEGATIVE_CACHE_TTL: Duration = Duration::from_millis(300);

/// The result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Freshness {
    /// A newer configuration was installed during the check.
    Updated,
    /// The registries have no newer configuration, or had none a moment ago (cached).
    UpToDate,
    /// No conclusive reply arrived in time.
    Unknown,
}

/// Checks whether the configuration in force is the newest.
#[derive(Debug)]
pub(crate) struct FreshnessCheck {
    registries: Rc<RegistryConnections>,
    configuration: Rc<ConfigurationStore>,
    query: RefCell<Query>,
    /// The time at which the running query was sent; `None` while none is running.
    sent_at: Cell<Option<Instant>>,
    /// The time at which a query last found that nothing newer exists; `None` after a newer configuration was installed.
    confirmed_at: Cell<Option<Instant>>,
    /// Wakes the requests that wait for the running query.
    finished: Notify,
}

/// The newest query.
#[derive(Debug, Default)]
struct Query {
    request_id: u32,
    /// The revision that was in force when the query was sent.
    known: Revision,
    /// The registries that have not replied yet.
    awaiting: BTreeSet<Ipv4Addr>,
    /// Whether a conclusive reply has arrived; see [`FreshnessCheck::on_reply`].
    is_conclusive: bool,
}

/// A registry's reply to a query.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreshnessReply {
    pub(crate) registry: Ipv4Addr,
    pub(crate) request_id: u32,
    /// The newest revision that the registry has.
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

    /// Checks whether a newer configuration than the one in force exists. Takes at most [`QUERY_TIMEOUT`].
    pub(crate) async fn check(&self) -> Freshness {
        let known = self.configuration.revision();
        let now = Instant::now();
        if self.was_confirmed(now) {
            return Freshness::UpToDate;
        }
        // Subscribed to before the query is sent, so that its end is not missed.
        let finished = self.finished.notified();
        if !self.is_query_running(now) {
            self.send_query(now, known);
        }
        if self.query.borrow().awaiting.is_empty() {
            return Freshness::Unknown;
        }
        // A time-out is not an error, as the replies so far may be conclusive.
        drop(timeout_at(now + QUERY_TIMEOUT, finished).await);
        self.result(known)
    }

    /// Handles a reply. A reply is conclusive if the registry is in contact with a majority of the registries and is not
    /// behind the configuration in force. Replies to earlier queries are ignored. When all registries have replied and a
    /// reply was conclusive, the query is finished.
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

    /// A newer configuration is in force. The cached result no longer applies: an even newer configuration may exist, so the
    /// next check sends a query at once.
    pub(crate) fn on_updated(&self) {
        self.confirmed_at.set(None);
        self.finish();
    }

    fn finish(&self) {
        self.sent_at.set(None);
        self.finished.notify_waiters();
    }

    fn was_confirmed(&self, now: Instant) -> bool {
        self.confirmed_at.get().is_some_and(|confirmed_at| now < confirmed_at + NEGATIVE_CACHE_TTL)
    }

    fn is_query_running(&self, now: Instant) -> bool {
        self.sent_at.get().is_some_and(|sent_at| now <= sent_at + QUERY_TIMEOUT)
    }

    /// Sends a query to all registries, because any single one may be partitioned from the others.
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
        // A query finishes early only when all registries have replied. After a time-out, one conclusive reply is enough.
        if self.query.borrow().is_conclusive || self.was_confirmed(Instant::now()) {
            Freshness::UpToDate
        } else {
            Freshness::Unknown
        }
    }
}
