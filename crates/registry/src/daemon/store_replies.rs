//! Handles messages from stores: their status, newer control states, and the outcomes of commands.

use super::registry::Registry;
use super::stores::StoreStatus;
use crate::commands::CommandResponse;
use crate::Millis;
use slog::{info, warn};
use std::net::Ipv4Addr;
use violetyoke_api::Configuration;
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{Event, Sender};
use violetyoke_transport::messages::{ControlState, ShardOwners, StoreReply, StoreRequest};

impl Registry {
    pub(super) fn on_store_event(&mut self, store: Ipv4Addr, event: Event) {
        let now = self.now();
        match event {
            Event::Connected(sender) => self.on_store_connected(store, sender),
            Event::Disconnected => {
                let connection = self.stores.disconnected(store);
                self.commands.connection_lost(connection);
                self.on_operations_lost(connection);
            }
            Event::Message(message) => match decode(&message) {
                Ok(reply) => self.on_store_reply(now, store, reply),
                Err(error) => warn!(self.log, "undecodable message"; "store" => %store, "error" => %error),
            },
        }
        self.dispatch_commands(now);
    }

    /// Subscribes to control states that are newer than the present one.
    fn on_store_connected(&mut self, store: Ipv4Addr, sender: Sender) {
        let known = self.state.revision;
        sender.send(encode(&StoreRequest::Watch { registry: self.settings.local.ip, known }));
        self.stores.connected(store, sender);
    }

    fn on_store_reply(&mut self, now: Millis, store: Ipv4Addr, reply: StoreReply) {
        match reply {
            StoreReply::Status { epoch, is_leader, shard_owners, stores } => {
                self.stores.extend_known(stores);
                self.stores.set_status(store, StoreStatus { epoch, is_leader });
                self.on_shard_owners(shard_owners);
            }
            StoreReply::State(state) => self.on_state(state),
            StoreReply::Completed { request_id, outcome } => {
                let from = self.stores.connection_to(store);
                self.commands.complete(now, CommandResponse { from, request_id, outcome });
            }
            StoreReply::Operation { request_id, reply } => {
                self.on_operation_reply(self.stores.connection_to(store), request_id, reply);
            }
        }
    }

    fn on_shard_owners(&mut self, owners: ShardOwners) {
        if owners.fencing_token > self.stores.shard_owners.fencing_token {
            self.quota.advance_fence(owners.fencing_token);
            self.stores.shard_owners = owners;
            self.batch.request_publication();
        }
    }

    fn on_state(&mut self, state: ControlState) {
        if state.revision > self.state.revision {
            info!(self.log, "in force"; "version" => state.version, "epoch" => state.revision.epoch,
                "evacuated" => state.evacuated.len());
            self.apply_state(state);
        }
    }

    /// Applies a newer control state.
    fn apply_state(&mut self, state: ControlState) {
        let has_other_text = state.text != self.state.text;
        match Configuration::decode(state.text.as_bytes()) {
            Ok(configuration) => {
                self.quota.set_limits(&configuration);
                self.publisher.install_state(&state, configuration, has_other_text);
            }
            // Stores only have configurations that a registry has validated, but that registry may be of a newer
            // build.
            Err(error) if has_other_text => {
                warn!(self.log, "configuration unreadable"; "version" => state.version,
                    "field" => &error.field, "reason" => &error.reason);
            }
            // The same text was unreadable before, or there is no configuration yet.
            Err(_) => {}
        }
        self.state = state;
        self.batch.request_publication();
    }
}
