//! Updates of the configuration and of the backend list, sent by registries in full or as a change of the known version.

use super::ControlClient;
use slog::{error, info, warn};
use std::collections::BTreeSet;
use std::fmt::Display;
use violetyoke_api::change::ConfigurationChange;
use violetyoke_api::Configuration;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{BackendList, BackendListChange, Revision};

impl ControlClient {
    /// Installs a full state.
    pub(super) fn on_full_state(
        &mut self,
        revision: Revision,
        evacuated: BTreeSet<String>,
        configuration: &Compressed,
    ) {
        match configuration.decode::<Configuration>() {
            Ok(configuration) => self.install(revision, evacuated, configuration),
            Err(error) => self.log_undecodable(&error),
        }
        self.poll();
    }

    /// Applies a change to the state in force and installs the result. If the change is based on another state, requests the
    /// full state.
    pub(super) fn on_state_change(
        &mut self,
        from: Revision,
        revision: Revision,
        evacuated: BTreeSet<String>,
        change: &Compressed,
    ) {
        let change = match change.decode::<ConfigurationChange>() {
            Ok(change) => change,
            Err(error) => {
                self.log_undecodable(&error);
                return self.poll();
            }
        };
        match self.changed_configuration(from, &change) {
            Some(configuration) => self.install(revision, evacuated, configuration),
            None if revision > self.proxy.configuration.revision() => return self.poll_full_state(),
            None => {}
        }
        self.poll();
    }

    /// The result of a change to the configuration in force; `None` if the change is based on another revision or does not
    /// apply.
    fn changed_configuration(&self, from: Revision, change: &ConfigurationChange) -> Option<Configuration> {
        let base = self.proxy.configuration.snapshot().filter(|active| active.revision() == from)?;
        let changed = change.apply(base.configuration());
        changed.inspect_err(|error| warn!(self.proxy.log, "change does not apply"; "error" => %error)).ok()
    }

    /// Puts a configuration in force if it is newer than the one in force.
    fn install(&self, revision: Revision, evacuated: BTreeSet<String>, configuration: Configuration) {
        let proxy = &self.proxy;
        if revision <= proxy.configuration.revision() {
            return;
        }
        // `violetyoke_emulator::change_costs` reads from this line when each proxy has installed a change.
        info!(proxy.log, "in force"; "version" => configuration.version, "epoch" => revision.epoch,
            "evacuated" => evacuated.len());
        proxy.backends.configure(&configuration.services, evacuated);
        let active = proxy.configuration.install(revision, configuration);
        proxy.quota.retain_tenants(&active.routing().tenants);
        let routes = active.configuration().routes.iter().map(|route| route.name.as_str()).collect();
        proxy.splits.retain(&routes);
        proxy.pending.wake_all();
        proxy.freshness.on_updated();
    }

    /// Replaces the list of backends with a full list.
    pub(super) fn on_backend_list(&mut self, list: BackendList) {
        if self.proxy.backends.replace_list(list) {
            self.on_backends_changed();
        }
    }

    /// Applies a change to the list of backends. If the change is based on another list than the one in force, polls the
    /// registries, which learn from the poll which list is in force here.
    pub(super) fn on_backend_list_change(&mut self, change: BackendListChange) {
        if change.from != self.proxy.backends.list_digest() {
            self.poll();
        } else if self.proxy.backends.apply_list_change(change) {
            self.on_backends_changed();
        }
    }

    fn on_backends_changed(&mut self) {
        let backends = &self.proxy.backends;
        self.proxy.connection_pool.retain(|id| backends.is_available(id));
        self.proxy.pending.wake_all();
        self.poll();
    }

    fn log_undecodable(&self, error: &impl Display) {
        error!(self.proxy.log, "undecodable configuration"; "error" => %error);
    }
}
