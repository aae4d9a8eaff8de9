//! The registry's state, and the dispatch of inputs and ticks.

use super::batch::Batch;
use super::command_client::CommandClient;
use super::input::{Input, InputSender};
use super::peers::RegistryPeers;
use super::proxies::ProxyConnections;
use super::publisher::Publisher;
use super::stores::StoreConnections;
use crate::backend_list::BackendListCache;
use crate::core_contact::CoreContact;
use crate::operation_relay::OperationRelay;
use crate::quota_shards::QuotaShards;
use crate::refusals::RefusalTracker;
use crate::response_reads::ResponseReads;
use crate::sessions::Sessions;
use crate::Millis;
use slog::Logger;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use violetyoke_api::settings::{Process, Settings};
use violetyoke_transport::messages::ControlState;

/// The state of a registry. One thread owns it and handles each input without waiting.
pub(super) struct Registry {
    pub(super) settings: Settings,
    pub(super) inputs: InputSender,
    pub(super) log: Logger,
    started_at: Instant,
    /// The newest control state that a store has sent.
    pub(super) state: ControlState,
    pub(super) sessions: Sessions,
    pub(super) backend_lists: BackendListCache,
    pub(super) contact: CoreContact,
    pub(super) quota: QuotaShards,
    pub(super) proxies: ProxyConnections,
    pub(super) peers: RegistryPeers,
    pub(super) stores: StoreConnections,
    pub(super) commands: CommandClient,
    pub(super) operations: OperationRelay,
    pub(super) response_reads: ResponseReads,
    pub(super) refusals: RefusalTracker,
    pub(super) publisher: Publisher,
    pub(super) batch: Batch,
    /// Notified whenever a proxy reports the versions that it has.
    pub(super) proxy_reported: Rc<Notify>,
}

impl Registry {
    /// A registry that has received nothing yet. `incarnation` is a random number that identifies this process.
    pub(super) fn new(settings: Settings, incarnation: u64, inputs: InputSender, log: Logger) -> Registry {
        let local = settings.local.ip;
        Registry {
            started_at: Instant::now(),
            state: ControlState::default(),
            sessions: Sessions::default(),
            backend_lists: BackendListCache::new(settings.terms.bounds.max_list_interval_ms()),
            contact: CoreContact::default(),
            quota: QuotaShards::new(local),
            proxies: ProxyConnections::default(),
            peers: RegistryPeers::new(settings.internal_port(Process::Registry), &inputs),
            stores: StoreConnections::new(local, settings.internal_port(Process::Store), &inputs),
            commands: CommandClient::new(incarnation),
            operations: OperationRelay::new(incarnation),
            response_reads: ResponseReads::default(),
            refusals: RefusalTracker::default(),
            publisher: Publisher::default(),
            batch: Batch::default(),
            proxy_reported: Rc::default(),
            settings,
            inputs,
            log,
        }
    }

    /// Milliseconds since the start of the process, and never 0.
    pub(super) fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis + 1
    }

    /// Handles a batch of inputs, then sends the updates and reports that have become due.
    pub(super) fn on_inputs(&mut self, inputs: impl Iterator<Item = Input>) {
        for input in inputs {
            self.on_input(input);
        }
        self.finish_batch();
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Inbound { connection, event } => self.on_inbound_event(connection, event),
            Input::Peer { registry, event } => self.on_peer_event(registry, event),
            Input::Store { store, event } => self.on_store_event(store, event),
            Input::BackendsPolled { started_at, result } => self.on_backends_polled(started_at, result),
        }
    }

    /// Does the work that depends on time alone.
    pub(super) fn on_tick(&mut self) {
        let now = self.now();
        self.connect_to_core();
        self.dispatch_commands(now);
        self.operations.expire(now);
        self.expire_response_reads(now);
        self.poll_platform(now);
        self.report_backend_list(now);
        self.batch.request_publication();
        self.finish_batch();
    }

    /// Opens connections to the store and the registry on each core machine that has become known.
    fn connect_to_core(&mut self) {
        let seeds = self.settings.seeds();
        let machines: BTreeSet<Ipv4Addr> = seeds.into_iter().chain(self.stores.known()).collect();
        self.stores.connect_to(&machines);
        let local = self.settings.local.ip;
        self.peers.connect_to(machines.into_iter().filter(|machine| *machine != local));
    }

    /// Sends the commands that are due to the leading store.
    pub(super) fn dispatch_commands(&mut self, now: Millis) {
        self.commands.dispatch(now, self.stores.leader());
    }
}
