//! One pool in the form that the platform expects: what [`config`] reads from `EDGE_CONFIG`.

use crate::backend::ConnectionBudget;
use crate::config::{self, Config, Names};
use crate::connections::ConnectionTable;
use crate::console::{self, Console};
use crate::driver::{Driver, DriverSetup};
use crate::embedded::Link;
use crate::handover::Handover;
use crate::poll_schedule::PollSchedule;
use crate::pool::Pool;
use crate::request::{RequestFormat, Rules};
use crate::router::{Router, Routing};
use crate::takeover::{inherited, look, Lender};
use crate::{discovery, inherited_listener, peers, server, Clock, Message, Messages};
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

/// Serves until told to end; returns once everything taken has been answered.
pub async fn serve(config: Config) -> io::Result<()> {
    // Before anything is ready: a signal that finds no handler ends the program.
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
    let own = format!("{:?} {}", config.console, clock.now());
    let handover = config.passed.and_then(|_| Handover::open(&config.name, own)).map(Rc::new);
    // Asked for only where something can be handed down.
    let fingerprint = Rc::new(Cell::new(handover.as_ref().map_or(0, |_| fingerprint(&config.written))));
    let (older, imported_state) = match &handover {
        Some(handover) => inherited(handover, &config.name, fingerprint.get(), clock).await,
        None => (None, None),
    };
    let peers = match config.peer_listen {
        Some(address) if config.settings.limits.peer_messages => {
            Some(peers::PeerSocket::open(address, &config, messages.clone())?)
        }
        _ => None,
    };
    let counter = config.counter.zip(config.settings.counter);
    let counter = counter.map(|(address, _)| Link::Remote { address, space: None });
    let mut indices = StableIndices::default();
    let (settings, names) = assign_indices(&mut indices, config.settings, config.names);
    let longest = Rc::new(Cell::new(longest(&settings)));
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
        ejections: ManualEjections::new(handover.iter().flat_map(|handover| handover.out())),
        predecessor_alive: older.is_some(),
        imported_state,
    };
    // What was handed down need not be the list that the known version names.
    let told = setup.initial_targets.complete
        && !setup.initial_targets.members.is_empty()
        && setup.imported_state.is_none();
    let version = told.then_some(setup.initial_targets.revision);
    let gateways = setup.settings.gateways;
    let driver = Driver::new(setup, clock, messages.clone(), pool.clone());
    let driver = tokio::task::spawn_local(driver.run(inbox));
    let watch = PollSchedule::new(version, gateways, config.seed);
    let watch = discovery::watch_targets(watch, config.discovery, messages.clone());
    let reloads = Reloads {
        indices,
        written: config.written,
        counter: config.counter,
        discovery: config.discovery,
        seed: config.seed,
        watch: tokio::task::spawn_local(watch),
        pool: pool.clone(),
        messages: messages.clone(),
        longest: longest.clone(),
        fingerprint: fingerprint.clone(),
    };
    tokio::task::spawn_local(reloads.run(reload));
    let front = Router::new(Routing::SinglePool(pool.clone()));
    let shared =
        Rc::new(server::ServerState::new(front, clock, ConnectionTable::standalone(config.sockets), None));
    if let Some(listener) = console {
        let (shared, handover, most) = (shared.clone(), handover.clone(), (config.sockets / 48).max(4));
        tokio::task::spawn_local(console::serve(listener, Console { shared, pool, handover, most }));
    }
    if let Some(handover) = handover.clone() {
        shared.awaiting_takeover.set(true);
        let lender = Lender::new(handover, config.name, fingerprint, clock, messages);
        tokio::task::spawn_local(look(lender, shared.clone(), older));
    }
    let ended = handover.clone();
    let taken_over = move || handover.as_ref().is_some_and(|handover| handover.taken_over());
    let passed = config.passed.is_some();
    // A task of its own: the runtime polls the outermost future with every wake, whatever that was for.
    let service = tokio::task::spawn_local(async move {
        let passed = passed.then_some(&taken_over as &dyn Fn() -> bool);
        server::serve(listener, passed, shared, terminate, || longest.get()).await
    });
    let end = tokio::select! {
        end = service => end.map_err(io::Error::other)?,
        // Without the module nothing can be served: the platform had better start anew.
        _ = driver => Err(io::Error::other("the decision module has failed")),
    };
    // What was shared with a successor is its own from now on. Without this word it finds out by itself.
    if let Some(Err(error)) = ended.map(|ended| ended.end()) {
        eprintln!("handover: {error}");
    }
    end
}

/// The settings with stable indices of classes and plans, and the names by these indices.
fn assign_indices(indices: &mut StableIndices, settings: Settings, names: Names) -> (Settings, Names) {
    let indexed = indices.assign(settings, &names.classes, &names.plans);
    (indexed.settings, Names { classes: indexed.class_names, plans: indexed.plan_names, ..names })
}

fn longest(settings: &Settings) -> Duration {
    Duration::from_micros(settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0))
}

/// Takes up a replaced configuration, whole or not at all.
struct Reloads {
    indices: StableIndices,
    /// The settings in force, as they were written.
    written: serde_json::Value,
    counter: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: u64,
    watch: JoinHandle<()>,
    pool: Rc<Pool>,
    messages: Messages,
    /// The longest deadline of any class that requests may be open in.
    longest: Rc<Cell<Duration>>,
    fingerprint: Rc<Cell<u64>>,
}

impl Reloads {
    async fn run(mut self, mut signal: Signal) {
        while signal.recv().await.is_some() {
            match config::reload(&self.written) {
                Ok(reloaded) => self.take(reloaded),
                Err(error) => eprintln!("SIGHUP: the configuration in force stays: {error}"),
            }
        }
    }

    fn take(&mut self, new: config::Reloaded) {
        eprintln!("SIGHUP: discovery {}, counter {:?}", new.discovery, new.counter);
        let gateways = new.settings.gateways;
        if new.written != self.written {
            let (settings, names) = assign_indices(&mut self.indices, new.settings, new.names);
            self.longest.set(longest(&settings));
            let rules =
                Rules::new(&settings, names.classes.clone(), names.plans.clone(), RequestFormat::Platform);
            // The driver first: a request that names a new class must not reach it before it knows the class.
            let _ = self.messages.send(Message::Reconfigure(Box::new((settings, names))));
            self.pool.update(rules, u32::MAX);
            self.written = new.written;
            self.fingerprint.set(fingerprint(&self.written));
        }
        if new.discovery != self.discovery {
            // Another discovery may count versions of its own: a new watch begins with the whole list.
            self.watch.abort();
            (self.discovery, self.seed) = (new.discovery, self.seed.wrapping_add(1));
            let watch = PollSchedule::new(None, gateways, self.seed);
            let watch = discovery::watch_targets(watch, new.discovery, self.messages.clone());
            self.watch = tokio::task::spawn_local(watch);
        }
        if let Some(address) = new.counter.filter(|new| self.counter != Some(*new)) {
            self.counter = Some(address);
            let _ = self.messages.send(Message::CounterReplaced(Link::Remote { address, space: None }));
        }
    }
}

/// What tells settings from other ones; the same in every build.
fn fingerprint(written: &serde_json::Value) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(written.to_string().as_bytes());
    hasher.finish()
}
