//! The start of a pool, and its update when the configuration changes.

use crate::backend::ConnectionBudget;
use crate::class_plan_indices::ClassPlanIndices;
use crate::config::Names;
use crate::driver::{Driver, DriverSetup};
use crate::embedded_counter::CounterLocation;
use crate::external_limiter::ExternalLimiterClient;
use crate::nodes::{static_target_list, watch_nodes};
use crate::pool::Pool;
use crate::precheck::PoolPrecheck;
use crate::running::{Pools, RunningPool};
use crate::Message;
use std::rc::Rc;
use tokio::sync::mpsc;
use violetyoke_config as file;
use violetyoke_decision::interface::Plan;
use violetyoke_operations::ManualEjections;

impl Pools {
    fn counter_location(&self, pool: &file::Pool) -> CounterLocation {
        let namespace: Rc<str> = pool.quota.as_str().into();
        match pool.counter {
            Some(address) => CounterLocation::Remote { address, namespace: Some(namespace) },
            None => CounterLocation::Embedded { counters: self.counters.clone(), namespace },
        }
    }

    pub fn start(
        &mut self,
        config: &file::Service,
        file: &file::Pool,
        tenant_plans: &[(String, Plan)],
    ) -> RunningPool {
        let member = self.next_member;
        self.next_member += 1;
        self.set_limits(config, member, file);
        let pool_set = config.schedules_by_weight.then(|| self.sets.add(member, file.weight));
        let set = pool_set.clone().unwrap_or_else(|| self.unassigned_tasks.clone());
        let mut indices = ClassPlanIndices::default();
        indices.update(file, tenant_plans);
        let (messages, inbox) = mpsc::unbounded_channel();
        let bytes = Some(self.bytes.clone());
        let pool = Pool::new(
            file.name.clone(),
            member,
            indices.rules(file),
            messages.clone(),
            file.open_requests,
            bytes,
            pool_set,
        );
        pool.quota_headers.set(file.quota_headers);
        let pool = Rc::new(pool);
        let setup = DriverSetup {
            predecessor_alive: false,
            imported_state: None,
            settings: indices.settings(file),
            names: names(file),
            seed: self.clock.now() ^ (member as u64) << 48,
            budget: ConnectionBudget::new(self.descriptors.clone(), member),
            initial_targets: static_target_list(&file.nodes, 1),
            counter: Some(self.counter_location(file)),
            peers: None,
            ejections: ManualEjections::default(),
        };
        let has_own_set = config.schedules_by_weight;
        let (clock, driver_pool) = (self.clock, pool.clone());
        let (descriptors, bytes) = (self.descriptors.clone(), self.bytes.clone());
        let sets = self.sets.clone();
        self.sets.spawn(&set, async move {
            // Created inside this task, so that the tasks that the driver spawns belong to the pool's set.
            Driver::new(setup, clock, messages, driver_pool).run(inbox).await;
            descriptors.borrow_mut().retire(member);
            bytes.borrow_mut().retire(member);
            if has_own_set {
                sets.remove(member);
            }
        });
        let precheck = Rc::new(PoolPrecheck::new(pool.messages()));
        pool.set_precheck(precheck.clone());
        let (config, tenant_plans) = (file.clone(), tenant_plans.to_vec());
        let mut run =
            RunningPool { pool, config, indices, precheck, discovery_task: None, revision: 1, tenant_plans };
        self.update_external_limiter(&run, file);
        watch_nodes(&mut run, &self.sets, &set);
        run
    }

    /// Updates the external rate limiter that the pool queries before admission. Its state is kept if its
    /// address is the same.
    fn update_external_limiter(&self, run: &RunningPool, file: &file::Pool) {
        let existing = run.precheck.external_limiter();
        run.precheck.set_external_limiter(file.external_limiter.clone().map(|consult| match existing {
            Some(existing) if existing.has_address_of(&consult) => {
                existing.update_settings(consult);
                existing
            }
            _ => {
                let set = run.pool.set.clone().unwrap_or_else(|| self.unassigned_tasks.clone());
                let (descriptors, name) = (self.descriptors.clone(), file.name.clone());
                ExternalLimiterClient::new(consult, self.clock, descriptors, run.pool.member, set, name)
            }
        }));
    }

    pub fn update(
        &self,
        config: &file::Service,
        run: &mut RunningPool,
        file: &file::Pool,
        tenant_plans: &[(String, Plan)],
    ) {
        self.set_limits(config, run.pool.member, file);
        if run.config == *file && run.tenant_plans == tenant_plans {
            return;
        }
        run.tenant_plans = tenant_plans.to_vec();
        self.sets.set_weight(run.pool.member, file.weight);
        run.indices.update(file, tenant_plans);
        run.pool.update(run.indices.rules(file), file.open_requests);
        run.pool.quota_headers.set(file.quota_headers);
        let settings = run.indices.settings(file);
        run.pool.send(Message::Reconfigure(Box::new((settings, names(file)))));
        if run.config.counter != file.counter {
            run.pool.send(Message::CounterReplaced(self.counter_location(file)));
        }
        self.update_external_limiter(run, file);
        let nodes_changed = run.config.nodes != file.nodes;
        run.config = file.clone();
        if nodes_changed {
            run.revision += 1;
            let set = run.pool.set.clone().unwrap_or_else(|| self.unassigned_tasks.clone());
            watch_nodes(run, &self.sets, &set);
        }
    }
}

fn names(pool: &file::Pool) -> Names {
    Names { zones: pool.zones.clone(), ..Names::default() }
}
