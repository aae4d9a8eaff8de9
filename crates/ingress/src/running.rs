//! The pools that run: each started, changed and ended as the file and the tenants say.

use crate::class_plan_indices::ClassPlanIndices;
use crate::connections::{ConnectionTable, UNASSIGNED};
use crate::embedded::Counts;
use crate::pool::{Pool, SharedCapacity};
use crate::precheck::PoolPrecheck;
use crate::prepared::{HostedRoute, Prepared};
use crate::rate_limit_server::RateLimitConfig;
use crate::router::{Route, Routing};
use crate::task_scheduler::TaskSets;
use crate::tasks::{TaskHandle, TaskSet};
use crate::tenants::Tenancy;
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

/// The rate limit service's number among those that share the process.
pub const ASKING: Member = UNASSIGNED + 1;
/// Descriptors kept for connections that are yet to say what they want: one part in so many of all.
const DOOR_PART: u64 = 8;

/// The pools that run, and what they share.
pub struct Pools {
    pub clock: Clock,
    pub sets: Rc<TaskSets>,
    pub door: Rc<TaskSet>,
    pub descriptors: SharedCapacity,
    pub bytes: SharedCapacity,
    pub counts: Rc<Counts>,
    running: BTreeMap<String, Run>,
    pub tenancy: Tenancy,
    pub next: Member,
}

/// One pool as it runs.
pub struct Run {
    pub pool: Rc<Pool>,
    pub config: file::Pool,
    /// Classes and plans at the numbers that the module knows them by.
    pub slots: ClassPlanIndices,
    pub checks: Rc<PoolPrecheck>,
    pub watch: Option<TaskHandle>,
    pub revision: u64,
    /// Its plans that are tenants'.
    pub hosted: Vec<(String, Plan)>,
}

impl Pools {
    pub fn new(config: &file::Service, sets: Rc<TaskSets>, door: Rc<TaskSet>, uses: UsageCounters) -> Pools {
        let capacity = |total| Rc::new(RefCell::new(CapacityPool::new(total)));
        let (descriptors, bytes) = (capacity(config.descriptors), capacity(config.buffered_bytes));
        let open = config.control.as_ref().map_or(0, |control| control.open_requests);
        let turns = config.turns.then(|| sets.clone());
        Pools {
            clock: Clock::start(),
            tenancy: Tenancy::new(open, descriptors.clone(), bytes.clone(), turns, uses),
            sets,
            door,
            descriptors,
            bytes,
            counts: Rc::default(),
            running: BTreeMap::new(),
            next: ASKING + 1,
        }
    }

    /// Brings the pools and tenants to what is prepared, and gives the routes to them. Pools that the file no longer
    /// has run on until [`Pools::retire`].
    pub fn apply(
        &mut self,
        config: &file::Service,
        prepared: &Prepared,
        hosted: Vec<HostedRoute>,
    ) -> (Routing, Option<RateLimitConfig>, (Vec<Member>, Arc<TenantDirectory>)) {
        let door = config.descriptors / DOOR_PART;
        self.descriptors.borrow_mut().resize(config.descriptors);
        self.descriptors.borrow_mut().set_limits(
            UNASSIGNED,
            door.min(self.spare(config)),
            config.descriptors,
        );
        self.bytes.borrow_mut().resize(config.buffered_bytes);
        let mut pools = Vec::new();
        for pool in &config.pools {
            let hosted = prepared.plans.get(&pool.name).map_or(&[][..], Vec::as_slice);
            match self.running.remove(&pool.name) {
                // Counted under another name, its customers' use would be lost from sight: another pool.
                Some(run) if run.config.quota != pool.quota => {
                    let fresh = self.start(config, pool, hosted);
                    self.running.insert(format!("{} (replaced {})", pool.name, run.pool.member), run);
                    pools.push(fresh.pool.clone());
                    self.running.insert(pool.name.clone(), fresh);
                }
                Some(mut run) => {
                    self.change(config, &mut run, pool, hosted);
                    pools.push(run.pool.clone());
                    self.running.insert(pool.name.clone(), run);
                }
                None => {
                    let run = self.start(config, pool, hosted);
                    pools.push(run.pool.clone());
                    self.running.insert(pool.name.clone(), run);
                }
            }
        }
        let next = &mut self.next;
        let member = || {
            *next += 1;
            *next - 1
        };
        let running = &self.running;
        let number = |name: &str| running.get(name).map(|run| run.pool.member);
        let of: HashMap<Member, &Run> = running.values().map(|run| (run.pool.member, run)).collect();
        let plan_of = |pool: Member, name: &str| of.get(&pool)?.slots.tenant_plans.get(name).copied();
        let left = self.tenancy.apply(config, prepared, member, number, &plan_of);
        let route = |route: &file::Route| Route {
            pool: pools[route.pool].clone(),
            class: route.default_class.clone(),
            tenant: None,
        };
        let mut routes: Vec<Route> = config.routes.iter().map(route).collect();
        routes.extend(hosted.into_iter().map(|route| Route {
            pool: pools[route.pool].clone(),
            class: route.class,
            tenant: self.tenancy.tenant(&route.tenant),
        }));
        let asking = config.ratelimit.clone().map(|file| RateLimitConfig { file, pools });
        (Routing::Table { table: prepared.table.clone(), routes }, asking, left)
    }

    /// Descriptors that are guaranteed to no pool.
    fn spare(&self, config: &file::Service) -> u64 {
        config.descriptors - config.pools.iter().map(|pool| pool.descriptors).sum::<u64>()
    }

    pub fn share(&self, config: &file::Service, member: Member, pool: &file::Pool) {
        self.descriptors.borrow_mut().set_limits(member, pool.descriptors, config.descriptors);
        self.bytes.borrow_mut().set_limits(member, pool.buffered_bytes, config.buffered_bytes);
    }

    /// Ends the pools that the file no longer has, once nothing of theirs is open.
    pub fn retire(&mut self, config: &file::Service, clients: &ConnectionTable) {
        let gone: Vec<String> = self.running.keys().cloned().collect();
        for name in gone.into_iter().filter(|name| !config.pools.iter().any(|pool| pool.name == *name)) {
            let Some(run) = self.running.remove(&name) else { continue };
            if let Some(watch) = run.watch {
                watch.abort();
            }
            clients.unassign(run.pool.member, &self.door);
            // Nothing is guaranteed to it any more, but what is open still needs a connection to a node.
            self.descriptors.borrow_mut().set_limits(run.pool.member, 0, config.descriptors);
            self.bytes.borrow_mut().set_limits(run.pool.member, 0, config.buffered_bytes);
            run.pool.retire();
        }
    }
}
