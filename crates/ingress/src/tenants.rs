//! Tenants as the service runs them: each tenant's room, turns and plans, and what it has used.

use crate::guest::{Admitted, Guest};
use crate::pool::SharedCapacity;
use crate::prepared::{slot, Prepared};
use crate::request::{bad_request, Rejection};
use crate::sets::Sets;
use crate::tasks::TaskSet;
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

/// A tenant as it runs.
pub struct Tenant {
    member: Member,
    view: RefCell<Arc<TenantView>>,
    /// The numbers of its plans in each pool that it has routes to.
    plans: RefCell<BTreeMap<Member, Vec<u16>>>,
    requests: SharedCapacity,
    sets: Option<Rc<Sets>>,
    /// Made when its first request comes: most tenants are quiet.
    set: RefCell<Option<Rc<TaskSet>>>,
    /// Tries that were let in, until they are told of.
    used: Arc<AtomicU64>,
}

/// An open request's place, given back when it is over.
struct Place(Rc<Tenant>);

impl Drop for Place {
    fn drop(&mut self) {
        let tenant = &self.0;
        tenant.requests.borrow_mut().release(tenant.member, 1);
    }
}

/// A tenant with itself at hand: places hold it.
pub struct Handle(pub Rc<Tenant>);

impl Guest for Handle {
    fn member(&self) -> Member {
        self.0.member
    }

    fn set(&self) -> Option<Rc<TaskSet>> {
        let sets = self.0.sets.as_ref()?;
        let mut set = self.0.set.borrow_mut();
        let weight = u64::from(self.0.view.borrow().weight);
        Some(set.get_or_insert_with(|| sets.add(self.0.member, weight)).clone())
    }

    fn account(&self, name: &str) -> String {
        format!("{}/{name}", self.0.view.borrow().name)
    }

    fn admit(&self, pool: Member, account: &str) -> Result<Admitted, Rejection> {
        const FULL: Rejection =
            Rejection { code: StatusCode::SERVICE_UNAVAILABLE, reason: "tenant: no room" };
        const DRAINS: Rejection =
            Rejection { code: StatusCode::SERVICE_UNAVAILABLE, reason: "tenant: draining" };
        const NO_ACCOUNT: Rejection =
            Rejection { code: StatusCode::FORBIDDEN, reason: "x-account: not one of the tenant's" };
        let tenant = &self.0;
        let view = tenant.view.borrow();
        if view.draining {
            return Err(DRAINS);
        }
        let plan = view.plan_index(account).ok_or(NO_ACCOUNT)?;
        let plans = tenant.plans.borrow();
        let plan = plans
            .get(&pool)
            .and_then(|plans| plans.get(plan))
            .ok_or(bad_request("x-account: its plan is not here"))?;
        if !tenant.requests.borrow_mut().try_acquire(tenant.member, 1) {
            return Err(FULL);
        }
        tenant.used.fetch_add(1, Ordering::Relaxed);
        let customer = account_number(&view.name, view.epoch, account);
        Ok(Admitted { plan: *plan, customer, place: Box::new(Place(tenant.clone())) })
    }
}

/// All tenants that run.
pub struct Tenancy {
    running: BTreeMap<String, Rc<Tenant>>,
    pub held: Arc<TenantDirectory>,
    requests: SharedCapacity,
    descriptors: SharedCapacity,
    bytes: SharedCapacity,
    sets: Option<Rc<Sets>>,
    uses: UsageCounters,
}

/// What pools know of a tenant's plans: from a pool's number and a plan's name among that pool's to its number.
pub type PlanOf<'a> = &'a dyn Fn(Member, &str) -> Option<u16>;

impl Tenancy {
    pub fn new(
        open_requests: u64,
        descriptors: SharedCapacity,
        bytes: SharedCapacity,
        sets: Option<Rc<Sets>>,
        uses: UsageCounters,
    ) -> Tenancy {
        let requests = Rc::new(RefCell::new(CapacityPool::new(open_requests)));
        Tenancy { running: BTreeMap::new(), held: Arc::default(), requests, descriptors, bytes, sets, uses }
    }

    /// Puts what is held in force. `member` gives numbers to new tenants; `pools` are each tenant's pools. Returns
    /// those that are gone, whose connections are to leave, and what was held before, to be dropped elsewhere.
    pub fn apply(
        &mut self,
        config: &file::Service,
        prepared: &Prepared,
        mut member: impl FnMut() -> Member,
        pools: impl Fn(&str) -> Option<Member>,
        plan_of: PlanOf<'_>,
    ) -> (Vec<Member>, Arc<TenantDirectory>) {
        if let Some(control) = &config.control {
            self.requests.borrow_mut().resize(control.open_requests);
        }
        let mut gone = Vec::new();
        let mut running = BTreeMap::new();
        for (name, view) in &prepared.held.tenants {
            // One made anew under the name is another: nothing of the old one's goes on.
            let old = self.running.remove(name);
            let (same, other) = match old {
                Some(old) if old.view.borrow().epoch == view.epoch => (Some(old), None),
                old => (None, old),
            };
            gone.extend(other.map(|other| other.member));
            let fresh = same.is_none();
            let tenant = same.unwrap_or_else(|| {
                Rc::new(Tenant {
                    member: member(),
                    view: RefCell::new(view.clone()),
                    plans: RefCell::default(),
                    requests: self.requests.clone(),
                    sets: self.sets.clone(),
                    set: RefCell::default(),
                    used: self.uses.of_tenant(name),
                })
            });
            let changed = fresh || !Arc::ptr_eq(&tenant.view.borrow(), view);
            if changed {
                self.share(config, &tenant, view);
                if let (Some(sets), Some(_)) = (&self.sets, &*tenant.set.borrow()) {
                    sets.weigh(tenant.member, u64::from(view.weight));
                }
                *tenant.view.borrow_mut() = view.clone();
            }
            let names: BTreeSet<&String> = view.routes.iter().map(|route| &route.pool).collect();
            let numbers = names.into_iter().filter_map(|pool| pools(pool)).map(|pool| {
                let number = |plan: &model::Plan| plan_of(pool, &slot(view, &plan.name)).unwrap_or(u16::MAX);
                (pool, view.plans.iter().map(number).collect())
            });
            let numbers: BTreeMap<Member, Vec<u16>> = numbers.collect();
            *tenant.plans.borrow_mut() = numbers;
            running.insert(name.clone(), tenant);
        }
        let left = std::mem::replace(&mut self.running, running);
        for tenant in left.into_values() {
            gone.push(tenant.member);
        }
        for member in &gone {
            // What is open still has its room until it is over; nothing is guaranteed any more.
            self.requests.borrow_mut().retire(*member);
            self.descriptors.borrow_mut().retire(*member);
            self.bytes.borrow_mut().retire(*member);
        }
        (gone, std::mem::replace(&mut self.held, prepared.held.clone()))
    }

    fn share(&self, config: &file::Service, tenant: &Tenant, view: &TenantView) {
        let most = |part: ResourceBounds, all: u64| if part.max == 0 { all } else { part.max.min(all) };
        let limits = view.limits;
        let open = config.control.as_ref().map_or(u64::MAX, |control| control.open_requests);
        for (capacity, part, all) in [
            (&self.requests, limits.open_requests, open),
            (&self.descriptors, limits.descriptors, config.descriptors),
            (&self.bytes, limits.buffered_bytes, config.buffered_bytes),
        ] {
            capacity.borrow_mut().set_limits(tenant.member, part.guaranteed, most(part, all));
        }
    }

    pub fn tenant(&self, name: &str) -> Option<Rc<dyn Guest>> {
        self.running.get(name).map(|tenant| Rc::new(Handle(tenant.clone())) as Rc<dyn Guest>)
    }
}
