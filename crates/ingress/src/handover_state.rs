//! The state that one process of an ingress hands over to the next. Nodes, classes and plans are identified by
//! name, because their numbers differ between processes.

use super::config::Names;
use super::discovery::{Target, TargetList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use violetyoke_decision::interface::{BackendId, Micros};
use violetyoke_decision::LearnedState;

/// The state of a process. A change of its fields requires a new [`violetyoke_succession::VERSION`].
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct HandoverState {
    /// The list of nodes that the process had last.
    nodes: Vec<Target>,
    /// Names of the nodes, and of the classes and plans by index, to which the numbers in `learned_state`
    /// refer.
    #[serde(rename = "numbers")]
    node_names: BTreeMap<BackendId, String>,
    classes: Vec<String>,
    plans: Vec<String>,
    /// Nodes restored by an operator: when each was ejected, and when it was restored.
    #[serde(rename = "back")]
    pub restored_nodes: BTreeMap<String, (Micros, Micros)>,
    #[serde(rename = "belief")]
    pub learned_state: LearnedState,
}

impl HandoverState {
    pub fn new(
        nodes: Vec<Target>,
        ids: &HashMap<String, BackendId>,
        names: &Names,
        restored_nodes: BTreeMap<String, (Micros, Micros)>,
        learned_state: LearnedState,
    ) -> HandoverState {
        let mut node_names = BTreeMap::new();
        node_names.extend(ids.iter().map(|(node, id)| (*id, node.clone())));
        let (classes, plans) = (names.classes.clone(), names.plans.clone());
        HandoverState { nodes, node_names, classes, plans, restored_nodes, learned_state }
    }

    /// Takes the list of nodes, marked as one from before a restart. `None`: that process had no list.
    pub fn take_target_list(&mut self) -> Option<TargetList> {
        let members = std::mem::take(&mut self.nodes);
        let list = TargetList { revision: 0, complete: true, members, cached: true };
        Some(list).filter(|list| !list.members.is_empty())
    }

    /// Returns the learned state with the numbers of this process.
    pub fn into_learned_state(self, ids: &HashMap<String, BackendId>, names: &Names) -> LearnedState {
        let HandoverState { node_names, classes, plans, mut learned_state, .. } = self;
        let renumbered = |own_names: &[String], exported_names: &[String], number: usize| {
            exported_names.get(number).and_then(|name| own_names.iter().position(|own| own == name))
        };
        learned_state.renumber(
            |id| node_names.get(&id).and_then(|node| ids.get(node)).copied(),
            |class| renumbered(&names.classes, &classes, class),
            |plan| renumbered(&names.plans, &plans, plan),
        );
        learned_state
    }
}

#[cfg(test)]
mod tests;
