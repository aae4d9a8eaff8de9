//! Operations: requests with an idempotency key, which are executed at most once, no matter how often a client sends them
//! and at which proxies they arrive.
//!
//! Before such a request is sent to a backend, its operation is claimed: a registry forwards the claim to the leading store,
//! which grants it once a majority of the stores has written it to disk. The end of the request is always reported. A repeat
//! then gets the same response, or may be executed if the first request certainly was not. The proxy that executed the
//! request keeps the response; another proxy that receives a repeat reads it through a registry.
//!
//! - `claim`: the claim of one request, which reports the end of the operation;
//! - `decision`: sends a claim to registries until one of them returns the stores' decision;
//! - `health`: which registries have failed recently, and which one is beside the leading store;
//! - `reports`: reports that no store has confirmed yet;
//! - `responses`: recorded responses to operations that were executed by this proxy;
//! - `response_reads`: reads of responses between proxies.

mod claim;
mod decision;
mod health;
mod reports;
mod response_reads;
mod responses;

use crate::metrics::Metrics;
use crate::registries::{registry_rank, RegistryConnectionId, RegistryConnections};
use crate::replies::PendingReplies;
pub(crate) use claim::{Claim, ClaimTerms};
pub(crate) use decision::ClaimDecision;
use health::RegistryHealthTracker;
use reports::Reports;
use responses::RecordedResponses;
use std::cell::{Cell, RefCell};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::codec::encode;
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{
    ClaimHolder, OperationReply, OperationRequest, ProxyRequest, RecordedResponse, RegistryRequest,
};

/// Claims operations, and reports how they ended.
#[derive(Debug)]
pub(crate) struct OperationClient {
    registries: Rc<RegistryConnections>,
    metrics: Rc<Metrics>,
    /// Distinguishes this process's claims from those of any other.
    incarnation: u64,
    /// The number of the last claim.
    last_claim: Cell<u64>,
    /// The number of claims whose request has not ended.
    open_claims: Cell<usize>,
    state: RefCell<State>,
    responses: RefCell<RecordedResponses>,
}

#[derive(Debug, Default)]
struct State {
    pending: PendingReplies<OperationReply>,
    response_reads: PendingReplies<Option<RecordedResponse>>,
    reports: Reports,
    registries: RegistryHealthTracker,
}

impl OperationClient {
    /// Creates a client that keeps responses for `window`.
    pub(crate) fn new(
        registries: Rc<RegistryConnections>,
        metrics: Rc<Metrics>,
        incarnation: u64,
        window: Duration,
    ) -> Rc<OperationClient> {
        Rc::new(OperationClient {
            registries,
            metrics,
            incarnation,
            last_claim: Cell::new(0),
            open_claims: Cell::new(0),
            state: RefCell::default(),
            responses: RefCell::new(RecordedResponses::new(incarnation, window)),
        })
    }

    /// Handles a reply that arrived on the connection `from`.
    pub(crate) fn on_reply(&self, from: RegistryConnectionId, request_id: u32, reply: OperationReply) {
        let state = &mut *self.state.borrow_mut();
        if reply == OperationReply::Recorded {
            return state.reports.confirm(from, request_id);
        }
        let is_grant = matches!(reply, OperationReply::Granted { .. });
        if !state.pending.complete(from, request_id, reply) && is_grant {
            self.metrics.late_grants.inc();
        }
    }

    /// A connection to a registry is open: tells the registry which incarnation's responses can be read through it.
    pub(crate) fn on_connected(&self, registry: &Sender) {
        registry.send(encode(&RegistryRequest::Proxy(ProxyRequest::HolderIncarnation(self.incarnation))));
    }

    /// A registry has reported the machine of the leading store.
    pub(crate) fn on_leader_hint(&self, leader: Ipv4Addr) {
        self.state.borrow_mut().registries.record_leader(leader);
    }

    /// The connection to a registry is lost: requests that were sent on it get no reply.
    pub(crate) fn on_disconnected(&self, registry: Ipv4Addr) {
        let state = &mut *self.state.borrow_mut();
        state.registries.on_disconnected(registry);
        state.pending.fail_all(registry);
        state.response_reads.fail_all(registry);
        state.reports.on_disconnected(registry);
    }

    /// Resends reports that have not been confirmed in time, and drops responses that are too old.
    pub(crate) fn on_tick(&self) {
        let now = Instant::now();
        let State { reports, registries, .. } = &mut *self.state.borrow_mut();
        reports.send_due(now, |tried| self.connection(registries, tried));
        self.responses.borrow_mut().expire(now);
    }

    /// Whether no claimed request is running and all reports are confirmed.
    pub(crate) fn is_idle(&self) -> bool {
        self.open_claims.get() == 0 && self.state.borrow().reports.is_empty()
    }

    /// Reports the end of an operation. The report is resent until it is confirmed or expires.
    fn report(&self, request: OperationRequest) {
        let State { pending, reports, registries, .. } = &mut *self.state.borrow_mut();
        let request_id = pending.next_request_id();
        let message = encode(&RegistryRequest::Proxy(ProxyRequest::Operation { request_id, request }));
        let now = Instant::now();
        reports.add(now, request_id, message);
        reports.send_due(now, |tried| self.connection(registries, tried));
    }

    /// The connection to the best registry for a request. Compared in this order: the registry that occurs least often in
    /// `tried`, one that has not failed recently, the one beside the leading store, a near one. A rank decides between
    /// equals, so that proxies spread over the registries. `None` while no registry is in contact with a majority.
    fn connection(
        &self,
        health: &RegistryHealthTracker,
        tried: &[Ipv4Addr],
    ) -> Option<(RegistryConnectionId, Sender)> {
        let now = Instant::now();
        let registry = self.registries.registry_in_contact(|ip, is_near| {
            let times_tried = tried.iter().filter(|other| **other == ip).count();
            (times_tried, health.preference(ip, now), !is_near, registry_rank(self.incarnation, ip))
        });
        self.registries.connection(registry?)
    }

    fn next_holder(&self) -> ClaimHolder {
        self.last_claim.set(self.last_claim.get() + 1);
        ClaimHolder { incarnation: self.incarnation, request: self.last_claim.get() }
    }
}
