//! What others may ask of a register between events.

use super::{Guards, Register, Role};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{ControlState, StoreNode};

impl Register {
    /// The state that all data_replicas have, as far as this store knows.
    pub fn committed(&self) -> Option<&ControlState> {
        (self.committed == self.durable.held.revision && self.committed.epoch > 0)
            .then_some(&self.durable.held)
    }

    /// Machines whose stores are asked first, as the settings have them by now.
    pub fn seeds(&mut self, seeds: Vec<Ipv4Addr>) {
        self.known.extend(seeds.into_iter().filter(|ip| *ip != self.me.ip));
    }

    pub fn node(&self) -> &StoreNode {
        &self.me
    }

    pub fn epoch(&self) -> u64 {
        self.durable.config.epoch
    }

    pub fn active(&self) -> bool {
        matches!(self.role, Role::Active)
    }

    /// All stores that this one knows of, itself among them.
    pub fn stores(&self) -> Vec<Ipv4Addr> {
        self.known.iter().copied().chain([self.me.ip]).collect()
    }

    #[doc(hidden)]
    pub fn set_guards(&mut self, guards: Guards) {
        self.guards = guards;
    }
}
