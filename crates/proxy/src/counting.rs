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
use violetyoke_api::routing::Table;
use violetyoke_balancing::Millis;
use violetyoke_quota::deal::Dealt;
use violetyoke_quota::own::Passed;
use violetyoke_quota::Limit;
use violetyoke_transport::frame::encode;
use violetyoke_transport::messages::{Owners, ProxyRequest, RegistryRequest};

/// The holder is waited for as long as its answers usually take, several times over, within these bounds (ms).
const TIMES: f64 = 3.0;
const LEAST: f64 = 40.0;
const MOST: f64 = 400.0;

/// What a holder said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    Counted(Option<u32>),
    NotMine,
}

#[derive(Default)]
pub struct Counting {
    passed: Passed,
    dealt: Dealt,
    pub owners: Owners,
    /// To whom a tenant's use here was last told, and in which life of the connection.
    told: HashMap<String, (Ipv4Addr, u64)>,
    calls: HashMap<u32, oneshot::Sender<Said>>,
    next: u32,
    ways: HashMap<Ipv4Addr, f64>,
    pub ingresses: usize,
}

impl Counting {
    /// A newer deal of counts.
    pub fn deal(&mut self, owners: Owners) {
        if owners.fence <= self.owners.fence {
            return;
        }
        let names: Vec<String> = owners.registries.iter().map(ToString::to_string).collect();
        self.dealt = Dealt::new(&names.iter().map(String::as_str).collect::<Vec<_>>());
        self.owners = owners;
    }

    pub fn said(&mut self, call: u32, said: Said) {
        if let Some(waiting) = self.calls.remove(&call) {
            // Whoever asked may have given up.
            let _ = waiting.send(said);
        }
    }

    pub fn retain(&mut self, table: &Table) {
        self.passed.retain(|name| table.tenants.iter().any(|tenant| tenant.name == name));
        self.told.retain(|name, _| table.tenants.iter().any(|tenant| tenant.name == *name));
    }
}

/// Counts one request of a tenant; past its limit, the error says when there may be room (ms).
pub async fn count(proxy: &Rc<Proxy>, tenant: &Tenant) -> Result<(), Millis> {
    let Some(limit) = Limit::new(tenant.rate_per_s, tenant.burst) else { return Ok(()) };
    match ask(proxy, tenant, limit).await {
        Some(Said::Counted(None)) => {
            proxy.counting.borrow_mut().passed.passed(proxy.now(), &tenant.name, limit);
            Ok(())
        }
        Some(Said::Counted(Some(retry_ms))) => Err(Millis::from(retry_ms)),
        Some(Said::NotMine) | None => {
            add(&proxy.figures.unasked);
            let ingresses = proxy.ingresses();
            proxy.counting.borrow_mut().passed.unasked(proxy.now(), &tenant.name, limit, ingresses)
        }
    }
}

async fn ask(proxy: &Rc<Proxy>, tenant: &Tenant, limit: Limit) -> Option<Said> {
    let begun = proxy.now();
    let (owner, call, answer, patience) = {
        let counting = &mut *proxy.counting.borrow_mut();
        let owner: Ipv4Addr = counting.dealt.owner(&tenant.name)?.parse().ok()?;
        let registries = proxy.registries.borrow();
        let registry = registries.get(&owner)?;
        let sender = registry.sender.as_ref()?;
        let fence = counting.owners.fence;
        let at = (owner, registry.lives);
        if counting.told.get(&tenant.name) != Some(&at) {
            let (current, previous) = counting.passed.told(begun, &tenant.name, limit);
            if current + previous > 0.0 {
                let (current, previous) = (current as u32, previous as u32);
                let tell = ProxyRequest::Tell { tenant: tenant.name.clone(), fence, current, previous };
                sender.send(encode(&RegistryRequest::Proxy(tell)));
            }
            counting.told.insert(tenant.name.clone(), at);
        }
        counting.next = counting.next.wrapping_add(1);
        let call = counting.next;
        let (answer, said) = oneshot::channel();
        counting.calls.insert(call, answer);
        let add = ProxyRequest::Add { call, tenant: tenant.name.clone(), fence };
        sender.send(encode(&RegistryRequest::Proxy(add)));
        let way = counting.ways.get(&owner).copied().unwrap_or(MOST / TIMES);
        (owner, call, said, (way * TIMES).clamp(LEAST, MOST))
    };
    let said = timeout(Duration::from_millis(patience as u64), answer).await;
    let counting = &mut *proxy.counting.borrow_mut();
    let way = counting.ways.entry(owner).or_insert(MOST / TIMES);
    match said {
        Ok(Ok(said)) => {
            let took = (proxy.now() - begun) as f64;
            *way += 0.1 * (took - *way);
            Some(said)
        }
        _ => {
            // An add whose answer is lost may have been counted: it stays so, and this one counts here too.
            counting.calls.remove(&call);
            *way = (*way * 1.2).min(MOST / TIMES);
            None
        }
    }
}
