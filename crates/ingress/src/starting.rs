//! One pool's start, and its change while it runs.

use crate::backend::ConnectionBudget;
use crate::class_plan_indices::ClassPlanIndices;
use crate::config::Names;
use crate::driver::{Driver, DriverSetup};
use crate::embedded::Link;
use crate::external_limiter::ExternalLimiterClient;
use crate::nodes::{static_target_list, watch_nodes};
use crate::pool::Pool;
use crate::precheck::PoolPrecheck;
use crate::running::{Pools, Run};
use crate::Message;
use std::rc::Rc;
use tokio::sync::mpsc;
use violetyoke_config as file;
use violetyoke_decision::interface::Plan;
use violetyoke_operations::ManualEjections;

impl Pools {
    fn link(&self, pool: &file::Pool) -> Link {
        let space: Rc<str> = pool.quota.as_str().into();
        match pool.counter {
            Some(address) => Link::Remote { address, space: Some(space) },
            None => Link::Embedded { counts: self.counts.clone(), space },
        }
    }

    pub fn start(&mut self, config: &file::Service, file: &file::Pool, hosted: &[(String, Plan)]) -> Run {
        let member = self.next;
        self.next += 1;
        self.share(config, member, file);
        let own = config.turns.then(|| self.sets.add(member, file.weight));
        let set = own.clone().unwrap_or_else(|| self.door.clone());
        let mut slots = ClassPlanIndices::default();
        slots.update(file, hosted);
        let (messages, inbox) = mpsc::unbounded_channel();
        let bytes = Some(self.bytes.clone());
        let pool = Pool::new(
            file.name.clone(),
            member,
            slots.rules(file),
            messages.clone(),
            file.open_requests,
            bytes,
            own,
        );
        pool.quota_headers.set(file.fields);
        let pool = Rc::new(pool);
        let setup = DriverSetup {
            predecessor_alive: false,
            imported_state: None,
            settings: slots.settings(file),
            names: names(file),
            seed: self.clock.now() ^ (member as u64) << 48,
            budget: ConnectionBudget::new(self.descriptors.clone(), member),
            initial_targets: static_target_list(&file.nodes, 1),
            counter: Some(self.link(file)),
            peers: None,
            ejections: ManualEjections::default(),
        };
        let turns = config.turns;
        let (clock, driven) = (self.clock, pool.clone());
        let (descriptors, bytes) = (self.descriptors.clone(), self.bytes.clone());
        let sets = self.sets.clone();
        self.sets.spawn(&set, async move {
            // Made here, where the tasks that it starts are the pool's.
            Driver::new(setup, clock, messages, driven).run(inbox).await;
            descriptors.borrow_mut().retire(member);
            bytes.borrow_mut().retire(member);
            if turns {
                sets.remove(member);
            }
        });
        let checks = Rc::new(PoolPrecheck::new(pool.messages()));
        pool.set_precheck(checks.clone());
        let (config, hosted) = (file.clone(), hosted.to_vec());
        let mut run = Run { pool, config, slots, checks, watch: None, revision: 1, hosted };
        self.consult(&run, file);
        watch_nodes(&mut run, &self.sets, &set);
        run
    }

    /// Whom the pool asks from now on before it admits. What is known of a server stays where it still is.
    fn consult(&self, run: &Run, file: &file::Pool) {
        let old = run.checks.external_limiter();
        run.checks.set_external_limiter(file.consult.clone().map(|consult| match old {
            Some(old) if old.has_address_of(&consult) => {
                old.update_settings(consult);
                old
            }
            _ => {
                let set = run.pool.set.clone().unwrap_or_else(|| self.door.clone());
                let (descriptors, name) = (self.descriptors.clone(), file.name.clone());
                ExternalLimiterClient::new(consult, self.clock, descriptors, run.pool.member, set, name)
            }
        }));
    }

    pub fn change(
        &self,
        config: &file::Service,
        run: &mut Run,
        file: &file::Pool,
        hosted: &[(String, Plan)],
    ) {
        self.share(config, run.pool.member, file);
        if run.config == *file && run.hosted == hosted {
            return;
        }
        run.hosted = hosted.to_vec();
        self.sets.set_weight(run.pool.member, file.weight);
        run.slots.update(file, hosted);
        run.pool.update(run.slots.rules(file), file.open_requests);
        run.pool.quota_headers.set(file.fields);
        let settings = run.slots.settings(file);
        run.pool.send(Message::Reconfigure(Box::new((settings, names(file)))));
        if run.config.counter != file.counter {
            run.pool.send(Message::CounterReplaced(self.link(file)));
        }
        self.consult(run, file);
        let moved = run.config.nodes != file.nodes;
        run.config = file.clone();
        if moved {
            run.revision += 1;
            let set = run.pool.set.clone().unwrap_or_else(|| self.door.clone());
            watch_nodes(run, &self.sets, &set);
        }
    }
}

fn names(pool: &file::Pool) -> Names {
    Names { zones: pool.zones.clone(), ..Names::default() }
}
