//! Indices of classes and plans that stay valid when settings are replaced.

use violetyoke_decision::interface::{Class, Plan, Settings};

/// Assigns the indices that identify classes and plans in the decision module.
///
/// Open requests refer to their class by its index. The index of a class that is removed or changed therefore keeps its old
/// values, and the changed class gets a new index under the same name. A changed plan keeps its index, as its new values
/// apply to the present customers at once.
#[derive(Clone, Debug, Default)]
pub struct StableIndices {
    classes: Vec<(String, Class)>,
    plans: Vec<(String, Plan)>,
}

/// Settings with an entry for every index that was ever assigned.
pub struct IndexedSettings {
    /// The settings, including classes and plans that have been removed.
    pub settings: Settings,
    /// The name of each class, by index; empty if new requests cannot have the class.
    pub class_names: Vec<String>,
    /// The name of each plan, by index; empty if new requests cannot have the plan.
    pub plan_names: Vec<String>,
}

impl StableIndices {
    /// Assigns indices to the classes and plans of `settings`. `class_names` and `plan_names` are their names, in the same
    /// order.
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

    /// Appends new and changed classes.
    fn add_classes(&mut self, current: &[(String, Class)]) {
        for class in current {
            if !self.classes.contains(class) {
                self.classes.push(class.clone());
            }
        }
    }

    /// Replaces plans whose name is known, and appends the others.
    fn update_plans(&mut self, names: &[String], plans: &[Plan]) {
        for (name, plan) in names.iter().zip(plans) {
            match self.plans.iter_mut().find(|(known_name, _)| known_name == name) {
                Some((_, known_plan)) => *known_plan = plan.clone(),
                None => self.plans.push((name.clone(), plan.clone())),
            }
        }
    }
}
