//! The registry as a process: its listeners, its event loop and its shutdown.

mod backend_polling;
mod batch;
mod command_client;
mod gossip;
mod http;
mod inbound;
mod input;
mod operations;
mod peers;
mod proxies;
mod proxy_requests;
mod publisher;
mod publishing;
mod registry;
mod responses;
mod store_replies;
mod stores;

use error_stack::Report;
use http::ApiKind;
use input::{Input, InputSender};
use registry::Registry;
use slog::{info, Logger};
use std::cell::RefCell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinSet;
use tokio::time::{interval, Instant, MissedTickBehavior};
use violetyoke_api::settings::{Process, Settings};
use violetyoke_transport::connection;
use violetyoke_transport::daemon::{self, bind, StartError};
use violetyoke_transport::lifecycle::Lifecycle;
use violetyoke_transport::net::Listener;

const NAME: &str = "registry";
/// After a SIGTERM, the longest time for which pending commands are waited for.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(3_000);
/// After a SIGTERM, the minimum time until the process ends, in which responses are written.
const MIN_SHUTDOWN_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of inputs in a batch. In a wave of sessions, proxies are sent updates after this many inputs at the
/// latest.
const MAX_BATCH: usize = 64;
/// How often timers are checked.
const TICK: Duration = Duration::from_millis(50);

/// Runs the program with the arguments that follow its name.
pub fn program(arguments: lexopt::Parser) -> ExitCode {
    let about =
        "The registry: one process on each core machine; it also takes operators' calls for the store.";
    daemon::run(NAME, about, arguments, run)
}

/// Runs the registry until it is asked to shut down.
///
/// # Errors
///
/// If the settings lack an address, or if the registry can't listen at an address that they name.
pub async fn run(settings: Settings, lifecycle: Lifecycle, log: Logger) -> Result<(), Report<StartError>> {
    let listeners = Listeners::bind(&settings)?;
    let (inputs, queue) = input::channel();
    let registry = Registry::new(settings, lifecycle.incarnation, inputs.clone(), log);
    let registry = Rc::new(RefCell::new(registry));
    // All servers and their connections end when this is dropped on return.
    let _servers = listeners.serve(&registry, &inputs);
    info!(registry.borrow().log, "started");
    run_until_shutdown(&registry, queue, lifecycle).await;
    info!(registry.borrow().log, "stopped");
    Ok(())
}

struct Listeners {
    internal: Listener,
    control: Listener,
    directory: Listener,
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Listeners, Report<StartError>> {
        let internal = (settings.local.ip, settings.internal_port(Process::Registry)).into();
        let listen = &settings.network.listen;
        Ok(Listeners {
            internal: bind(NAME, Some(internal), "network.internal-ports")?,
            control: bind(NAME, listen.control, "network.listen.control")?,
            directory: bind(NAME, listen.directory, "network.listen.directory")?,
        })
    }

    /// Starts a server for each listener.
    fn serve(self, registry: &Rc<RefCell<Registry>>, inputs: &InputSender) -> JoinSet<()> {
        let mut servers = JoinSet::new();
        let inputs = inputs.clone();
        servers.spawn_local(connection::accept_all(self.internal, move |connection| {
            let inputs = inputs.clone();
            move |event| inputs.send(Input::Inbound { connection, event })
        }));
        servers.spawn_local(http::serve(self.control, registry.clone(), ApiKind::Control));
        servers.spawn_local(http::serve(self.directory, registry.clone(), ApiKind::Directory));
        servers
    }
}

/// Handles inputs until a shutdown was requested and either no command is pending or [`SHUTDOWN_TIMEOUT`] has passed.
async fn run_until_shutdown(
    registry: &RefCell<Registry>,
    mut queue: UnboundedReceiver<Input>,
    mut lifecycle: Lifecycle,
) {
    let mut shutdown_requested_at: Option<Instant> = None;
    let mut inputs = Vec::with_capacity(MAX_BATCH);
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            taken = queue.recv_many(&mut inputs, MAX_BATCH) => {
                if taken == 0 {
                    return;
                }
                registry.borrow_mut().on_inputs(inputs.drain(..));
            }
            Some(settings) = lifecycle.settings.recv() => registry.borrow_mut().settings = settings,
            Some(()) = lifecycle.shutdown.recv(), if shutdown_requested_at.is_none() => {
                info!(registry.borrow().log, "shutting down");
                shutdown_requested_at = Some(Instant::now());
            }
            _ = ticks.tick() => {
                registry.borrow_mut().on_tick();
                let is_idle = registry.borrow().commands.is_idle();
                if shutdown_requested_at.is_some_and(|at| is_shutdown_complete(at.elapsed(), is_idle)) {
                    return;
                }
            }
        }
    }
}

/// Whether the process may end, `elapsed` after a shutdown was requested.
fn is_shutdown_complete(elapsed: Duration, is_idle: bool) -> bool {
    elapsed > SHUTDOWN_TIMEOUT || (is_idle && elapsed > MIN_SHUTDOWN_DELAY)
}
