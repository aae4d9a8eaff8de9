//! The registry as a process.

mod listing;
mod orders;
mod outside;
mod proxies;
mod stores;
mod telling;

use crate::backends::Lists;
use crate::sessions::Sessions;
use crate::Millis;
use error_stack::{Report, ResultExt};
use orders::Clients;
use proxies::Proxies;
use slog::{info, Logger};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use stores::Stores;
use telling::Telling;
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::sync::Notify;
use tokio::time::{interval, Instant, MissedTickBehavior};
use violetyoke_api::settings::{Process, Settings};
use violetyoke_transport::codec::{decode, encode};
use violetyoke_transport::connection::{self, Sender};
use violetyoke_transport::daemon::StartError;
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::messages::{Backend, ControlState, Gossip, RegistryRequest};
use violetyoke_transport::net::{self, Listener};

/// After a SIGTERM, the longest that orders are waited for, and the least for answers to be on their way.
const LEAVES: Duration = Duration::from_millis(3_000);
const LINGERS: Duration = Duration::from_millis(200);
const TICK: Duration = Duration::from_millis(50);

/// The program, with the arguments after its name.
pub fn program(arguments: lexopt::Parser) -> std::process::ExitCode {
    let about =
        "The registry: one process on each core machine; it takes the outside calls for the store too.";
    violetyoke_transport::daemon::run("registry", about, arguments, run)
}

const FAILED: StartError = StartError("registry");

/// What comes in.
pub(crate) enum Input {
    /// From a proxy or a registry, on a connection of that number.
    Connection(u64, connection::Event),
    Registry(Ipv4Addr, connection::Event),
    Store(Ipv4Addr, connection::Event),
    Listed {
        asked_at: Millis,
        backends: Option<Vec<Backend>>,
    },
}

pub(crate) struct Registry {
    settings: Settings,
    begun: Instant,
    inputs: UnboundedSender<Input>,
    sessions: Sessions,
    lists: Lists,
    stores: Stores,
    orders: Clients,
    proxies: Proxies,
    telling: Telling,
    held: ControlState,
    /// Other registries: connections to them, and those that are here from them.
    registries: BTreeMap<Ipv4Addr, Option<Sender>>,
    heard: BTreeMap<u64, Ipv4Addr>,
    told_list: Millis,
    /// Told whenever a proxy says what it holds.
    polled: Rc<Notify>,
    log: Logger,
}

pub async fn run(
    settings: Settings,
    mut lifecycle: Lifecycle,
    log: Logger,
) -> Result<(), Report<StartError>> {
    let (inputs, mut queue) = unbounded_channel();
    let me = settings.local.ip;
    let inner = bind((me, settings.internal_port(Process::Registry)).into(), "network.internal-ports")?;
    let control = outside_address(settings.network.listen.control, "network.listen.control")?;
    let directory = outside_address(settings.network.listen.directory, "network.listen.directory")?;
    let (control, directory) =
        (bind(control, "network.listen.control")?, bind(directory, "network.listen.directory")?);
    let opened = inputs.clone();
    let numbers = std::cell::Cell::new(0u64);
    tokio::task::spawn_local(connection::accept_all(inner, move |_| {
        numbers.set(numbers.get() + 1);
        let (number, inputs) = (numbers.get(), opened.clone());
        move |event| drop(inputs.send(Input::Connection(number, event)))
    }));
    let registry = Rc::new(RefCell::new(Registry {
        begun: Instant::now(),
        sessions: Sessions::default(),
        lists: Lists::default(),
        stores: Stores::new(me, settings.internal_port(Process::Store)),
        orders: Clients::new(lifecycle.incarnation),
        proxies: Proxies::default(),
        telling: Telling::default(),
        held: ControlState::default(),
        registries: BTreeMap::new(),
        heard: BTreeMap::new(),
        told_list: 0,
        polled: Rc::default(),
        settings,
        inputs,
        log,
    }));
    tokio::task::spawn_local(outside::serve(control, registry.clone(), outside::Door::Control));
    tokio::task::spawn_local(outside::serve(directory, registry.clone(), outside::Door::Directory));
    info!(registry.borrow().log, "begins");
    let mut leaves: Option<Instant> = None;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = queue.recv() => match input {
                Some(input) => registry.borrow_mut().input(input),
                None => return Ok(()),
            },
            Some(settings) = lifecycle.settings.recv() => registry.borrow_mut().settings = settings,
            Some(()) = lifecycle.shutdown.recv(), if leaves.is_none() => {
                info!(registry.borrow().log, "leaves");
                leaves = Some(Instant::now());
            }
            _ = ticks.tick() => {
                registry.borrow_mut().tick();
                // Orders that are on their way are answered first.
                let idle = registry.borrow().orders.is_empty();
                if leaves.is_some_and(|since| since.elapsed() > LEAVES || (idle && since.elapsed() > LINGERS)) {
                    info!(registry.borrow().log, "ends");
                    return Ok(());
                }
            }
        }
    }
}

fn bind(address: SocketAddr, field: &str) -> Result<Listener, Report<StartError>> {
    net::listen(address).change_context(FAILED).attach_with(|| format!("{field}: {address}"))
}

fn outside_address(address: Option<SocketAddr>, field: &str) -> Result<SocketAddr, Report<StartError>> {
    address.ok_or_else(|| Report::new(FAILED).attach(format!("{field} is missing")))
}

impl Registry {
    pub(crate) fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis + 1
    }

    /// This registry and those whose connections stand.
    fn live(&self) -> Vec<Ipv4Addr> {
        let live: BTreeSet<Ipv4Addr> = self.heard.values().copied().chain([self.settings.local.ip]).collect();
        live.into_iter().collect()
    }

    fn tick(&mut self) {
        let now = self.now();
        let seeds = self.settings.seeds().into_iter();
        let known: BTreeSet<Ipv4Addr> = seeds.chain(self.stores.known()).collect();
        self.stores.connect(&known, &self.inputs);
        for ip in known {
            if ip != self.settings.local.ip && !self.registries.contains_key(&ip) {
                self.registries.insert(ip, None);
                let inputs = self.inputs.clone();
                let address = SocketAddrV4::new(ip, self.settings.internal_port(Process::Registry));
                tokio::task::spawn_local(connection::maintain(address, move |event| {
                    drop(inputs.send(Input::Registry(ip, event)));
                }));
            }
        }
        self.orders.step(now, &self.stores);
        self.ask_platform(now);
        self.tell_list(now);
        self.publish();
    }

    fn input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Listed { asked_at, backends } => self.listed(now, asked_at, backends),
            Input::Store(ip, event) => self.store(ip, event),
            Input::Registry(ip, connection::Event::Connected(sender)) => {
                self.registries.insert(ip, Some(sender));
                self.gossip(self.lists.newest(now, true));
            }
            Input::Registry(ip, connection::Event::Disconnected) => drop(self.registries.insert(ip, None)),
            Input::Registry(_, connection::Event::Message(_)) => {}
            Input::Connection(number, connection::Event::Connected(sender)) => {
                self.proxies.opened(number, sender);
            }
            Input::Connection(number, connection::Event::Disconnected) => {
                self.proxies.closed(number);
                if let Some(ip) = self.heard.remove(&number) {
                    if !self.heard.values().any(|other| *other == ip) {
                        self.sessions.lost(ip);
                    }
                }
                if self.sessions.end(number) {
                    self.gossip(None);
                }
                self.publish();
            }
            Input::Connection(number, connection::Event::Message(frame)) => match decode(&frame) {
                Ok(RegistryRequest::Proxy(ask)) => self.proxy(number, ask),
                Ok(RegistryRequest::Registry(gossip)) => {
                    self.heard.insert(number, gossip.from);
                    self.sessions.told(gossip.from, gossip.sessions);
                    self.proxies.absent.merge(now, &gossip.partitioned);
                    if let Some(list) = gossip.backends {
                        self.lists.told(now, list);
                    }
                    self.publish();
                }
                Err(error) => slog::warn!(self.log, "unread frame"; "why" => error.to_string()),
            },
        }
    }

    /// Tells all other registries the sessions that stand here.
    fn gossip(&self, list: Option<violetyoke_transport::messages::BackendList>) {
        let away = self.proxies.absent.partitioned();
        let gossip = Gossip {
            from: self.settings.local.ip,
            sessions: self.sessions.own(),
            partitioned: away,
            backends: list,
        };
        let frame = encode(&RegistryRequest::Registry(gossip));
        for sender in self.registries.values().flatten() {
            sender.send(frame.clone());
        }
    }
}
