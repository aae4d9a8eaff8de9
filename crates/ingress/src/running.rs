//! The running pools, which are started, updated and removed as the configuration and the tenants change.

use crate::class_plan_indices::ClassPlanIndices;
use crate::connections::{ConnectionTable, UNASSIGNED};
use crate::embedded_counter::EmbeddedCounters;
use crate::pool::{Pool, SharedCapacity};
use crate::precheck::PoolPrecheck;
use crate::prepared::{HostedRoute, PreparedConfig};
use crate::rate_limit_server::RateLimitConfig;
use crate::router::{Route, Routing};
use crate::task_scheduler::TaskSets;
use crate::tasks::{TaskHandle, TaskSet};
use crate::tenants::Tenants;
use crate::Clock;
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use violetyoke_config as file;
use violetyoke_decision::interface::Plan;
use violetyoke_duties::usage::UsageCounters;
use violetyoke_shares::{CapacityPool, Member};
use violetyoke_tenants::snapshot::TenantDirectory;

/// The member number of the rate limit service in the schedulers and capacity pools of the process.
pub const RATE_LIMIT_MEMBER: Member = UNASSIGNED + 1;
/// The total number of descriptors divided by this is guaranteed to connections without a request yet.
const UNASSIGNED_DIVISOR: u64 = 8;

/// The running pools and their shared resources.
pub struct Pools {
    pub clock: Clock,
    pub sets: Rc<TaskSets>,
    pub unassigned_tasks: Rc<TaskSet>,
    pub descriptors: SharedCapacity,
    pub bytes: SharedCapacity,
    pub counters: Rc<EmbeddedCounters>,
    running: BTreeMap<String, RunningPool>,
    pub tenants: Tenants,
    pub next_member: Member,
}

/// A running pool.
pub struct RunningPool {
    pub pool: Rc<Pool>,
    pub config: file::Pool,
    /// The indices of classes and plans in the decision module.
    pub indices: ClassPlanIndices,
    pub precheck: Rc<PoolPrecheck>,
    pub discovery_task: Option<TaskHandle>,
    pub revision: u64,
    /// The plans of tenants in this pool.
    pub tenant_plans: Vec<(String, Plan)>,
}

impl Pools {
    pub fn new(
        config: &file::Service,
        sets: Rc<TaskSets>,
        unassigned_tasks: Rc<TaskSet>,
        usage: UsageCounters,
    ) -> Pools {
        let capacity = |total| Rc::new(RefCell::new(CapacityPool::new(total)));
        let (descriptors, bytes) = (capacity(config.descriptors), capacity(config.buffered_bytes));
        let open_requests = config.control.as_ref().map_or(0, |control| control.open_requests);
        let scheduled_sets = config.schedules_by_weight.then(|| sets.clone());
        Pools {
            clock: Clock::start(),
            tenants: Tenants::new(open_requests, descriptors.clone(), bytes.clone(), scheduled_sets, usage),
            sets,
            unassigned_tasks,
            descriptors,
            bytes,
            counters: Rc::default(),
            running: BTreeMap::new(),
            next_member: RATE_LIMIT_MEMBER + 1,
        }
    }

    /// Applies a prepared configuration to pools and tenants. Returns the routes, the settings of the rate
    /// limit service and the replaced tenants. Pools that were removed from the file run until
    /// [`Pools::retire`].
    pub fn apply(
        &mut self,
        config: &file::Service,
        prepared: &PreparedConfig,
        tenant_routes: Vec<HostedRoute>,
    ) -> (Routing, Option<RateLimitConfig>, (Vec<Member>, Arc<TenantDirectory>)) {
        let unassigned_descriptors = config.descriptors / UNASSIGNED_DIVISOR;
        self.descriptors.borrow_mut().resize(config.descriptors);
        self.descriptors.borrow_mut().set_limits(
            UNASSIGNED,
            unassigned_descriptors.min(self.unreserved_descriptors(config)),
            config.descriptors,
        );
        self.bytes.borrow_mut().resize(config.buffered_bytes);
        let mut pools = Vec::new();
        for pool in &config.pools {
            let tenant_plans = prepared.plans.get(&pool.name).map_or(&[][..], Vec::as_slice);
            match self.running.remove(&pool.name) {
                // A renamed quota uses different counters, so the pool is replaced and not updated.
                Some(run) if run.config.quota != pool.quota => {
                    let new_run = self.start(config, pool, tenant_plans);
                    self.running.insert(format!("{} (replaced {})", pool.name, run.pool.member), run);
                    pools.push(new_run.pool.clone());
                    self.running.insert(pool.name.clone(), new_run);
                }
                Some(mut run) => {
                    self.update(config, &mut run, pool, tenant_plans);
                    pools.push(run.pool.clone());
                    self.running.insert(pool.name.clone(), run);
                }
                None => {
                    let run = self.start(config, pool, tenant_plans);
                    pools.push(run.pool.clone());
                    self.running.insert(pool.name.clone(), run);
                }
            }
        }
        let next = &mut self.next_member;
        let next_member = || {
            *next += 1;
            *next - 1
        };
        let running = &self.running;
        let pool_member = |name: &str| running.get(name).map(|run| run.pool.member);
        let by_member: HashMap<Member, &RunningPool> =
            running.values().map(|run| (run.pool.member, run)).collect();
        let plan_index_of =
            |pool: Member, name: &str| by_member.get(&pool)?.indices.tenant_plans.get(name).copied();
        let replaced = self.tenants.apply(config, prepared, next_member, pool_member, &plan_index_of);
        let route = |route: &file::Route| Route {
            pool: pools[route.pool].clone(),
            class: route.default_class.clone(),
            tenant: None,
        };
        let mut routes: Vec<Route> = config.routes.iter().map(route).collect();
        routes.extend(tenant_routes.into_iter().map(|route| Route {
            pool: pools[route.pool].clone(),
            class: route.class,
            tenant: self.tenants.tenant(&route.tenant),
        }));
        let rate_limit = config.ratelimit.clone().map(|file| RateLimitConfig { file, pools });
        (Routing::Table { table: prepared.table.clone(), routes }, rate_limit, replaced)
    }

    /// Descriptors that are not guaranteed to a pool.
    fn unreserved_descriptors(&self, config: &file::Service) -> u64 {
        config.descriptors - config.pools.iter().map(|pool| pool.descriptors).sum::<u64>()
    }

    pub fn set_limits(&self, config: &file::Service, member: Member, pool: &file::Pool) {
        self.descriptors.borrow_mut().set_limits(member, pool.descriptors, config.descriptors);
        self.bytes.borrow_mut().set_limits(member, pool.buffered_bytes, config.buffered_bytes);
    }

    /// Removes the pools that are not in the file any more. Each ends once it has no open requests.
    pub fn retire(&mut self, config: &file::Service, connections: &ConnectionTable) {
        let names: Vec<String> = self.running.keys().cloned().collect();
        for name in names.into_iter().filter(|name| !config.pools.iter().any(|pool| pool.name == *name)) {
            let Some(run) = self.running.remove(&name) else { continue };
            if let Some(discovery_task) = run.discovery_task {
                discovery_task.abort();
            }
            connections.unassign(run.pool.member, &self.unassigned_tasks);
            // Nothing is guaranteed to the pool any more, but its open requests still need connections to
            // nodes.
            self.descriptors.borrow_mut().set_limits(run.pool.member, 0, config.descriptors);
            self.bytes.borrow_mut().set_limits(run.pool.member, 0, config.buffered_bytes);
            run.pool.retire();
        }
    }
}
