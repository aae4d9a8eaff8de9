//! The service: several pools in one process, described by a configuration file. Starts them, applies reloads
//! of the file and updates of the tenants, and shuts them down.

use crate::connections::{ConnectionTable, UNASSIGNED};
use crate::prepared::PreparedConfig;
use crate::rate_limit_server::{RateLimitConfig, RateLimitServer};
use crate::router::{Router, Routing};
use crate::running::{Pools, RATE_LIMIT_MEMBER};
use crate::task_scheduler::{FairExecutor, TaskSets};
use crate::{follow, server, singleton_roles};
use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch as watch_channel};
use tokio::task::{spawn_blocking, unconstrained};
use tokio::time::{interval, sleep, MissedTickBehavior};
use violetyoke_config as file;
use violetyoke_duties::usage::UsageCounters;
use violetyoke_tenants::snapshot::TenantDirectory;

/// How often the file is checked for changes, if that is enabled.
const FILE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long the task set of a removed tenant is kept, so that its tasks can move to another one.
const SET_REMOVAL_DELAY: Duration = Duration::from_secs(1);
/// Scheduling weight of the unassigned tasks, which accept connections and read the first request head of each.
const UNASSIGNED_WEIGHT: u64 = 2;
/// Added to the longest deadline of any class in the time that open requests have to end after SIGTERM.
const SHUTDOWN_SLACK: Duration = Duration::from_millis(500);

/// Reads and parses the configuration file. The error has one line for each fault in the file.
pub fn read(path: &Path) -> Result<file::Service, String> {
    let name = path.display();
    let text = fs::read_to_string(path).map_err(|error| format!("{name}: {error}\n"))?;
    file::parse(&text).map_err(|errors| errors.format_with_file(&name.to_string()))
}

/// Serves until SIGTERM. SIGHUP reloads the file.
pub async fn serve(path: PathBuf, config: file::Service) -> io::Result<()> {
    let terminate = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let listener = server::listen(config.listen)?;
    let address = listener.local_addr()?;
    let (sets, is_finished) = (Rc::new(TaskSets::default()), Rc::new(Cell::new(false)));
    let unassigned_tasks = sets.add(UNASSIGNED, UNASSIGNED_WEIGHT);
    let running = FairExecutor::new(sets.clone(), is_finished.clone());
    let usage = UsageCounters::default();
    let mut pools = Pools::new(&config, sets.clone(), unassigned_tasks.clone(), usage.clone());
    let config = Arc::new(config);
    // Until the control plane responds, the tenants of the last good snapshot are in force.
    let directory = Arc::new(config.control.as_ref().map(follow::last_good).unwrap_or_default());
    let prepared = match PreparedConfig::new(&config, directory) {
        Err(reason) if config.control.is_some() => {
            eprintln!("violetyoke: tenants of the last good snapshot rejected: {reason}");
            PreparedConfig::new(&config, Arc::default())
        }
        prepared => prepared,
    };
    let mut prepared = prepared.map_err(io::Error::other)?;
    let routes = std::mem::take(&mut prepared.routes);
    let (routing, rate_limits, _) = pools.apply(&config, &prepared, routes);
    let rate_limit_server = rate_limits.map(|rate_limits| {
        RateLimitServer::new(rate_limits, pools.clock, pools.descriptors.clone(), RATE_LIMIT_MEMBER)
    });
    let connections = ConnectionTable::with_shared_capacity(pools.descriptors.clone());
    let shared = Rc::new(server::ServerState::new(
        Router::new(routing),
        pools.clock,
        connections,
        Some(unassigned_tasks.clone()),
    ));
    let drain_timeout =
        config.pools.iter().flat_map(|pool| &pool.classes).map(|class| class.class.deadline).max();
    let drain_timeout = Duration::from_micros(drain_timeout.unwrap_or(0)) + SHUTDOWN_SLACK;
    let rate_limit_listener = match &rate_limit_server {
        Some(rate_limit_server) => {
            Some((rate_limit_server.clone(), rate_limit_server.listen()?, signal(SignalKind::terminate())?))
        }
        None => None,
    };
    let weight = config.ratelimit.as_ref().map_or(1, |ratelimit| ratelimit.weight);
    let (role_settings, control) = (config.singleton_roles.clone(), config.control.clone());
    let (config_sender, config_receiver) = watch_channel::channel(config.clone());
    let (update_sender, updates) = mpsc::channel(1);
    if let Some(control) = config.control.clone() {
        let directory = pools.tenants.directory.clone();
        sets.spawn(&unassigned_tasks, follow::follow(control, directory, config_receiver, update_sender));
    }
    sets.spawn(
        &unassigned_tasks,
        watch(path, config_sender, pools, shared.clone(), rate_limit_server, reload, updates),
    );
    let result = Rc::new(RefCell::new(Ok(())));
    // The process ends once both servers have responded to all requests that they accepted.
    let open_servers = Rc::new(Cell::new(1 + usize::from(rate_limit_listener.is_some())));
    let on_server_end = |server_result: io::Result<()>,
                         result: &RefCell<io::Result<()>>,
                         open_servers: &Cell<usize>,
                         finished_flag: &Cell<bool>| {
        if server_result.is_err() {
            *result.borrow_mut() = server_result;
        }
        open_servers.set(open_servers.get() - 1);
        finished_flag.set(open_servers.get() == 0);
    };
    if let Some((rate_limit_server, listener, terminate)) = rate_limit_listener {
        let set = sets.add(RATE_LIMIT_MEMBER, weight);
        let (result, open_servers, is_finished, rate_limit_address) =
            (result.clone(), open_servers.clone(), is_finished.clone(), listener.local_addr()?);
        sets.spawn(&set, async move {
            on_server_end(
                rate_limit_server.serve(listener, terminate, drain_timeout).await,
                &result,
                &open_servers,
                &is_finished,
            );
        });
        eprintln!("violetyoke: answering rate limit questions on {rate_limit_address}");
    }
    let (ended, finished_flag) = (result.clone(), is_finished.clone());
    sets.spawn(&unassigned_tasks, async move {
        on_server_end(
            server::serve(listener, None, shared, terminate, || drain_timeout).await,
            &ended,
            &open_servers,
            &finished_flag,
        );
    });
    let role_worker = match (&role_settings, &control) {
        (Some(duties), Some(control)) => {
            Some(singleton_roles::start(duties.clone(), control.clone(), usage)?)
        }
        _ => None,
    };
    eprintln!("violetyoke: serving on {address}");
    // Not subject to tokio's cooperative budget: it yields to the runtime itself after each time slice.
    unconstrained(running).await;
    if let Some(role_worker) = role_worker {
        // The worker hands over its singleton roles before the process ends.
        let _ = spawn_blocking(move || role_worker.join()).await;
    }
    result.replace(Ok(()))
}

/// Reloads the file on SIGHUP or when it has changed, and applies updates from the control plane. An invalid
/// file changes nothing.
async fn watch(
    path: PathBuf,
    in_force: watch_channel::Sender<Arc<file::Service>>,
    mut pools: Pools,
    shared: Rc<server::ServerState>,
    rate_limit_server: Option<Rc<RateLimitServer>>,
    mut reload: tokio::signal::unix::Signal,
    mut updates: mpsc::Receiver<follow::PreparedUpdate>,
) {
    let modified_at = || fs::metadata(&path).and_then(|data| data.modified()).ok();
    let mut last_modified: Option<SystemTime> = modified_at();
    let mut check_interval = interval(FILE_CHECK_INTERVAL);
    check_interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut config = in_force.borrow().clone();
    let mut follows_control = config.control.is_some();
    loop {
        tokio::select! {
            signal = reload.recv() => if signal.is_none() { return },
            update = updates.recv(), if follows_control => {
                let Some((prepared, in_force_sender)) = update else {
                    follows_control = false;
                    continue;
                };
                // The file may have changed since the update was prepared.
                let prepared = match Arc::ptr_eq(&prepared.file, &config) {
                    true => Ok(prepared),
                    false => prepare(&config, prepared.directory).await,
                };
                match prepared {
                    Ok(prepared) => {
                        let revision = prepared.directory.revision;
                        put_in_force(&mut pools, &config, prepared, &shared, rate_limit_server.as_ref());
                        eprintln!("violetyoke: tenants at revision {revision} are in force");
                        let _ = in_force_sender.send(());
                    }
                    Err(reason) => eprintln!("violetyoke: the tenants in force stay: {reason}"),
                }
                continue;
            }
            _ = check_interval.tick() => {
                if !config.watch_file || modified_at() == last_modified {
                    continue;
                }
            }
        }
        last_modified = modified_at();
        let listen = |file: &file::Service| file.ratelimit.as_ref().map(|ratelimit| ratelimit.listen);
        let new = match read(&path) {
            Ok(new) if new.listen != config.listen => Err("service.listen"),
            Ok(new) if listen(&new) != listen(&config) => Err("ratelimit.listen"),
            Ok(new) if new.control != config.control => Err("control"),
            Ok(new) => Ok(Arc::new(new)),
            Err(errors) => {
                eprint!("violetyoke: the configuration in force stays\n{errors}");
                continue;
            }
        };
        let new = new.map_err(|key| format!("{}: {key}: cannot change while running", path.display()));
        let prepared = match new {
            Ok(new) => prepare(&new, pools.tenants.directory.clone()).await.map(|prepared| (new, prepared)),
            Err(reason) => Err(reason),
        };
        match prepared {
            Ok((new, prepared)) => {
                put_in_force(&mut pools, &new, prepared, &shared, rate_limit_server.as_ref());
                config = new.clone();
                in_force.send_replace(new);
                eprintln!("violetyoke: {} is in force", path.display());
            }
            Err(error) => eprintln!("violetyoke: the configuration in force stays\n{error}"),
        }
    }
}

/// Checks a file and a directory of tenants together. This may take long and is done on another thread.
async fn prepare(
    config: &Arc<file::Service>,
    directory: Arc<TenantDirectory>,
) -> Result<PreparedConfig, String> {
    let config = config.clone();
    let prepared = spawn_blocking(move || PreparedConfig::new(&config, directory)).await;
    prepared.unwrap_or_else(|_| Err("the check failed".into()))
}

fn set_rate_limit_weight(pools: &Pools, rate_limit: &RateLimitConfig) {
    pools.sets.set_weight(RATE_LIMIT_MEMBER, rate_limit.file.weight);
}

/// Puts a file and tenants in force that were checked together. The replaced ones are dropped on another
/// thread, as that may take long.
fn put_in_force(
    pools: &mut Pools,
    config: &file::Service,
    mut prepared: PreparedConfig,
    shared: &Rc<server::ServerState>,
    rate_limit_server: Option<&Rc<RateLimitServer>>,
) {
    let routes = std::mem::take(&mut prepared.routes);
    let (routing, rate_limit, (removed, directory)) = pools.apply(config, &prepared, routes);
    let old = match shared.router.replace(routing) {
        Some(Routing::Table { table, .. }) => Some(table),
        _ => None,
    };
    if let (Some(rate_limit_server), Some(rate_limit)) = (rate_limit_server, rate_limit) {
        set_rate_limit_weight(pools, &rate_limit);
        rate_limit_server.update_config(rate_limit);
    }
    pools.retire(config, &shared.connections);
    for member in removed {
        shared.connections.unassign(member, &pools.unassigned_tasks);
        if config.schedules_by_weight {
            // The tasks of its connections move to the unassigned task set with their next poll, which is soon.
            let sets = pools.sets.clone();
            pools.sets.spawn(&pools.unassigned_tasks, async move {
                sleep(SET_REMOVAL_DELAY).await;
                sets.remove(member);
            });
        }
    }
    drop(spawn_blocking(move || drop((old, directory, prepared))));
}
