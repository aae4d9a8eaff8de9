//! Nodes that operators have taken out of use, by their names, whatever the list says of them meanwhile.

use crate::Micros;
use std::collections::BTreeMap;

/// Which nodes are ejected by hand, and since when.
#[derive(Clone, Debug, Default)]
pub struct ManualEjections {
    ejected: BTreeMap<String, Micros>,
    /// Those that were restored: when they were ejected, and when they were restored.
    restored: BTreeMap<String, (Micros, Micros)>,
}

impl ManualEjections {
    /// Nodes that were ejected already when this process started, as an earlier one left them.
    #[must_use]
    pub fn new(ejected: impl IntoIterator<Item = (String, Micros)>) -> ManualEjections {
        ManualEjections { ejected: ejected.into_iter().collect(), restored: BTreeMap::new() }
    }

    /// Nodes that were restored and are not known to have started since, with when they were ejected and when they were
    /// restored, for a process that takes over.
    #[must_use]
    pub fn restored(&self) -> &BTreeMap<String, (Micros, Micros)> {
        &self.restored
    }

    /// Takes over the nodes that an earlier process has restored. One that is ejected here stays so.
    pub fn import_restored(&mut self, restored: BTreeMap<String, (Micros, Micros)>) {
        let restored = restored.into_iter().filter(|(id, _)| !self.ejected.contains_key(id));
        self.restored.extend(restored.collect::<Vec<_>>());
    }

    /// Ejects a node; whether it was not ejected before. One call to restore it undoes any number of these.
    pub fn eject(&mut self, id: &str, now: Micros) -> bool {
        if self.ejected.contains_key(id) {
            return false;
        }
        self.restored.remove(id);
        self.ejected.insert(id.to_string(), now);
        true
    }

    /// Restores a node; whether it was ejected.
    pub fn restore(&mut self, id: &str, now: Micros) -> bool {
        let Some(since) = self.ejected.remove(id) else { return false };
        self.restored.insert(id.to_string(), (since, now));
        true
    }

    /// Whether a node is ejected.
    #[must_use]
    pub fn is_ejected(&self, id: &str) -> bool {
        self.ejected.contains_key(id)
    }

    /// When a node is assumed to have started, by what the list says of it. One that was ejected has most likely been
    /// restarted meanwhile, and a cold node must not get a warm one's load: until the list names a start since its
    /// ejection, it counts as started when it was restored.
    pub fn assumed_start(&mut self, id: &str, listed: Micros) -> Micros {
        match self.restored.get(id) {
            Some((since, _)) if listed > *since => {
                self.restored.remove(id);
                listed
            }
            Some((_, restored)) => *restored,
            None => listed,
        }
    }

    /// Adopts the ejections that another process has written down; the nodes that are different now.
    pub fn update_from(&mut self, written: &BTreeMap<String, Micros>, now: Micros) -> Vec<String> {
        let restored: Vec<String> =
            self.ejected.keys().filter(|id| !written.contains_key(*id)).cloned().collect();
        let ejected: Vec<String> =
            written.keys().filter(|id| !self.ejected.contains_key(*id)).cloned().collect();
        for id in &restored {
            self.restore(id, now);
        }
        for id in &ejected {
            self.eject(id, written[id]);
        }
        restored.into_iter().chain(ejected).collect()
    }
}
