//! Enforces the rate limits of tenants. For each request, the client sends an increment to the registry that owns the
//! tenant's counter. While the owner can't be reached, the proxy counts locally against its share of the limit.

use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::registries::{RegistryConnectionId, RegistryConnections};
use crate::replies::{PendingReplies, RoundTripEstimate};
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use violetyoke_api::configuration::Tenant;
use violetyoke_balancing::Millis;
use violetyoke_quota::{Admission, Limit, LocalUsage, ShardAssignment};
use violetyoke_transport::codec::encode;
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, Revision, ShardOwners};

/// The reply of a registry to an increment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OwnerReply {
    /// The registry owns the tenant's counter, and has decided on the request.
    Decided(Admission),
    /// The registry does not own the tenant's counter.
    NotOwner,
}

/// Decides whether requests are within their tenants' limits.
#[derive(Debug)]
pub(crate) struct QuotaClient {
    registries: Rc<RegistryConnections>,
    metrics: Rc<Metrics>,
    clock: Clock,
    state: RefCell<QuotaState>,
}

#[derive(Debug, Default)]
struct QuotaState {
    local_usage: LocalUsage,
    assignment: ShardAssignment,
    /// The version of the assignment. It is sent with each increment, so that an owner can reject increments that were sent
    /// under an older assignment.
    fencing_token: Revision,
    pending: PendingReplies<OwnerReply>,
    /// The connection on which a tenant's local usage was last transferred to the owner, by tenant name.
    transferred_on: HashMap<String, RegistryConnectionId>,
    round_trips: HashMap<Ipv4Addr, RoundTripEstimate>,
}

/// An increment that was sent to a tenant's owner.
struct SentIncrement<'a> {
    owner: Ipv4Addr,
    reply: oneshot::Receiver<OwnerReply>,
    timeout: Duration,
    _registration: Registration<'a>,
}

/// The registration of an outstanding increment in [`QuotaState::pending`]. Dropping it removes the entry, also when the
/// client disconnects and the task of its request is dropped at an await point.
struct Registration<'a> {
    state: &'a RefCell<QuotaState>,
    request_id: u32,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.state.borrow_mut().pending.cancel(self.request_id);
    }
}

impl QuotaClient {
    pub(crate) fn new(
        registries: Rc<RegistryConnections>,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> QuotaClient {
        QuotaClient { registries, metrics, clock, state: RefCell::default() }
    }

    /// Decides on one request of a tenant and counts it if it is admitted.
    pub(crate) async fn admit(&self, tenant: &Tenant) -> Admission {
        let Some(limit) = Limit::new(tenant.rate_per_s, tenant.burst) else { return Admission::Admitted };
        match self.query_owner(&tenant.name, limit).await {
            Some(OwnerReply::Decided(admission)) => {
                if admission.is_admitted() {
                    self.state.borrow_mut().local_usage.record(self.clock.now(), &tenant.name, limit);
                }
                admission
            }
            Some(OwnerReply::NotOwner) | None => self.admit_locally(&tenant.name, limit),
        }
    }

    /// Applies an assignment of tenants to registries, unless it is older than the present one.
    pub(crate) fn assign(&self, owners: &ShardOwners) {
        let state = &mut *self.state.borrow_mut();
        if owners.fencing_token > state.fencing_token {
            state.assignment = ShardAssignment::new(&owners.registries);
            state.fencing_token = owners.fencing_token;
        }
    }

    /// Hands a reply that arrived on the connection `from` to the request that waits for it.
    pub(crate) fn on_reply(&self, from: RegistryConnectionId, request_id: u32, reply: OwnerReply) {
        self.state.borrow_mut().pending.complete(from, request_id, reply);
    }

    /// The connection to a registry is lost: increments that were sent on it get no reply.
    pub(crate) fn on_disconnected(&self, registry: Ipv4Addr) {
        self.state.borrow_mut().pending.fail_all(registry);
    }

    /// Drops the state of tenants that no longer exist.
    pub(crate) fn retain_tenants(&self, tenants: &[Tenant]) {
        let names: HashSet<&str> = tenants.iter().map(|tenant| tenant.name.as_str()).collect();
        let state = &mut *self.state.borrow_mut();
        state.local_usage.retain(|name| names.contains(name));
        state.transferred_on.retain(|name, _| names.contains(name.as_str()));
    }

    /// Sends an increment to the tenant's owner and waits for the reply; `None` if the owner can't be reached or does not
    /// reply in time.
    async fn query_owner(&self, tenant: &str, limit: Limit) -> Option<OwnerReply> {
        let sent_at = self.clock.now();
        let sent = self.send_increment(tenant, limit, sent_at)?;
        let reply = timeout(sent.timeout, sent.reply).await;
        let state = &mut *self.state.borrow_mut();
        let round_trip = state.round_trips.entry(sent.owner).or_default();
        if let Ok(Ok(reply)) = reply {
            round_trip.record_reply(self.clock.now() - sent_at);
            return Some(reply);
        }
        // The owner may have counted an increment whose reply is lost. The request is then counted here a second time, so
        // the tenant may get slightly less than its limit, but never more.
        round_trip.record_loss();
        None
    }

    fn send_increment(&self, tenant: &str, limit: Limit, now: Millis) -> Option<SentIncrement<'_>> {
        let state = &mut *self.state.borrow_mut();
        let owner = state.assignment.owner(tenant)?;
        let (connection, sender) = self.registries.connection(owner)?;
        state.transfer_usage(tenant, limit, now, connection, &sender);
        let (request_id, reply) = state.pending.register(connection);
        let fencing_token = state.fencing_token;
        let increment = ProxyRequest::Increment { request_id, tenant: tenant.to_owned(), fencing_token };
        sender.send(encode(&RegistryRequest::Proxy(increment)));
        let timeout = state.round_trips.get(&owner).copied().unwrap_or_default().timeout();
        let registration = Registration { state: &self.state, request_id };
        Some(SentIncrement { owner, reply, timeout, _registration: registration })
    }

    fn admit_locally(&self, tenant: &str, limit: Limit) -> Admission {
        self.metrics.local_quota_decisions.inc();
        let (now, proxy_count) = (self.clock.now(), self.registries.proxy_count());
        self.state.borrow_mut().local_usage.try_admit_locally(now, tenant, limit, proxy_count)
    }
}

impl QuotaState {
    /// Sends the owner the number of requests of the tenant that were admitted here, once on each connection. After a
    /// reconnect, the owner may be a new process that has lost its counters.
    fn transfer_usage(
        &mut self,
        tenant: &str,
        limit: Limit,
        now: Millis,
        connection: RegistryConnectionId,
        owner: &Sender,
    ) {
        if self.transferred_on.get(tenant) == Some(&connection) {
            return;
        }
        let usage = self.local_usage.usage(now, tenant, limit);
        if !usage.is_empty() {
            let transfer = ProxyRequest::TransferCount {
                tenant: tenant.to_owned(),
                fencing_token: self.fencing_token,
                current: usage.current as u32,
                previous: usage.previous as u32,
            };
            owner.send(encode(&RegistryRequest::Proxy(transfer)));
        }
        self.transferred_on.insert(tenant.to_owned(), connection);
    }
}
