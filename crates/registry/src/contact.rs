//! Whether a registry is in contact with the core, by the number of registries that it hears.
//!
//! A primary store that is cut off deals all counts to the registries that it still hears, so the newest deal alone proves
//! nothing. The size of the core is that of the last deal which stood while more than half of it was heard.

/// What a registry knows of the size of the core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Contact {
    core: usize,
    stands: bool,
}

impl Contact {
    /// Notes how many registries the settings name as seeds, how many have a part in the newest deal, and how many are
    /// heard, this one among them; returns whether contact stands.
    pub fn see(&mut self, seeds: usize, dealt: usize, heard: usize) -> bool {
        let core = self.core.max(dealt).max(seeds);
        self.stands = heard * 2 > core;
        if self.stands && dealt > 0 {
            self.core = dealt;
        }
        self.stands
    }

    pub fn stands(&self) -> bool {
        self.stands
    }
}
