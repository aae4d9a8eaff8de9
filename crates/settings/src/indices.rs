//! Indices of classes and plans that stay the same while settings are replaced.

use violetyoke_decision::interface::{Class, Plan, Settings};

/// Assigns the indices by which the decision module knows classes and plans.
///
/// Requests that are open refer to their class by its index. So a class that is dropped or changed keeps its index, and
/// a changed one gets another under the same name. A plan belongs to its customers: it keeps its index through every
/// change.
#[derive(Clone, Debug, Default)]
pub struct StableIndices {
    classes: Vec<(String, Class)>,
    plans: Vec<(String, Plan)>,
}

/// Settings that have an entry for every index ever assigned.
pub struct IndexedSettings {
    /// The settings, with former classes and plans among the present ones.
    pub settings: Settings,
    /// The name of each class, by index; empty for one that new requests can't have.
    pub class_names: Vec<String>,
    /// The name of each plan, by index; empty for one that new requests can't have.
    pub plan_names: Vec<String>,
}

impl StableIndices {
    /// Assigns indices to the classes and plans of `settings`, which have these names in this order.
    pub fn assign(
        &mut self,
        settings: Settings,
        class_names: &[String],
        plan_names: &[String],
    ) -> IndexedSettings {
        let current: Vec<_> = class_names.iter().cloned().zip(settings.classes.iter().cloned()).collect();
        self.add_classes(&current);
        self.update_plans(plan_names, &settings.plans);
        let name_if = |is_current: bool, name: &String| if is_current { name.clone() } else { String::new() };
        IndexedSettings {
            class_names: self
                .classes
                .iter()
                .map(|class| name_if(current.contains(class), &class.0))
                .collect(),
            plan_names: self.plans.iter().map(|(name, _)| name_if(plan_names.contains(name), name)).collect(),
            settings: Settings {
                classes: self.classes.iter().map(|(_, class)| class.clone()).collect(),
                plans: self.plans.iter().map(|(_, plan)| plan.clone()).collect(),
                ..settings
            },
        }
    }

    /// Appends the classes that are new or changed.
    fn add_classes(&mut self, current: &[(String, Class)]) {
        for class in current {
            if !self.classes.contains(class) {
                self.classes.push(class.clone());
            }
        }
    }

    /// Replaces the plans that are known by name, and appends the others.
    fn update_plans(&mut self, names: &[String], plans: &[Plan]) {
        for (name, plan) in names.iter().zip(plans) {
            match self.plans.iter_mut().find(|(known, _)| known == name) {
                Some((_, known)) => *known = plan.clone(),
                None => self.plans.push((name.clone(), plan.clone())),
            }
        }
    }
}
