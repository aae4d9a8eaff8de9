//! The client of the registries. It keeps a connection to each registry, polls for updates of the state that this proxy
//! has, and applies them.
//!
//! - `session` connects, and announces this proxy;
//! - `polling` requests updates, with one registry as the primary;
//! - `updates` installs configurations and backend lists;
//! - `membership` applies the registries' reports on proxies, registries and shard owners.

mod membership;
mod polling;
mod session;
mod updates;

use crate::freshness::FreshnessReply;
use crate::quota_client::OwnerReply;
use crate::state::Proxy;
use bytes::Bytes;
use slog::{info, warn};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::time::Instant;
use violetyoke_api::Settings;
use violetyoke_balancing::Millis;
use violetyoke_quota::Admission;
use violetyoke_transport::codec::decode;
use violetyoke_transport::connection::{Event, Sender};
use violetyoke_transport::messages::ProxyReply;

/// An event on the connection to a registry.
#[derive(Debug)]
pub(crate) struct RegistryEvent {
    pub(crate) registry: Ipv4Addr,
    pub(crate) event: Event,
}

/// The client and the state that only the client needs. State that other parts need is stored in [`Proxy`].
pub(crate) struct ControlClient {
    proxy: Rc<Proxy>,
    settings: Settings,
    /// Distinguishes this process from an earlier one on the same machine.
    incarnation: u64,
    /// The registry that is to send updates at once; the others wait before they send any.
    primary_registry: Option<Ipv4Addr>,
    /// When a primary registry was polled for the first time.
    first_poll_at: Option<Instant>,
}

impl ControlClient {
    /// Creates a client without connections; [`ControlClient::connect_to_known_registries`] opens them.
    pub(crate) fn new(proxy: Rc<Proxy>, settings: Settings, incarnation: u64) -> ControlClient {
        ControlClient { proxy, settings, incarnation, primary_registry: None, first_poll_at: None }
    }

    /// Applies new settings: only the seeds can change while the process runs.
    pub(crate) fn update_settings(&mut self, settings: Settings) {
        self.settings.network.seeds = settings.network.seeds;
    }

    /// Handles an event of the connection to a registry.
    pub(crate) fn on_event(&mut self, RegistryEvent { registry, event }: RegistryEvent) {
        match event {
            Event::Connected(sender) => self.on_connected(registry, sender),
            Event::Disconnected => self.on_disconnected(registry),
            Event::Message(message) => self.on_message(registry, &message),
        }
    }

    fn on_connected(&mut self, registry: Ipv4Addr, sender: Sender) {
        info!(self.proxy.log, "connected to registry"; "registry" => %registry);
        sender.send(self.session_message());
        self.proxy.operations.on_connected(&sender);
        self.proxy.registries.on_connected(registry, sender);
        self.poll();
    }

    fn on_disconnected(&mut self, registry: Ipv4Addr) {
        self.proxy.registries.on_disconnected(registry);
        self.proxy.quota.on_disconnected(registry);
        self.proxy.operations.on_disconnected(registry);
        self.apply_membership();
        self.poll();
    }

    fn on_message(&mut self, registry: Ipv4Addr, message: &Bytes) {
        match decode(message) {
            Ok(reply) => self.on_reply(registry, reply),
            Err(error) => warn!(self.proxy.log, "undecodable message"; "registry" => %registry,
                "error" => %error),
        }
    }

    fn on_reply(&mut self, registry: Ipv4Addr, reply: ProxyReply) {
        match reply {
            ProxyReply::FullState { revision, evacuated, configuration } => {
                self.on_full_state(revision, evacuated, &configuration);
            }
            ProxyReply::StateChange { from, revision, evacuated, change } => {
                self.on_state_change(from, revision, evacuated, &change);
            }
            ProxyReply::Freshness { request_id, newest } => {
                self.proxy.freshness.on_reply(FreshnessReply { registry, request_id, newest });
            }
            ProxyReply::BackendList(list) => self.on_backend_list(list),
            ProxyReply::BackendListChange(change) => self.on_backend_list_change(change),
            ProxyReply::Membership(membership) => self.on_membership(registry, membership),
            ProxyReply::Counted { request_id, retry_ms } => {
                self.on_owner_reply(registry, request_id, OwnerReply::Decided(admission(retry_ms)));
            }
            ProxyReply::NotOwner { request_id } => {
                self.on_owner_reply(registry, request_id, OwnerReply::NotOwner);
            }
            ProxyReply::Operation { request_id, reply, leader } => {
                let connection = self.proxy.registries.newest_connection(registry);
                self.proxy.operations.on_reply(connection, request_id, reply);
                if let Some(leader) = leader {
                    self.proxy.operations.on_leader_hint(leader);
                }
            }
            ProxyReply::Response { request_id, response } => {
                let connection = self.proxy.registries.newest_connection(registry);
                self.proxy.operations.on_response(connection, request_id, response);
            }
            ProxyReply::ReadResponse { request_id, holder } => {
                self.proxy.operations.on_read_response(registry, request_id, holder);
            }
        }
    }

    fn on_owner_reply(&self, registry: Ipv4Addr, request_id: u32, reply: OwnerReply) {
        let connection = self.proxy.registries.newest_connection(registry);
        self.proxy.quota.on_reply(connection, request_id, reply);
    }
}

/// Decodes an owner's decision: a request is denied if there is a time to retry after.
fn admission(retry_ms: Option<u32>) -> Admission {
    match retry_ms {
        None => Admission::Admitted,
        Some(ms) => Admission::Denied { retry_after_ms: Millis::from(ms) },
    }
}
