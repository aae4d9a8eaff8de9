//! What a process of one ingress hands down to the next, in names that both know.

use super::config::Names;
use super::discovery::{Target, TargetList};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use violetyoke_decision::interface::{BackendId, Micros};
use violetyoke_decision::LearnedState;

/// Its form goes with [`violetyoke_succession::VERSION`]: the two change together.
#[derive(Clone, Default, Deserialize, Serialize)]
pub struct Inheritance {
    /// The list of nodes as it was last told.
    nodes: Vec<Target>,
    /// The numbers that nodes, classes and plans go by in `belief`.
    numbers: BTreeMap<BackendId, String>,
    classes: Vec<String>,
    plans: Vec<String>,
    /// Nodes put back by hand: since when they were out, and since when they are back.
    pub back: BTreeMap<String, (Micros, Micros)>,
    pub belief: LearnedState,
}

impl Inheritance {
    pub fn new(
        nodes: Vec<Target>,
        ids: &HashMap<String, BackendId>,
        names: &Names,
        back: BTreeMap<String, (Micros, Micros)>,
        belief: LearnedState,
    ) -> Inheritance {
        let mut numbers = BTreeMap::new();
        numbers.extend(ids.iter().map(|(node, id)| (*id, node.clone())));
        let (classes, plans) = (names.classes.clone(), names.plans.clone());
        Inheritance { nodes, numbers, classes, plans, back, belief }
    }

    /// The list of nodes, to be told as one held before a restart; none: that process had none.
    pub fn list(&mut self) -> Option<TargetList> {
        let members = std::mem::take(&mut self.nodes);
        let list = TargetList { revision: 0, complete: true, members, cached: true };
        Some(list).filter(|list| !list.members.is_empty())
    }

    /// What is believed, in the numbers of this process.
    pub fn belief(self, ids: &HashMap<String, BackendId>, names: &Names) -> LearnedState {
        let Inheritance { numbers, classes, plans, mut belief, .. } = self;
        let place = |here: &[String], there: &[String], number: usize| {
            there.get(number).and_then(|name| here.iter().position(|here| here == name))
        };
        belief.renumber(
            |id| numbers.get(&id).and_then(|node| ids.get(node)).copied(),
            |class| place(&names.classes, &classes, class),
            |plan| place(&names.plans, &plans, plan),
        );
        belief
    }
}

#[cfg(test)]
mod tests;
