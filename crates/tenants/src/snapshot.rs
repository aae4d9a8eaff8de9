//! What ingresses get: all tenants at a revision, or those that have changed since one. It is checked whole before
//! any of it is used.

use crate::model::{check_routes, Account, Limits, Plan, Resource, Route, State, StoredTenant, Tenant};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The form that this program writes and reads.
pub const FORMAT: u32 = 1;

/// One tenant, as an ingress needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct TenantView {
    pub name: String,
    pub epoch: u64,
    pub weight: u32,
    pub limits: Limits,
    /// Nothing new is taken for it.
    pub draining: bool,
    pub hosts: Vec<String>,
    pub pools: Vec<String>,
    pub plans: Vec<Plan>,
    pub accounts: Vec<Account>,
    pub routes: Vec<Route>,
}

/// All tenants, or a part of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[cfg_attr(feature = "schema", derive(utoipa::ToSchema))]
pub struct Snapshot {
    pub format: u32,
    /// None: these are all; else what has changed since that revision.
    pub base: Option<u64>,
    pub revision: u64,
    pub tenants: Vec<TenantView>,
    /// Tenants that are no longer there, of a part only.
    pub gone: Vec<String>,
    /// SHA-256 of all the above, as 64 hex digits.
    pub sum: String,
}

/// Why a snapshot is not taken. What is held stays in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bad {
    /// No JSON, or not of this shape: torn, or something else.
    Unreadable(String),
    Format(u32),
    Sum,
    /// Older than what is held.
    Old {
        held: u64,
        offered: u64,
    },
    /// A part that does not begin where this ingress stands.
    Base {
        held: u64,
        base: u64,
    },
    Tenant {
        name: String,
        reason: String,
    },
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::Unreadable(reason) => write!(f, "not readable: {reason}"),
            Bad::Format(format) => write!(f, "format {format} is not known, only {FORMAT}"),
            Bad::Sum => f.write_str("its sum is not that of what it holds"),
            Bad::Old { held, offered } => write!(f, "revision {offered} is older than {held}, which is held"),
            Bad::Base { held, base } => write!(f, "it changes revision {base}, and {held} is held"),
            Bad::Tenant { name, reason } => write!(f, "tenant {name:?}: {reason}"),
        }
    }
}

impl std::error::Error for Bad {}

impl Snapshot {
    pub fn new(base: Option<u64>, revision: u64, tenants: Vec<TenantView>, gone: Vec<String>) -> Snapshot {
        let mut snapshot = Snapshot { format: FORMAT, base, revision, tenants, gone, sum: String::new() };
        snapshot.sum = snapshot.digest();
        snapshot
    }

    fn digest(&self) -> String {
        let mut hasher = Sha256::new();
        // Field by field: the sum must not be a part of what it is made of.
        for part in [
            serde_json::to_vec(&(self.format, self.base, self.revision)),
            serde_json::to_vec(&self.tenants),
            serde_json::to_vec(&self.gone),
        ] {
            hasher.update(part.unwrap_or_default());
            hasher.update([0]);
        }
        hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Reads what came; nothing of it is to be used before [`Held::take`] has checked it.
    pub fn read(bytes: &[u8]) -> Result<Snapshot, Bad> {
        // The format first: a later one may have any shape.
        #[derive(Deserialize)]
        struct Format {
            format: u32,
        }
        let unreadable = |error: serde_json::Error| Bad::Unreadable(error.to_string());
        let Format { format } = serde_json::from_slice(bytes).map_err(unreadable)?;
        if format != FORMAT {
            return Err(Bad::Format(format));
        }
        serde_json::from_slice(bytes).map_err(unreadable)
    }
}

impl TenantView {
    pub fn new(
        stored: StoredTenant,
        plans: Vec<Plan>,
        accounts: Vec<Account>,
        routes: Vec<Route>,
    ) -> TenantView {
        let StoredTenant { tenant, epoch, state } = stored;
        let Tenant { name, weight, limits, hosts, pools } = tenant;
        let draining = state != State::Active;
        TenantView { name, epoch, weight, limits, draining, hosts, pools, plans, accounts, routes }
    }

    /// The number of an account's plan among [`TenantView::plans`]; none: there is no such account.
    pub fn plan_of(&self, account: &str) -> Option<usize> {
        let place = self.accounts.binary_search_by(|known| known.name.as_str().cmp(account)).ok()?;
        self.plans.iter().position(|plan| plan.name == self.accounts[place].plan)
    }

    fn check(&self) -> Result<(), String> {
        let TenantView { name, weight, limits, hosts, pools, .. } = self.clone();
        let tenant = Tenant { name, weight, limits, hosts, pools };
        let mut faults = tenant.check();
        faults.extend(self.plans.iter().flat_map(Resource::check));
        faults.extend(self.accounts.iter().flat_map(Resource::check));
        faults.extend(self.routes.iter().flat_map(Resource::check));
        faults.extend(check_routes(&tenant, &self.routes));
        if let Some(fault) = faults.first() {
            return Err(format!("{}: {}", fault.field, fault.reason));
        }
        let plans: std::collections::BTreeSet<&str> =
            self.plans.iter().map(|plan| plan.name.as_str()).collect();
        if plans.len() < self.plans.len() {
            return Err("two plans have one name".into());
        }
        if let Some(pair) = self.accounts.windows(2).find(|pair| pair[0].name == pair[1].name) {
            return Err(format!("account {:?} stands there twice", pair[0].name));
        }
        match self.accounts.iter().find(|account| !plans.contains(account.plan.as_str())) {
            Some(account) => {
                Err(format!("account {:?} has plan {:?}, which is not there", account.name, account.plan))
            }
            None => Ok(()),
        }
    }
}

/// What an ingress holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    pub revision: u64,
    pub tenants: BTreeMap<String, Arc<TenantView>>,
}

impl Held {
    /// All of it, to be kept and read again.
    pub fn whole(&self) -> Snapshot {
        let tenants = self.tenants.values().map(|tenant| TenantView::clone(tenant)).collect();
        Snapshot::new(None, self.revision, tenants, vec![])
    }

    /// What would be held after that snapshot; this one is left as it is.
    pub fn take(&self, snapshot: Snapshot) -> Result<Held, Bad> {
        if snapshot.format != FORMAT {
            return Err(Bad::Format(snapshot.format));
        }
        if snapshot.sum != snapshot.digest() {
            return Err(Bad::Sum);
        }
        if snapshot.revision < self.revision {
            return Err(Bad::Old { held: self.revision, offered: snapshot.revision });
        }
        let mut tenants = match snapshot.base {
            None => BTreeMap::new(),
            Some(base) if base == self.revision => self.tenants.clone(),
            Some(base) => return Err(Bad::Base { held: self.revision, base }),
        };
        for name in &snapshot.gone {
            tenants.remove(name);
        }
        for mut tenant in snapshot.tenants {
            // Looked up by halving.
            tenant.accounts.sort_by(|a, b| a.name.cmp(&b.name));
            tenant.check().map_err(|reason| Bad::Tenant { name: tenant.name.clone(), reason })?;
            tenants.insert(tenant.name.clone(), Arc::new(tenant));
        }
        // Hosts are what tells tenants apart: two with the same would serve each other's requests.
        let mut hosts: BTreeMap<&str, &str> = BTreeMap::new();
        for tenant in tenants.values() {
            for host in &tenant.hosts {
                if let Some(other) = hosts.insert(host, &tenant.name) {
                    let reason = format!("host {host:?} is tenant {other:?}'s too");
                    return Err(Bad::Tenant { name: tenant.name.clone(), reason });
                }
            }
        }
        Ok(Held { revision: snapshot.revision, tenants })
    }
}
