//! Stable indices of a pool's classes and plans, by which the decision module identifies them.

use crate::request::{RequestFormat, Rules};
use std::collections::HashMap;
use violetyoke_config as file;
use violetyoke_decision::interface::{self, Plan};

/// A class and a plan that each pool has besides those of the configuration file: the class of rate limit
/// queries, and a plan without a quota for requests that have been counted already. No name in a file can begin
/// with `?`.
const QUERY_CLASS: &str = "?asks";
const UNCOUNTED_PLAN: &str = "?free";

/// Assigns indices to classes and plans. An index is never reused for another class or plan, because open
/// requests refer to it.
#[derive(Clone, Default)]
pub struct ClassPlanIndices {
    classes: Vec<(String, interface::Class)>,
    plans: Vec<(String, Plan)>,
    /// The indices of the tenants' plans, by name.
    pub tenant_plans: HashMap<String, u16>,
}

impl ClassPlanIndices {
    /// Brings the classes and plans up to date with the configuration. A class whose idempotency, deduplication
    /// scope or deduplication window has changed gets a new index, so that open requests end by the rules under
    /// which they were accepted.
    pub fn update(&mut self, config: &file::Pool, tenant_plans: &[(String, Plan)]) {
        for class in &config.classes {
            let is_same = |old: &interface::Class| {
                (old.idempotency, old.dedup_scope, old.dedup_window)
                    == (class.class.idempotency, class.class.dedup_scope, class.class.dedup_window)
            };
            match self.classes.iter_mut().find(|(name, old)| *name == class.name && is_same(old)) {
                Some(existing) => existing.1 = class.class.clone(),
                None => self.classes.push((class.name.clone(), class.class.clone())),
            }
        }
        if !self.classes.iter().any(|(name, _)| name == QUERY_CLASS) {
            // The same deadline as the first class, so that queries do not distort the learned latencies.
            let template = config.classes[0].class.clone();
            let class = interface::Class {
                idempotency: interface::Idempotency::Idempotent,
                admission_only: true,
                ..template
            };
            self.classes.push((QUERY_CLASS.to_string(), class));
            self.plans.push((UNCOUNTED_PLAN.to_string(), Plan { value: 1.0, ..Plan::default() }));
        }
        for (name, plan) in &config.plans {
            match self.plans.iter_mut().find(|(existing, _)| existing == name) {
                Some(existing) => existing.1 = plan.clone(),
                None => self.plans.push((name.clone(), plan.clone())),
            }
        }
        for (name, plan) in tenant_plans {
            let next = self.plans.len() as u16;
            let index = *self.tenant_plans.entry(name.clone()).or_insert(next);
            match self.plans.get_mut(usize::from(index)) {
                Some(existing) => existing.1 = plan.clone(),
                None => self.plans.push((name.clone(), plan.clone())),
            }
        }
    }

    /// The names by index, by which requests select a class and a plan. Entries that the file no longer has are
    /// empty, which no request can name.
    fn names(&self, config: &file::Pool) -> (Vec<String>, Vec<String>) {
        let class = |(name, class): &(String, interface::Class)| {
            let is_configured = config.classes.iter().any(|new| new.name == *name && new.class == *class);
            if is_configured {
                name.clone()
            } else {
                String::new()
            }
        };
        let plan = |(name, _): &(String, Plan)| {
            let is_configured = config.plans.iter().any(|(new, _)| new == name);
            if is_configured {
                name.clone()
            } else {
                String::new()
            }
        };
        (self.classes.iter().map(class).collect(), self.plans.iter().map(plan).collect())
    }

    pub fn settings(&self, config: &file::Pool) -> interface::Settings {
        let classes = self.classes.iter().map(|(_, class)| class.clone()).collect();
        config.settings(classes, self.plans.iter().map(|(_, plan)| plan.clone()).collect())
    }

    pub fn rules(&self, config: &file::Pool) -> Rules {
        let (classes, plans) = self.names(config);
        let index = |names: &[String], name: &Option<String>| {
            let name = name.as_ref()?;
            names.iter().position(|existing| existing == name).map(|index| index as u16)
        };
        let plan = index(&plans, &config.default_plan);
        let class = index(&classes, &config.default_class);
        let uncounted_plan = self.plans.iter().position(|(name, _)| name == UNCOUNTED_PLAN).unwrap_or(0);
        Rules::new(&self.settings(config), classes, plans, RequestFormat::Service { plan, class })
            .with_uncounted_plan(uncounted_plan as u16)
    }
}
