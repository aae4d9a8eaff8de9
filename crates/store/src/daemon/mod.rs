//! The store as a process: connections, the clock and the disk round the register.

mod encoder;
mod keeper;
mod watchers;

use crate::register::{Effect, Event, Register, Start};
use encoder::Encoder;
use error_stack::{Report, ResultExt};
use keeper::{Keeper, Place};
use slog::{info, Logger};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::{interval, Instant, MissedTickBehavior};
use violetyoke_api::settings::{Process, Settings};
use violetyoke_transport::codec::decode;
use violetyoke_transport::connection::{self, Sender};
use violetyoke_transport::daemon::StartError;
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::{StoreNode, StoreRequest};
use violetyoke_transport::net;
use watchers::Watchers;

/// After a SIGTERM others have until so long before the end of `grace-s` to take over what this store has.
const LEAVE_RESERVE: Duration = Duration::from_millis(1_500);
const TICK: Duration = Duration::from_millis(50);

/// The program, with the arguments after its name.
pub fn program(arguments: lexopt::Parser) -> std::process::ExitCode {
    let about = "The store of configuration: one process on each core machine.";
    violetyoke_transport::daemon::run("store", about, arguments, run)
}

const FAILED: StartError = StartError("store");

/// What comes in: from connections by their number, from the disk, from the clock.
pub(crate) enum Input {
    Connection(u64, connection::Event),
    Peer(Ipv4Addr, connection::Event),
    Kept(u64),
}

struct Daemon {
    register: Register,
    me: StoreNode,
    port: u16,
    begun: Instant,
    keeper: Keeper,
    inputs: UnboundedSender<Input>,
    /// Connections to other stores, and those that others opened: envelopes go on either.
    peers: HashMap<Ipv4Addr, Option<Sender>>,
    heard: HashMap<Ipv4Addr, (u64, Sender)>,
    watchers: Watchers,
    encoder: Encoder,
    log: Logger,
    told: (u64, bool),
}

pub async fn run(
    settings: Settings,
    mut lifecycle: Lifecycle,
    log: Logger,
) -> Result<(), Report<StartError>> {
    let folder = settings.local.data_dir.clone().unwrap_or_else(|| std::env::temp_dir().join("store"));
    let (place, kept) = Place::open(&folder)
        .change_context(FAILED)
        .attach_with(|| format!("self.data-dir: {}", folder.display()))?;
    let port = settings.internal_port(Process::Store);
    let listener = net::listen((settings.local.ip, port).into())
        .change_context(FAILED)
        .attach_with(|| format!("network.internal-ports: {}:{port}", settings.local.ip))?;
    let start = Start {
        ip: settings.local.ip,
        zone: settings.local.zone.clone(),
        seeds: settings.seeds(),
        tolerance: settings.terms.fault_tolerance.machines,
        kept: kept.unwrap_or_default(),
    };
    info!(log, "begins"; "epoch" => start.kept.config.epoch, "version" => start.kept.held.version);
    let (inputs, mut queue) = unbounded_channel();
    let opened = inputs.clone();
    let numbers = std::cell::Cell::new(0u64);
    tokio::task::spawn_local(connection::accept_all(listener, move |_| {
        numbers.set(numbers.get() + 1);
        let (number, inputs) = (numbers.get(), opened.clone());
        move |event| drop(inputs.send(Input::Connection(number, event)))
    }));
    let register = Register::new(start, 1, lifecycle.incarnation, settings.local.bootstrap);
    let mut daemon = Daemon {
        me: register.node().clone(),
        register,
        port,
        begun: Instant::now(),
        keeper: Keeper::new(place, inputs.clone()),
        inputs,
        peers: HashMap::new(),
        heard: HashMap::new(),
        watchers: Watchers::default(),
        encoder: Encoder::default(),
        log,
        told: (0, false),
    };
    let grace = Duration::from_secs_f64(settings.terms.bounds.grace_s.clamp(0.5, 60.0));
    let leave_timeout = grace.saturating_sub(LEAVE_RESERVE);
    let mut leaves: Option<Instant> = None;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = queue.recv() => match input {
                Some(input) => daemon.input(input),
                None => return Ok(()),
            },
            Some(settings) = lifecycle.settings.recv() => daemon.register.seeds(settings.seeds()),
            Some(()) = lifecycle.shutdown.recv(), if leaves.is_none() => {
                info!(daemon.log, "leaves"; "primary" => daemon.register.active());
                leaves = Some(Instant::now());
                daemon.handle(Event::Leave);
            }
            _ = ticks.tick() => {
                daemon.connect();
                let disk = daemon.keeper.answers();
                daemon.handle(Event::Tick { disk });
                if leaves.is_some_and(|since| since.elapsed() > leave_timeout || daemon.register.may_end()) {
                    info!(daemon.log, "ends");
                    return Ok(());
                }
            }
        }
    }
}

impl Daemon {
    fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64 + 1
    }

    /// Keeps a connection to each store that the register knows of.
    fn connect(&mut self) {
        for ip in self.register.stores() {
            if ip == self.me.ip || self.peers.contains_key(&ip) {
                continue;
            }
            self.peers.insert(ip, None);
            let inputs = self.inputs.clone();
            tokio::task::spawn_local(connection::maintain(SocketAddrV4::new(ip, self.port), move |event| {
                drop(inputs.send(Input::Peer(ip, event)));
            }));
        }
    }

    fn input(&mut self, input: Input) {
        match input {
            Input::Kept(number) => {
                self.keeper.kept(number);
                self.handle(Event::Kept(number));
            }
            Input::Peer(ip, connection::Event::Connected(sender)) => {
                self.peers.insert(ip, Some(sender));
                self.register.greet();
            }
            Input::Peer(ip, connection::Event::Disconnected) => drop(self.peers.insert(ip, None)),
            Input::Peer(_, connection::Event::Message(frame)) => self.frame(None, &frame),
            Input::Connection(number, connection::Event::Connected(sender)) => {
                self.watchers.opened(number, sender)
            }
            Input::Connection(number, connection::Event::Disconnected) => {
                self.heard.retain(|_, (other, _)| *other != number);
                self.watchers.closed(number);
                self.publish();
            }
            Input::Connection(number, connection::Event::Message(frame)) => self.frame(Some(number), &frame),
        }
    }

    /// What came on a connection that another opened (`number`), or on one of this store's own.
    fn frame(&mut self, number: Option<u64>, frame: &[u8]) {
        match (decode(frame), number) {
            (Ok(StoreRequest::Envelope(envelope)), number) => {
                // Its connection here may stand before this store's own to it does.
                if let Some((number, sender)) = number.and_then(|it| Some((it, self.watchers.sender(it)?))) {
                    self.heard.insert(envelope.from.ip, (number, sender));
                }
                self.handle(Event::Envelope(envelope));
            }
            (Ok(StoreRequest::Watch { registry, known: have }), Some(number)) => {
                self.watchers.watch(number, registry, have);
                self.publish();
            }
            (Ok(StoreRequest::Execute { request_id: call, command: order }), Some(number)) => {
                let client = self.watchers.client(number, call);
                self.handle(Event::Command { client, order });
            }
            (Ok(_), None) => {}
            (Err(error), _) => slog::warn!(self.log, "unread frame"; "why" => error.to_string()),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        for effect in self.register.handle(now, event) {
            match effect {
                Effect::Send { to, message } => {
                    let own = self.peers.get(&to).and_then(Option::as_ref);
                    if let Some(sender) = own.or(self.heard.get(&to).map(|(_, sender)| sender)) {
                        // The register bears messages in any order: small ones don't wait for a state.
                        sender.send_urgent(self.encoder.envelope(&self.me, message));
                    }
                }
                Effect::Keep { number, state } => self.keeper.keep(number, state),
                Effect::Answer { client, outcome } => self.watchers.answer(client, outcome),
                Effect::Publish => self.publish(),
            }
        }
        self.encoder.sent();
    }

    fn publish(&mut self) {
        let standing = (self.register.epoch(), self.register.active());
        if standing != self.told {
            self.told = standing;
            info!(self.log, "standing"; "epoch" => standing.0, "primary" => standing.1);
        }
        self.watchers.publish(&self.register, &mut self.encoder);
    }
}
