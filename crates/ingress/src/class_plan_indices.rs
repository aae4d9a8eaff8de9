//! A pool's classes and plans at the numbers that its module knows them by.

use crate::request::{RequestFormat, Rules};
use std::collections::HashMap;
use violetyoke_config as file;
use violetyoke_decision::interface::{self as words, Plan};

/// What a pool has beside the file's classes and plans: a class for what only asks, and a plan without a quota for
/// what has been counted elsewhere. Their names are none that a file can have.
const ASKS: &str = "?asks";
const FREE: &str = "?free";

/// Numbers are never given to anything else: requests that are open go by them.
#[derive(Clone, Default)]
pub struct ClassPlanIndices {
    classes: Vec<(String, words::Class)>,
    plans: Vec<(String, Plan)>,
    /// The numbers of plans that are tenants', by their names.
    pub tenant_plans: HashMap<String, u16>,
}

impl ClassPlanIndices {
    /// Finds places for a pool's classes and plans. A class that would have other effects than the one of its
    /// name before is another class: what is open ends by the rules that it came under.
    pub fn update(&mut self, config: &file::Pool, tenant_plans: &[(String, Plan)]) {
        for class in &config.classes {
            let alike = |old: &words::Class| {
                (old.idempotency, old.dedup_scope, old.dedup_window)
                    == (class.class.idempotency, class.class.dedup_scope, class.class.dedup_window)
            };
            match self.classes.iter_mut().find(|(name, old)| *name == class.name && alike(old)) {
                Some(slot) => slot.1 = class.class.clone(),
                None => self.classes.push((class.name.clone(), class.class.clone())),
            }
        }
        if !self.classes.iter().any(|(name, _)| name == ASKS) {
            // As long as the first class's: what is learned of times is not to be moved by it.
            let like = config.classes[0].class.clone();
            let class =
                words::Class { idempotency: words::Idempotency::Idempotent, admission_only: true, ..like };
            self.classes.push((ASKS.to_string(), class));
            self.plans.push((FREE.to_string(), Plan { value: 1.0, ..Plan::default() }));
        }
        for (name, plan) in &config.plans {
            match self.plans.iter_mut().find(|(known, _)| known == name) {
                Some(slot) => slot.1 = plan.clone(),
                None => self.plans.push((name.clone(), plan.clone())),
            }
        }
        for (name, plan) in tenant_plans {
            let next = self.plans.len() as u16;
            let number = *self.tenant_plans.entry(name.clone()).or_insert(next);
            match self.plans.get_mut(usize::from(number)) {
                Some(slot) => slot.1 = plan.clone(),
                None => self.plans.push((name.clone(), plan.clone())),
            }
        }
    }

    /// The names by which requests find them; what the file no longer has is not to be found.
    fn names(&self, config: &file::Pool) -> (Vec<String>, Vec<String>) {
        let class = |(name, class): &(String, words::Class)| {
            let there = config.classes.iter().any(|new| new.name == *name && new.class == *class);
            if there {
                name.clone()
            } else {
                String::new()
            }
        };
        let plan = |(name, _): &(String, Plan)| {
            let there = config.plans.iter().any(|(new, _)| new == name);
            if there {
                name.clone()
            } else {
                String::new()
            }
        };
        (self.classes.iter().map(class).collect(), self.plans.iter().map(plan).collect())
    }

    pub fn settings(&self, config: &file::Pool) -> words::Settings {
        let classes = self.classes.iter().map(|(_, class)| class.clone()).collect();
        config.settings(classes, self.plans.iter().map(|(_, plan)| plan.clone()).collect())
    }

    pub fn rules(&self, config: &file::Pool) -> Rules {
        let (classes, plans) = self.names(config);
        let place = |names: &[String], name: &Option<String>| {
            let name = name.as_ref()?;
            names.iter().position(|known| known == name).map(|place| place as u16)
        };
        let plan = place(&plans, &config.default_plan);
        let class = place(&classes, &config.default_class);
        let uncounted_plan = self.plans.iter().position(|(name, _)| name == FREE).unwrap_or(0);
        Rules::new(&self.settings(config), classes, plans, RequestFormat::Service { plan, class })
            .with_uncounted_plan(uncounted_plan as u16)
    }
}
