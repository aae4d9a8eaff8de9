//! Nodes that operators have ejected. A node stays ejected until an operator restores it, even if it leaves the node list
//! and returns.

use crate::Micros;
use std::collections::BTreeMap;

/// The manually ejected nodes, by node id, with the time of their ejection.
#[derive(Clone, Debug, Default)]
pub struct ManualEjections {
    ejected: BTreeMap<String, Micros>,
    /// Restored nodes that are not known to have started since their ejection: the time of the ejection, and the time of
    /// the restoration.
    restored: BTreeMap<String, (Micros, Micros)>,
}

impl ManualEjections {
    /// Starts with the nodes that an earlier process has ejected.
    #[must_use]
    pub fn new(ejected: impl IntoIterator<Item = (String, Micros)>) -> ManualEjections {
        ManualEjections { ejected: ejected.into_iter().collect(), restored: BTreeMap::new() }
    }

    /// The restored nodes that are not known to have started since their ejection, for the state handover to a newer
    /// process: the time of the ejection, and the time of the restoration.
    #[must_use]
    pub fn restored(&self) -> &BTreeMap<String, (Micros, Micros)> {
        &self.restored
    }

    /// Imports the nodes that an earlier process has restored. A node that is ejected here stays ejected.
    pub fn import_restored(&mut self, restored: BTreeMap<String, (Micros, Micros)>) {
        let restored = restored.into_iter().filter(|(id, _)| !self.ejected.contains_key(id));
        self.restored.extend(restored.collect::<Vec<_>>());
    }

    /// Ejects a node, and returns whether it was not ejected before. Ejections do not nest: one call to `restore` undoes any
    /// number of calls.
    pub fn eject(&mut self, id: &str, now: Micros) -> bool {
        if self.ejected.contains_key(id) {
            return false;
        }
        self.restored.remove(id);
        self.ejected.insert(id.to_string(), now);
        true
    }

    /// Restores a node, and returns whether it was ejected.
    pub fn restore(&mut self, id: &str, now: Micros) -> bool {
        let Some(ejected_at) = self.ejected.remove(id) else { return false };
        self.restored.insert(id.to_string(), (ejected_at, now));
        true
    }

    /// Whether a node is ejected.
    #[must_use]
    pub fn is_ejected(&self, id: &str) -> bool {
        self.ejected.contains_key(id)
    }

    /// The time at which a node is assumed to have started, where the node list gives `listed_start`. An ejected node has
    /// most likely been restarted before it was restored, and a node that is warming up must not get full load. A restored
    /// node therefore counts as started at its restoration, until the list gives a start after its ejection.
    pub fn assumed_start(&mut self, id: &str, listed_start: Micros) -> Micros {
        match self.restored.get(id) {
            Some((ejected_at, _)) if listed_start > *ejected_at => {
                self.restored.remove(id);
                listed_start
            }
            Some((_, restored_at)) => *restored_at,
            None => listed_start,
        }
    }

    /// Applies the ejections that another process has stored, and returns the nodes that were ejected or restored by it.
    pub fn update_from(&mut self, stored: &BTreeMap<String, Micros>, now: Micros) -> Vec<String> {
        let restored: Vec<String> =
            self.ejected.keys().filter(|id| !stored.contains_key(*id)).cloned().collect();
        let ejected: Vec<String> =
            stored.keys().filter(|id| !self.ejected.contains_key(*id)).cloned().collect();
        for id in &restored {
            self.restore(id, now);
        }
        for id in &ejected {
            self.eject(id, stored[id]);
        }
        restored.into_iter().chain(ejected).collect()
    }
}
