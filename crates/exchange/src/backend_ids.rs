//! The ids of backends in the decision module.

use std::collections::HashMap;
use violetyoke_decision::interface::BackendId;

/// Ids of backends by name. An id is never reused, so that a late response from a removed backend is not
/// attributed to a new one.
///
/// ```
/// use violetyoke_exchange::BackendIds;
///
/// let mut ids = BackendIds::default();
/// let first = ids.get_or_assign("a");
/// assert_eq!(ids.get_or_assign("a"), first);
/// ids.retain(|_| false);
/// assert_ne!(ids.get_or_assign("a"), first);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BackendIds {
    ids: HashMap<String, BackendId>,
    next: BackendId,
}

impl BackendIds {
    /// The id of a backend, if it has one.
    pub fn get(&self, name: &str) -> Option<BackendId> {
        self.ids.get(name).copied()
    }

    /// The id of a backend, a new one if it has none.
    pub fn get_or_assign(&mut self, name: &str) -> BackendId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = self.next;
        self.next += 1;
        self.ids.insert(name.to_string(), id);
        id
    }

    /// The name of a backend. Searches all names.
    pub fn name(&self, id: BackendId) -> Option<&str> {
        self.ids.iter().find(|(_, assigned)| **assigned == id).map(|(name, _)| name.as_str())
    }

    /// Removes the names of all ids for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(BackendId) -> bool) {
        self.ids.retain(|_, id| keep(*id));
    }

    /// All names with their ids.
    pub fn as_map(&self) -> &HashMap<String, BackendId> {
        &self.ids
    }
}
