//! The proxy process: it starts, becomes ready, serves clients until SIGTERM, and drains.

use crate::control_client::{ControlClient, RegistryEvent};
use crate::readiness_gate::ReadinessGate;
use crate::registries::RegistryConnections;
use crate::state::Proxy;
use crate::{downstream, readiness};
use error_stack::Report;
use slog::{info, Logger};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{interval, sleep, Instant, Interval, MissedTickBehavior};
use violetyoke_api::settings::Process;
use violetyoke_api::Settings;
use violetyoke_transport::daemon::{bind, StartError};
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::net::Listener;

/// The interval at which new registries are connected to, reports are resent and readiness is checked.
const TICK: Duration = Duration::from_millis(50);
/// The interval at which a draining process checks whether it may end.
const DRAIN_TICK: Duration = Duration::from_millis(20);
/// The time between the announcement of a drain to the registries and the closing of connections. Until the registries know
/// of the drain, they would send the clients here again.
const DRAIN_ANNOUNCEMENT: Duration = Duration::from_millis(150);
/// How long the process still accepts connections after SIGTERM, from clients that were sent here before.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(2_200);
/// The process ends this long before the end of the grace period, when the platform would kill it.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// The name of the program in its log and in its errors.
const PROGRAM: &str = "proxy";

/// Runs the program with its command-line arguments.
pub fn program(arguments: lexopt::Parser) -> std::process::ExitCode {
    let about = "The proxy: carries clients' requests to backends; one process on each edge machine.";
    violetyoke_transport::daemon::run(PROGRAM, about, arguments, run)
}

/// Runs a proxy until it has drained.
///
/// # Errors
///
/// If an address is missing in the settings or can't be listened on.
pub async fn run(
    settings: Settings,
    mut lifecycle: Lifecycle,
    log: Logger,
) -> Result<(), Report<StartError>> {
    let grace = settings.terms.bounds.grace_period();
    let listeners = Listeners::open(&settings)?;
    // Unbounded: the transport limits the number of messages, and events are handled without waiting.
    let (sender, mut events) = unbounded_channel();
    let port = settings.internal_port(Process::Registry);
    let registries = RegistryConnections::new(port, move |registry, event| {
        // Fails only while the process ends, when events are no longer handled.
        drop(sender.send(RegistryEvent { registry, event }));
    });
    let proxy = Rc::new(Proxy::new(&settings, registries, lifecycle.incarnation, log));
    let servers = Servers::start(listeners, &proxy);
    let mut control = ControlClient::new(proxy.clone(), settings, lifecycle.incarnation);
    info!(proxy.log, "started");
    serve_until_shutdown(&proxy, &mut control, &mut events, &mut lifecycle).await;
    drain(&proxy, &mut control, &mut events, &servers, grace).await;
    info!(proxy.log, "stopped"; "connections" => proxy.serving.open_connections(), "metrics" => %proxy.metrics);
    Ok(())
}

struct Listeners {
    front: Listener,
    readiness: Listener,
}

impl Listeners {
    fn open(settings: &Settings) -> Result<Listeners, Report<StartError>> {
        let listen = &settings.network.listen;
        Ok(Listeners {
            front: bind(PROGRAM, listen.front, "network.listen.front")?,
            readiness: bind(PROGRAM, listen.ready, "network.listen.ready")?,
        })
    }
}

/// The tasks that accept connections. They are aborted when this is dropped.
struct Servers {
    front: AbortHandle,
    _tasks: JoinSet<()>,
}

impl Servers {
    fn start(listeners: Listeners, proxy: &Rc<Proxy>) -> Servers {
        let mut tasks = JoinSet::new();
        let front = tasks.spawn_local(downstream::serve(listeners.front, proxy.clone()));
        tasks.spawn_local(readiness::serve(listeners.readiness, proxy.clone()));
        Servers { front, _tasks: tasks }
    }

    /// Stops accepting clients' connections. Open connections are still served.
    fn stop_accepting_clients(&self) {
        self.front.abort();
    }
}

fn ticks(period: Duration) -> Interval {
    let mut ticks = interval(period);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

/// Handles events of registries and changes of the settings until SIGTERM.
async fn serve_until_shutdown(
    proxy: &Proxy,
    control: &mut ControlClient,
    events: &mut UnboundedReceiver<RegistryEvent>,
    lifecycle: &mut Lifecycle,
) {
    let started_at = Instant::now();
    let mut gate = ReadinessGate::default();
    let mut ticks = ticks(TICK);
    loop {
        tokio::select! {
            Some(event) = events.recv() => control.on_event(event),
            _ = ticks.tick() => {
                control.connect_to_known_registries();
                proxy.operations.on_tick();
                if !proxy.serving.is_ready() && gate.is_open(proxy) {
                    proxy.serving.mark_ready();
                    info!(proxy.log, "ready"; "after_ms" => started_at.elapsed().as_millis());
                    control.announce();
                }
            }
            Some(settings) = lifecycle.settings.recv() => control.update_settings(settings),
            _ = lifecycle.shutdown.recv() => return,
        }
    }
}

/// Drains the process, for at most `grace` less [`EXIT_MARGIN`]: announces to the registries that clients should be sent
/// elsewhere, closes connections after their current request, and completes the remaining requests.
async fn drain(
    proxy: &Proxy,
    control: &mut ControlClient,
    events: &mut UnboundedReceiver<RegistryEvent>,
    servers: &Servers,
    grace: Duration,
) {
    proxy.serving.start_draining();
    control.announce();
    info!(proxy.log, "draining"; "connections" => proxy.serving.open_connections());
    let started_at = Instant::now();
    let deadline = started_at + grace.saturating_sub(EXIT_MARGIN);
    sleep(DRAIN_ANNOUNCEMENT).await;
    proxy.serving.close_connections();
    let mut ticks = interval(DRAIN_TICK);
    while Instant::now() < deadline {
        tokio::select! {
            Some(event) = events.recv() => control.on_event(event),
            _ = ticks.tick() => {
                // Repeated, for connections that were opened after the last call.
                proxy.serving.close_connections();
                proxy.operations.on_tick();
                if started_at.elapsed() > ACCEPT_AFTER_SIGTERM {
                    servers.stop_accepting_clients();
                    if proxy.serving.open_connections() == 0 && proxy.operations.is_idle() {
                        return;
                    }
                }
            }
        }
    }
}
