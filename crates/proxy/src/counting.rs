//! Tenants' counts, as this ingress sees them: one add for each request at the holder; what it may pass on its own
//! while the holder can't be reached.

use crate::figures::add;
use crate::state::Proxy;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use violetyoke_api::configuration::Tenant;
use violetyoke_api::routing::RoutingTable;
use violetyoke_balancing::Millis;
use violetyoke_quota::{Admission, Limit, LocalUsage, ShardAssignment, WindowCounts};
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ProxyRequest, RegistryRequest, ShardOwners};

/// The holder is waited for as long as its answers usually take, several times over, within these bounds (ms).
const TIMES: f64 = 3.0;
const LEAST: f64 = 40.0;
const MOST: f64 = 400.0;

/// What a holder answered to an add.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderReply {
    /// Counted, or past the limit, with the time until there may be room (ms).
    Counted(Option<u32>),
    NotMine,
}

/// One life of the connection to one registry: an answer belongs to what was asked on the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connection {
    pub registry: Ipv4Addr,
    pub life: u64,
}

/// An add whose answer is due.
struct PendingAdd {
    asked: Connection,
    answer: oneshot::Sender<HolderReply>,
}

#[derive(Default)]
pub struct Counting {
    passed: LocalUsage,
    dealt: ShardAssignment,
    pub owners: ShardOwners,
    /// On which connection a tenant's use here was last told.
    told: HashMap<String, Connection>,
    pending: HashMap<u32, PendingAdd>,
    next_call: u32,
    /// How long each holder's answers usually take (ms).
    round_trips: HashMap<Ipv4Addr, f64>,
    pub ingresses: usize,
}

impl Counting {
    /// A newer deal of counts.
    pub fn deal(&mut self, owners: ShardOwners) {
        if owners.fencing_token <= self.owners.fencing_token {
            return;
        }
        self.dealt = ShardAssignment::new(&owners.registries);
        self.owners = owners;
    }

    /// An answer has come on `from`; one to a call that was made on another connection is nobody's.
    pub fn answered(&mut self, from: Connection, call: u32, reply: HolderReply) {
        if self.pending.get(&call).is_none_or(|pending| pending.asked != from) {
            return;
        }
        if let Some(pending) = self.pending.remove(&call) {
            // Whoever asked may have given up.
            let _ = pending.answer.send(reply);
        }
    }

    /// The connections to a registry have ended: no answer to what was asked on them will come.
    pub fn disconnected(&mut self, registry: Ipv4Addr) {
        self.pending.retain(|_, pending| pending.asked.registry != registry);
    }

    pub fn retain(&mut self, table: &RoutingTable) {
        self.passed.retain(|name| table.tenants.iter().any(|tenant| tenant.name == name));
        self.told.retain(|name, _| table.tenants.iter().any(|tenant| tenant.name == *name));
    }
}

/// Counts one request of a tenant; past its limit, the error says when there may be room (ms).
pub async fn count(proxy: &Rc<Proxy>, tenant: &Tenant) -> Result<(), Millis> {
    let Some(limit) = Limit::new(tenant.rate_per_s, tenant.burst) else { return Ok(()) };
    match ask(proxy, tenant, limit).await {
        Some(HolderReply::Counted(None)) => {
            proxy.counting.borrow_mut().passed.record(proxy.now(), &tenant.name, limit);
            Ok(())
        }
        Some(HolderReply::Counted(Some(retry_ms))) => Err(Millis::from(retry_ms)),
        Some(HolderReply::NotMine) | None => {
            add(&proxy.figures.unasked);
            let ingresses = proxy.ingresses();
            let passed = &mut proxy.counting.borrow_mut().passed;
            match passed.try_admit_locally(proxy.now(), &tenant.name, limit, ingresses) {
                Admission::Admitted => Ok(()),
                Admission::Denied { retry_after_ms } => Err(retry_after_ms),
            }
        }
    }
}

async fn ask(proxy: &Rc<Proxy>, tenant: &Tenant, limit: Limit) -> Option<HolderReply> {
    let begun = proxy.now();
    let (owner, call, answer, patience) = send_add(proxy, tenant, limit, begun)?;
    let reply = timeout(Duration::from_millis(patience as u64), answer).await;
    let counting = &mut *proxy.counting.borrow_mut();
    let round_trip = counting.round_trips.entry(owner).or_insert(MOST / TIMES);
    match reply {
        Ok(Ok(reply)) => {
            let took = (proxy.now() - begun) as f64;
            *round_trip += 0.1 * (took - *round_trip);
            Some(reply)
        }
        _ => {
            // An add whose answer is lost may have been counted: it stays so, and this one counts here too.
            counting.pending.remove(&call);
            *round_trip = (*round_trip * 1.2).min(MOST / TIMES);
            None
        }
    }
}

/// Sends an add to the tenant's holder: to whom, its number, where its answer comes, and how long that is waited for (ms).
fn send_add(
    proxy: &Proxy,
    tenant: &Tenant,
    limit: Limit,
    now: Millis,
) -> Option<(Ipv4Addr, u32, oneshot::Receiver<HolderReply>, f64)> {
    let counting = &mut *proxy.counting.borrow_mut();
    let owner: Ipv4Addr = counting.dealt.owner(&tenant.name)?;
    let registries = proxy.registries.borrow();
    let registry = registries.get(&owner)?;
    let sender = registry.sender.as_ref()?;
    let connection = Connection { registry: owner, life: registry.lives };
    let fence = counting.owners.fencing_token;
    if counting.told.get(&tenant.name) != Some(&connection) {
        let WindowCounts { current, previous } = counting.passed.usage(now, &tenant.name, limit);
        if current + previous > 0.0 {
            let (current, previous) = (current as u32, previous as u32);
            let tell = ProxyRequest::TransferCount {
                tenant: tenant.name.clone(),
                fencing_token: fence,
                current,
                previous,
            };
            sender.send(encode(&RegistryRequest::Proxy(tell)));
        }
        counting.told.insert(tenant.name.clone(), connection);
    }
    counting.next_call = counting.next_call.wrapping_add(1);
    let call = counting.next_call;
    let (answer, receiver) = oneshot::channel();
    counting.pending.insert(call, PendingAdd { asked: connection, answer });
    let add = ProxyRequest::Increment { request_id: call, tenant: tenant.name.clone(), fencing_token: fence };
    sender.send(encode(&RegistryRequest::Proxy(add)));
    let round_trip = counting.round_trips.get(&owner).copied().unwrap_or(MOST / TIMES);
    Some((owner, call, receiver, (round_trip * TIMES).clamp(LEAST, MOST)))
}
