//! The ingress with a single pool, configured as the platform expects (see [`config`]).

use crate::backend::ConnectionBudget;
use crate::config::{self, Config, Names};
use crate::connections::ConnectionTable;
use crate::console::{self, Console};
use crate::driver::{Driver, DriverSetup};
use crate::embedded_counter::CounterLocation;
use crate::handover_folder::HandoverFolder;
use crate::poll_schedule::PollSchedule;
use crate::pool::Pool;
use crate::request::{RequestFormat, Rules};
use crate::router::{Router, Routing};
use crate::takeover::{request_predecessor_state, StateExporter};
use crate::{discovery, inherited_listener, peers, server, takeover, Clock, Message, Messages};
use siphasher::sip::SipHasher13;
use std::cell::Cell;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use violetyoke_decision::interface::Settings;
use violetyoke_operations::ManualEjections;
use violetyoke_settings::StableIndices;

/// Serves until SIGTERM. Returns once all accepted requests have a response.
pub async fn serve(config: Config) -> io::Result<()> {
    // Installed first, because a signal without a handler terminates the process.
    let terminate = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let clock = Clock::start();
    let (messages, inbox) = mpsc::unbounded_channel();
    let listener = match config.passed {
        Some(number) => inherited_listener::open(number)
            .map_err(|error| io::Error::new(error.kind(), format!("descriptor {number}: {error}")))?,
        None => server::listen(config.listen)?,
    };
    let console = config.console.map(server::listen).transpose()?;
    let process_name = format!("{:?} {}", config.console, clock.now());
    let handover = config.passed.and_then(|_| HandoverFolder::open(&config.name, process_name)).map(Rc::new);
    // Computed only if state can be handed over.
    let fingerprint = Rc::new(Cell::new(handover.as_ref().map_or(0, |_| fingerprint(&config.written))));
    let (old_process, imported_state) = match &handover {
        Some(handover) => request_predecessor_state(handover, &config.name, fingerprint.get(), clock).await,
        None => (None, None),
    };
    let peers = match config.peer_listen {
        Some(address) if config.settings.limits.peer_messages => {
            Some(peers::PeerSocket::open(address, &config, messages.clone())?)
        }
        _ => None,
    };
    let counter = config.counter.zip(config.settings.counter);
    let counter = counter.map(|(address, _)| CounterLocation::Remote { address, namespace: None });
    let mut indices = StableIndices::default();
    let (settings, names) = assign_indices(&mut indices, config.settings, config.names);
    let max_deadline = Rc::new(Cell::new(max_deadline(&settings)));
    let rules = Rules::new(&settings, names.classes.clone(), names.plans.clone(), RequestFormat::Platform);
    let pool = Pool::standalone(rules, messages.clone());
    let setup = DriverSetup {
        settings,
        names,
        seed: config.seed,
        budget: ConnectionBudget::standalone(config.sockets * 5 / 16),
        initial_targets: config.known.unwrap_or_default(),
        counter,
        peers,
        ejections: ManualEjections::new(handover.iter().flat_map(|handover| handover.manual_ejections())),
        predecessor_alive: old_process.is_some(),
        imported_state,
    };
    // An imported list need not be that of the known version.
    let has_known_version = setup.initial_targets.complete
        && !setup.initial_targets.members.is_empty()
        && setup.imported_state.is_none();
    let version = has_known_version.then_some(setup.initial_targets.revision);
    let gateways = setup.settings.gateways;
    let driver = Driver::new(setup, clock, messages.clone(), pool.clone());
    let driver = tokio::task::spawn_local(driver.run(inbox));
    let watch = PollSchedule::new(version, gateways, config.seed);
    let watch = discovery::watch_targets(watch, config.discovery, messages.clone());
    let reloader = Reloader {
        indices,
        written: config.written,
        counter: config.counter,
        discovery: config.discovery,
        seed: config.seed,
        watch: tokio::task::spawn_local(watch),
        pool: pool.clone(),
        messages: messages.clone(),
        max_deadline: max_deadline.clone(),
        fingerprint: fingerprint.clone(),
    };
    tokio::task::spawn_local(reloader.run(reload));
    let router = Router::new(Routing::SinglePool(pool.clone()));
    let shared =
        Rc::new(server::ServerState::new(router, clock, ConnectionTable::standalone(config.sockets), None));
    if let Some(listener) = console {
        let (shared, handover, max_callers) =
            (shared.clone(), handover.clone(), (config.sockets / 48).max(4));
        tokio::task::spawn_local(console::serve(listener, Console { shared, pool, handover, max_callers }));
    }
    if let Some(handover) = handover.clone() {
        shared.awaiting_takeover.set(true);
        let exporter = StateExporter::new(handover, config.name, fingerprint, clock, messages);
        tokio::task::spawn_local(takeover::run(exporter, shared.clone(), old_process));
    }
    let ended_handover = handover.clone();
    let is_taken_over = move || handover.as_ref().is_some_and(|handover| handover.is_taken_over());
    let shares_socket = config.passed.is_some();
    // A separate task, because the runtime polls the outermost future whenever any task is woken.
    let service = tokio::task::spawn_local(async move {
        let successor_check = shares_socket.then_some(&is_taken_over as &dyn Fn() -> bool);
        server::serve(listener, successor_check, shared, terminate, || max_deadline.get()).await
    });
    let result = tokio::select! {
        result = service => result.map_err(io::Error::other)?,
        // Without the decision module no request can be served, so the platform has to restart the process.
        _ = driver => Err(io::Error::other("the decision module has failed")),
    };
    // From now on the successor has the quotas for itself. Without the announcement it finds out by a time-out.
    if let Some(Err(error)) = ended_handover.map(|handover| handover.announce_end()) {
        eprintln!("handover: {error}");
    }
    result
}

/// The settings with stable indices of classes and plans, and the names in the order of these indices.
fn assign_indices(indices: &mut StableIndices, settings: Settings, names: Names) -> (Settings, Names) {
    let assigned = indices.assign(settings, &names.classes, &names.plans);
    (assigned.settings, Names { classes: assigned.class_names, plans: assigned.plan_names, ..names })
}

fn max_deadline(settings: &Settings) -> Duration {
    Duration::from_micros(settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
}

/// Applies reloaded configurations, each either completely or not at all.
struct Reloader {
    indices: StableIndices,
    /// The settings in force, as written in the file.
    written: serde_json::Value,
    counter: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: u64,
    watch: JoinHandle<()>,
    pool: Rc<Pool>,
    messages: Messages,
    /// The longest deadline of any class that open requests may have.
    max_deadline: Rc<Cell<Duration>>,
    fingerprint: Rc<Cell<u64>>,
}

impl Reloader {
    async fn run(mut self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            match config::reload(&self.written) {
                Ok(reloaded) => self.apply(reloaded),
                Err(error) => eprintln!("SIGHUP: the configuration in force stays: {error}"),
            }
        }
    }

    fn apply(&mut self, new: config::Reloaded) {
        eprintln!("SIGHUP: discovery {}, counter {:?}", new.discovery, new.counter);
        let gateways = new.settings.gateways;
        if new.written != self.written {
            let (settings, names) = assign_indices(&mut self.indices, new.settings, new.names);
            self.max_deadline.set(max_deadline(&settings));
            let rules =
                Rules::new(&settings, names.classes.clone(), names.plans.clone(), RequestFormat::Platform);
            // The driver is updated first: it must know a new class before a request of that class arrives.
            let _ = self.messages.send(Message::Reconfigure(Box::new((settings, names))));
            self.pool.update(rules, u32::MAX);
            self.written = new.written;
            self.fingerprint.set(fingerprint(&self.written));
        }
        if new.discovery != self.discovery {
            // Another discovery may have other versions, so a new watch starts with the complete list.
            self.watch.abort();
            (self.discovery, self.seed) = (new.discovery, self.seed.wrapping_add(1));
            let watch = PollSchedule::new(None, gateways, self.seed);
            let watch = discovery::watch_targets(watch, new.discovery, self.messages.clone());
            self.watch = tokio::task::spawn_local(watch);
        }
        if let Some(address) = new.counter.filter(|new| self.counter != Some(*new)) {
            self.counter = Some(address);
            let _ = self
                .messages
                .send(Message::CounterReplaced(CounterLocation::Remote { address, namespace: None }));
        }
    }
}

/// A fingerprint of the settings, which is the same in every build.
fn fingerprint(written: &serde_json::Value) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(written.to_string().as_bytes());
    hasher.finish()
}
