//! Tenants at runtime: their resource limits, scheduling weights, plans and usage.

use crate::pool::SharedCapacity;
use crate::prepared::{tenant_plan_name, PreparedConfig};
use crate::request::{bad_request, Rejection};
use crate::task_scheduler::TaskSets;
use crate::tasks::TaskSet;
use crate::tenant_access::{TenantAccess, TenantAdmission};
use hyper::StatusCode;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use violetyoke_config as file;
use violetyoke_duties::usage::UsageCounters;
use violetyoke_shares::{CapacityPool, Member};
use violetyoke_tenants::account_number;
use violetyoke_tenants::model::{self, ResourceBounds};
use violetyoke_tenants::snapshot::{TenantDirectory, TenantView};

/// A tenant at runtime.
pub struct Tenant {
    member: Member,
    view: RefCell<Arc<TenantView>>,
    /// Indices of its plans in each pool to which it has routes.
    plans: RefCell<BTreeMap<Member, Vec<u16>>>,
    requests: SharedCapacity,
    sets: Option<Rc<TaskSets>>,
    /// Created with the first request, as most tenants are idle.
    set: RefCell<Option<Rc<TaskSet>>>,
    /// Admitted requests that have not been reported yet.
    admitted_requests: Arc<AtomicU64>,
}

/// Counts an open request against the limit of its tenant until it is dropped.
struct RequestPermit(Rc<Tenant>);

impl Drop for RequestPermit {
    fn drop(&mut self) {
        let tenant = &self.0;
        tenant.requests.borrow_mut().release(tenant.member, 1);
    }
}

/// A reference to a tenant, which permits of its requests keep.
pub struct TenantHandle(pub Rc<Tenant>);

impl TenantAccess for TenantHandle {
    fn member(&self) -> Member {
        self.0.member
    }

    fn task_set(&self) -> Option<Rc<TaskSet>> {
        let sets = self.0.sets.as_ref()?;
        let mut set = self.0.set.borrow_mut();
        let weight = u64::from(self.0.view.borrow().weight);
        Some(set.get_or_insert_with(|| sets.add(self.0.member, weight)).clone())
    }

    fn qualified_account(&self, name: &str) -> String {
        format!("{}/{name}", self.0.view.borrow().name)
    }

    fn admit(&self, pool: Member, account: &str) -> Result<TenantAdmission, Rejection> {
        const AT_LIMIT: Rejection =
            Rejection { code: StatusCode::SERVICE_UNAVAILABLE, reason: "tenant: no room" };
        const DRAINING: Rejection =
            Rejection { code: StatusCode::SERVICE_UNAVAILABLE, reason: "tenant: draining" };
        const UNKNOWN_ACCOUNT: Rejection =
            Rejection { code: StatusCode::FORBIDDEN, reason: "x-account: not one of the tenant's" };
        let tenant = &self.0;
        let view = tenant.view.borrow();
        if view.draining {
            return Err(DRAINING);
        }
        let plan = view.plan_index(account).ok_or(UNKNOWN_ACCOUNT)?;
        let plans = tenant.plans.borrow();
        let plan = plans
            .get(&pool)
            .and_then(|plans| plans.get(plan))
            .ok_or(bad_request("x-account: its plan is not here"))?;
        if !tenant.requests.borrow_mut().try_acquire(tenant.member, 1) {
            return Err(AT_LIMIT);
        }
        tenant.admitted_requests.fetch_add(1, Ordering::Relaxed);
        let customer_id = account_number(&view.name, view.epoch, account);
        Ok(TenantAdmission {
            plan: *plan,
            customer_id,
            open_request: Box::new(RequestPermit(tenant.clone())),
        })
    }
}

/// All tenants at runtime.
pub struct Tenants {
    running: BTreeMap<String, Rc<Tenant>>,
    /// The tenants in force, as the control plane describes them.
    pub directory: Arc<TenantDirectory>,
    requests: SharedCapacity,
    descriptors: SharedCapacity,
    bytes: SharedCapacity,
    sets: Option<Rc<TaskSets>>,
    usage: UsageCounters,
}

/// Returns the index of a plan from the pool and the name of the plan in that pool.
pub type PlanIndexOf<'a> = &'a dyn Fn(Member, &str) -> Option<u16>;

impl Tenants {
    pub fn new(
        open_requests: u64,
        descriptors: SharedCapacity,
        bytes: SharedCapacity,
        sets: Option<Rc<TaskSets>>,
        usage: UsageCounters,
    ) -> Tenants {
        let requests = Rc::new(RefCell::new(CapacityPool::new(open_requests)));
        Tenants {
            running: BTreeMap::new(),
            directory: Arc::default(),
            requests,
            descriptors,
            bytes,
            sets,
            usage,
        }
    }

    /// Puts the prepared tenants in force. `member` assigns numbers to new tenants, `pools` returns the number
    /// of a pool. Returns the members that were removed, whose connections have to be reassigned, and the
    /// previous directory, which the caller drops on another thread.
    pub fn apply(
        &mut self,
        config: &file::Service,
        prepared: &PreparedConfig,
        mut member: impl FnMut() -> Member,
        pools: impl Fn(&str) -> Option<Member>,
        plan_index_of: PlanIndexOf<'_>,
    ) -> (Vec<Member>, Arc<TenantDirectory>) {
        if let Some(control) = &config.control {
            self.requests.borrow_mut().resize(control.open_requests);
        }
        let mut removed = Vec::new();
        let mut running = BTreeMap::new();
        for (name, view) in &prepared.directory.tenants {
            // A tenant that was deleted and created again under the same name shares nothing with the old one.
            let old = self.running.remove(name);
            let (existing, replaced) = match old {
                Some(old) if old.view.borrow().epoch == view.epoch => (Some(old), None),
                old => (None, old),
            };
            removed.extend(replaced.map(|replaced| replaced.member));
            let is_new = existing.is_none();
            let tenant = existing.unwrap_or_else(|| {
                Rc::new(Tenant {
                    member: member(),
                    view: RefCell::new(view.clone()),
                    plans: RefCell::default(),
                    requests: self.requests.clone(),
                    sets: self.sets.clone(),
                    set: RefCell::default(),
                    admitted_requests: self.usage.of_tenant(name),
                })
            });
            let changed = is_new || !Arc::ptr_eq(&tenant.view.borrow(), view);
            if changed {
                self.set_limits_of(config, &tenant, view);
                if let (Some(sets), Some(_)) = (&self.sets, &*tenant.set.borrow()) {
                    sets.set_weight(tenant.member, u64::from(view.weight));
                }
                *tenant.view.borrow_mut() = view.clone();
            }
            let pool_names: BTreeSet<&String> = view.routes.iter().map(|route| &route.pool).collect();
            let plan_indices = pool_names.into_iter().filter_map(|pool| pools(pool)).map(|pool| {
                let plan_index = |plan: &model::Plan| {
                    plan_index_of(pool, &tenant_plan_name(view, &plan.name)).unwrap_or(u16::MAX)
                };
                (pool, view.plans.iter().map(plan_index).collect())
            });
            let plan_indices: BTreeMap<Member, Vec<u16>> = plan_indices.collect();
            *tenant.plans.borrow_mut() = plan_indices;
            running.insert(name.clone(), tenant);
        }
        let old_tenants = std::mem::replace(&mut self.running, running);
        for tenant in old_tenants.into_values() {
            removed.push(tenant.member);
        }
        for member in &removed {
            // Open requests keep their resources until they end, but nothing is guaranteed any more.
            self.requests.borrow_mut().retire(*member);
            self.descriptors.borrow_mut().retire(*member);
            self.bytes.borrow_mut().retire(*member);
        }
        (removed, std::mem::replace(&mut self.directory, prepared.directory.clone()))
    }

    fn set_limits_of(&self, config: &file::Service, tenant: &Tenant, view: &TenantView) {
        let max_of =
            |bounds: ResourceBounds, total: u64| if bounds.max == 0 { total } else { bounds.max.min(total) };
        let limits = view.limits;
        let open = config.control.as_ref().map_or(u64::MAX, |control| control.open_requests);
        for (capacity, bounds, total) in [
            (&self.requests, limits.open_requests, open),
            (&self.descriptors, limits.descriptors, config.descriptors),
            (&self.bytes, limits.buffered_bytes, config.buffered_bytes),
        ] {
            capacity.borrow_mut().set_limits(tenant.member, bounds.guaranteed, max_of(bounds, total));
        }
    }

    pub fn tenant(&self, name: &str) -> Option<Rc<dyn TenantAccess>> {
        self.running.get(name).map(|tenant| Rc::new(TenantHandle(tenant.clone())) as Rc<dyn TenantAccess>)
    }
}
