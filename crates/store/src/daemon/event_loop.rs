//! The task that owns the replicas: it handles inputs one by one, and carries out the effects.

use super::disk_writer::DiskWriter;
use super::encoder::Encoder;
use super::input::{Input, InputSender};
use super::links::Links;
use super::operations::{Operations, STARTED_AT};
use super::publisher::Publisher;
use super::storage::Storage;
use crate::consensus::{Effect, Event, Replica};
use crate::operations;
use slog::{info, warn, Logger};
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{interval, Instant, MissedTickBehavior};
use violetyoke_api::settings::{Process, Settings};
use violetyoke_transport::codec::{decode, encode_deflated};
use violetyoke_transport::connection::{self, ConnectionId};
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::{Epoch, PeerMessage, StoreReply, StoreRequest};
use violetyoke_transport::peers::PeerConnections;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// On a shutdown, the handover may take `grace-s` less this time, which is reserved for the process to end.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(1_500);

/// The epoch and role of the store, as last logged.
#[derive(Default, PartialEq)]
struct LeadershipStatus {
    epoch: Epoch,
    is_leader: bool,
}

pub(super) struct EventLoop {
    replica: Replica,
    operations: Operations,
    started_at: Instant,
    disk_writer: DiskWriter,
    links: Links,
    publisher: Publisher,
    encoder: Encoder,
    log: Logger,
    logged: LeadershipStatus,
    handover_timeout: Duration,
    /// When the process received its shutdown request.
    shutdown_at: Option<Instant>,
}

impl EventLoop {
    pub(super) fn new(
        settings: &Settings,
        replica: Replica,
        operations: Operations,
        storage: Storage,
        inputs: InputSender,
        log: Logger,
    ) -> EventLoop {
        let grace = settings.terms.bounds.grace_period();
        let port = settings.internal_port(Process::Store);
        EventLoop {
            started_at: Instant::now(),
            disk_writer: DiskWriter::start(storage, inputs.clone()),
            links: Links::new(PeerConnections::new(port, move |ip, event| {
                inputs.send(Input::Peer(ip, event));
            })),
            replica,
            operations,
            publisher: Publisher::default(),
            encoder: Encoder::default(),
            log,
            logged: LeadershipStatus::default(),
            handover_timeout: grace.saturating_sub(SHUTDOWN_RESERVE),
            shutdown_at: None,
        }
    }

    /// Runs until a shutdown is complete.
    pub(super) async fn run(mut self, mut queue: UnboundedReceiver<Input>, mut lifecycle: Lifecycle) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(input) = queue.recv() => self.on_input(input),
                Some(settings) = lifecycle.settings.recv() => self.replica.add_seeds(settings.seeds()),
                Some(()) = lifecycle.shutdown.recv(), if self.shutdown_at.is_none() => self.on_shutdown(),
                _ = ticks.tick() => {
                    self.on_tick();
                    if self.is_shutdown_complete() {
                        info!(self.log, "stopped");
                        return;
                    }
                }
            }
        }
    }

    fn on_shutdown(&mut self) {
        info!(self.log, "shutting down"; "leader" => self.replica.is_leader());
        self.shutdown_at = Some(Instant::now());
        self.step(Event::Shutdown);
    }

    fn is_shutdown_complete(&self) -> bool {
        self.shutdown_at.is_some_and(|since| {
            since.elapsed() > self.handover_timeout || self.replica.is_handover_complete()
        })
    }

    fn on_tick(&mut self) {
        let local_ip = self.replica.node().ip;
        self.links.peers.connect_to(self.replica.known_stores().into_iter().filter(|ip| *ip != local_ip));
        let disk_healthy = self.disk_writer.is_healthy() && self.operations.is_disk_healthy();
        self.operations.update_core(&mut self.replica);
        self.step(Event::Tick { disk_healthy });
        self.step_operations(operations::Event::Tick);
    }

    fn on_input(&mut self, input: Input) {
        match input {
            Input::Persisted(number) => {
                if self.disk_writer.on_persisted(number) {
                    info!(self.log, "disk writes succeed again");
                }
                self.step(Event::Persisted(number));
            }
            Input::WriteFailed(error) => {
                if self.disk_writer.on_write_failed() {
                    warn!(self.log, "disk writes fail"; "error" => #&error);
                }
            }
            Input::OperationsAppended(number) => {
                let event = self.operations.on_appended(number);
                self.step_operations(event);
            }
            Input::OperationAppendFailed(error) => self.operations.on_append_failed(&error),
            Input::Peer(ip, event) => self.on_peer_event(ip, event),
            Input::Accepted(id, event) => self.on_accepted_event(id, event),
        }
    }

    fn on_peer_event(&mut self, ip: Ipv4Addr, event: connection::Event) {
        match event {
            connection::Event::Connected(sender) => {
                self.links.peers.connected(ip, sender);
                self.replica.request_heartbeat();
            }
            connection::Event::Disconnected => self.links.peers.disconnected(ip),
            connection::Event::Message(message) => match decode(&message) {
                Ok(StoreRequest::Envelope(envelope)) => self.step(Event::Message(envelope)),
                Ok(StoreRequest::Replication { from, message }) => {
                    self.step_operations(operations::Event::Message { from, message });
                }
                // Requests of registries arrive only on connections that the registries have opened.
                Ok(
                    StoreRequest::Watch { .. }
                    | StoreRequest::Execute { .. }
                    | StoreRequest::Operation { .. },
                ) => {}
                Err(error) => warn!(self.log, "undecodable message"; "error" => %error),
            },
        }
    }

    fn on_accepted_event(&mut self, id: ConnectionId, event: connection::Event) {
        match event {
            connection::Event::Connected(sender) => self.links.accepted.open(id, sender),
            connection::Event::Disconnected => {
                self.links.accepted.close(id);
                self.publish();
            }
            connection::Event::Message(message) => match decode(&message) {
                Ok(request) => self.on_request(id, request),
                Err(error) => warn!(self.log, "undecodable message"; "error" => %error),
            },
        }
    }

    fn on_request(&mut self, id: ConnectionId, request: StoreRequest) {
        match request {
            StoreRequest::Envelope(envelope) => {
                // This connection may be open earlier than the one that this store opens to the sender.
                self.links.accepted.set_peer(id, envelope.from.ip);
                self.step(Event::Message(envelope));
            }
            StoreRequest::Watch { registry, known } => {
                self.links.accepted.watch(id, registry, known);
                self.publish();
            }
            StoreRequest::Operation { request_id, request } => {
                let client = self.links.accepted.open_request(id, request_id);
                self.step_operations(operations::Event::Request { client, request });
            }
            StoreRequest::Replication { from, message } => {
                self.links.accepted.set_peer(id, from.ip);
                self.step_operations(operations::Event::Message { from, message });
            }
            StoreRequest::Execute { request_id, command } => {
                let client = self.links.accepted.open_request(id, request_id);
                self.step(Event::Command { client, command });
            }
        }
    }

    /// Passes an event to the consensus replica and carries out its effects, in order.
    fn step(&mut self, event: Event) {
        let now = self.now();
        for effect in self.replica.handle(now, event) {
            match effect {
                Effect::Send { to, message } => self.send(to, message),
                Effect::Persist { number, state } => self.disk_writer.write(number, state),
                Effect::Reply { client, outcome } => self.links.accepted.reply(client, |request_id| {
                    encode_deflated(&StoreReply::Completed { request_id, outcome })
                }),
                Effect::NotifyWatchers => self.publish(),
            }
        }
        self.encoder.clear_peer_message();
        self.operations.observe(now, &self.replica, &mut self.links);
    }

    /// The time of both replicas (ms): the time since the start, plus `STARTED_AT`.
    fn now(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64 + STARTED_AT
    }

    /// Passes an event to the operation replica.
    fn step_operations(&mut self, event: operations::Event) {
        let now = self.now();
        self.operations.step(now, event, self.replica.node(), &mut self.links);
    }

    /// Sends a message to another store, on a connection that either side opened. The message is dropped if there is
    /// none: the replica repeats messages that it depends on.
    fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        if let Some(sender) = self.links.sender_to(to) {
            // Replicas accept messages in any order, so small ones needn't wait until a large state is sent.
            sender.send_urgent(self.encoder.encode_envelope(self.replica.node(), message));
        }
    }

    fn publish(&mut self) {
        let status = LeadershipStatus { epoch: self.replica.epoch(), is_leader: self.replica.is_leader() };
        if status != self.logged {
            info!(self.log, "leadership"; "epoch" => status.epoch, "leader" => status.is_leader);
            self.logged = status;
        }
        self.publisher.publish(&self.replica, &mut self.links.accepted, &mut self.encoder);
    }
}
