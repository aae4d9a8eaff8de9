//! Circles among the files of a crate: the strongly connected components of the graph of their uses.

use super::modules::Modules;
use std::collections::{BTreeMap, BTreeSet};

/// The groups of modules that use one another, each sorted by name.
pub(super) fn find(modules: &Modules) -> Vec<Vec<String>> {
    let uses = modules.uses();
    let reachable: BTreeMap<&String, BTreeSet<&String>> =
        uses.keys().map(|module| (module, reachable_from(module, &uses))).collect();
    let is_mutual = |a: &String, b: &String| reachable[a].contains(b) && reachable[b].contains(a);
    let mut groups: Vec<Vec<String>> = Vec::new();
    for module in uses.keys().filter(|module| is_mutual(module, module)) {
        match groups.iter_mut().find(|group| is_mutual(&group[0], module)) {
            Some(group) => group.push(module.clone()),
            None => groups.push(vec![module.clone()]),
        }
    }
    groups
}

/// Every module that `start` uses, directly or through others; `start` itself only if a circle leads back to it.
fn reachable_from<'a>(
    start: &'a String,
    uses: &'a BTreeMap<String, BTreeSet<String>>,
) -> BTreeSet<&'a String> {
    let mut reached = BTreeSet::new();
    let mut pending = vec![start];
    while let Some(module) = pending.pop() {
        for target in uses.get(module).into_iter().flatten() {
            if reached.insert(target) {
                pending.push(target);
            }
        }
    }
    reached
}
