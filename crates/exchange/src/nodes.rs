//! The numbers by which the module knows nodes.

use std::collections::HashMap;
use violetyoke_decision::interface::BackendId;

/// Names and their numbers. A number is never given twice: an answer to an old node must not count for a new one.
#[derive(Clone, Debug, Default)]
pub struct Numbers {
    known: HashMap<String, BackendId>,
    next: BackendId,
}

impl Numbers {
    pub fn get(&self, name: &str) -> Option<BackendId> {
        self.known.get(name).copied()
    }

    /// The name's number, a new one where it has none.
    pub fn number(&mut self, name: &str) -> BackendId {
        if let Some(known) = self.known.get(name) {
            return *known;
        }
        let number = self.next;
        self.next += 1;
        self.known.insert(name.to_string(), number);
        number
    }

    pub fn name(&self, number: BackendId) -> Option<&str> {
        self.known.iter().find(|(_, known)| **known == number).map(|(name, _)| name.as_str())
    }

    /// Forgets the names of all other numbers.
    pub fn retain(&mut self, keep: impl Fn(BackendId) -> bool) {
        self.known.retain(|_, number| keep(*number));
    }

    pub fn as_map(&self) -> &HashMap<String, BackendId> {
        &self.known
    }
}
