//! The configuration in force.

use std::cell::RefCell;
use std::rc::Rc;
use violetyoke_api::routing::RoutingTable;
use violetyoke_api::Configuration;
use violetyoke_transport::messages::Revision;

/// A configuration with the routing table that was built from it. It is never changed, but replaced as a unit: a request
/// uses the one that was in force when it started.
#[derive(Debug)]
pub(crate) struct ActiveConfiguration {
    revision: Revision,
    routing: RoutingTable,
    /// The source of the routing table. The next change is applied to it.
    configuration: Configuration,
}

impl ActiveConfiguration {
    /// Routes, services, tenants and limits, indexed for lookup.
    pub(crate) fn routing(&self) -> &RoutingTable {
        &self.routing
    }

    /// The configuration itself, as the operator sent it.
    pub(crate) fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// The revision of the control state that this configuration came with.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }
}

/// Holds the configuration in force.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationStore {
    active: RefCell<Option<Rc<ActiveConfiguration>>>,
}

impl ConfigurationStore {
    /// The configuration in force; `None` until the first one is installed.
    pub(crate) fn snapshot(&self) -> Option<Rc<ActiveConfiguration>> {
        self.active.borrow().clone()
    }

    /// The revision in force; the lowest revision until the first configuration is installed.
    pub(crate) fn revision(&self) -> Revision {
        self.active.borrow().as_ref().map(|active| active.revision).unwrap_or_default()
    }

    /// Puts a configuration in force. The caller has checked that its revision is newer.
    pub(crate) fn install(
        &self,
        revision: Revision,
        configuration: Configuration,
    ) -> Rc<ActiveConfiguration> {
        let routing = RoutingTable::new(&configuration);
        let active = Rc::new(ActiveConfiguration { revision, routing, configuration });
        *self.active.borrow_mut() = Some(active.clone());
        active
    }
}
