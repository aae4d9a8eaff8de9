//! Decides whether this registry is in contact with the majority of the core, from the number of registries that are
//! connected.
//!
//! A leader that is partitioned from the core assigns all quota shards to the registries that it still reaches, so
//! the newest assignment alone does not show the size of the core. The size is therefore taken from the last
//! assignment that was in force while more than half of the core was connected.

/// A registry's view of the core at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoreView {
    /// The number of registries that the settings name as seeds.
    pub seeds: usize,
    /// The number of registries that own quota shards according to the newest assignment.
    pub shard_owners: usize,
    /// The number of registries that are connected, including this one.
    pub connected: usize,
}

/// The known size of the core, and whether this registry is connected to more than half of it.
#[derive(Clone, Copy, Debug, Default)]
pub struct CoreContact {
    core_size: usize,
    is_established: bool,
}

impl CoreContact {
    /// Updates the size of the core and the contact from the present view. Returns whether contact is established.
    pub fn update(&mut self, view: CoreView) -> bool {
        let core_size = self.core_size.max(view.shard_owners).max(view.seeds);
        self.is_established = view.connected * 2 > core_size;
        if self.is_established && view.shard_owners > 0 {
            self.core_size = view.shard_owners;
        }
        self.is_established
    }

    /// Whether more than half of the core was connected at the last update.
    pub fn is_established(&self) -> bool {
        self.is_established
    }
}
