//! Several pools in one process, by a configuration file of our own: their start, their change by a reload, and
//! their end.

use crate::connections::{ConnectionTable, UNASSIGNED};
use crate::prepared::Prepared;
use crate::rate_limit_server::{RateLimitConfig, RateLimitServer};
use crate::router::{Router, Routing};
use crate::running::{Pools, ASKING};
use crate::task_scheduler::{FairExecutor, TaskSets};
use crate::{duties, follow, server};
use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch as watched};
use tokio::task::{spawn_blocking, unconstrained};
use tokio::time::{interval, sleep, MissedTickBehavior};
use violetyoke_config as file;
use violetyoke_duties::usage::UsageCounters;
use violetyoke_tenants::snapshot::TenantDirectory;

/// How often the file is looked at, where that is switched on.
const LOOK: Duration = Duration::from_millis(500);
/// How long the set of a tenant that is gone is kept for its tasks to leave it.
const SET_ENDS: Duration = Duration::from_secs(1);
/// Weight of the door among the pools: it accepts, and reads each connection's first head.
const DOOR_WEIGHT: u64 = 2;
/// For how long after SIGTERM answers are waited for, beyond the longest deadline of any class.
const END_SLACK: Duration = Duration::from_millis(500);

/// Reads the file; an error is one line for each thing that is wrong with it.
pub fn read(path: &Path) -> Result<file::Service, String> {
    let name = path.display();
    let text = fs::read_to_string(path).map_err(|error| format!("{name}: {error}\n"))?;
    file::parse(&text).map_err(|errors| errors.of_file(&name.to_string()))
}

/// Serves until told to end. SIGHUP reads the file again.
pub async fn serve(path: PathBuf, config: file::Service) -> io::Result<()> {
    let terminate = signal(SignalKind::terminate())?;
    let reload = signal(SignalKind::hangup())?;
    let listener = server::listen(config.listen)?;
    let address = listener.local_addr()?;
    let (sets, over) = (Rc::new(TaskSets::default()), Rc::new(Cell::new(false)));
    let door = sets.add(UNASSIGNED, DOOR_WEIGHT);
    let running = FairExecutor::new(sets.clone(), over.clone());
    let uses = UsageCounters::default();
    let mut pools = Pools::new(&config, sets.clone(), door.clone(), uses.clone());
    let config = Arc::new(config);
    // Without the control plane it begins with what was in force when it ended.
    let held = Arc::new(config.control.as_ref().map(follow::last_good).unwrap_or_default());
    let prepared = match Prepared::new(&config, held) {
        Err(reason) if config.control.is_some() => {
            eprintln!("violetyoke: the tenants that were kept are not taken: {reason}");
            Prepared::new(&config, Arc::default())
        }
        prepared => prepared,
    };
    let mut prepared = prepared.map_err(io::Error::other)?;
    let routes = std::mem::take(&mut prepared.routes);
    let (routing, asking, _) = pools.apply(&config, &prepared, routes);
    let questions =
        asking.map(|asking| RateLimitServer::new(asking, pools.clock, pools.descriptors.clone(), ASKING));
    let clients = ConnectionTable::with_shared_capacity(pools.descriptors.clone());
    let shared =
        Rc::new(server::ServerState::new(Router::new(routing), pools.clock, clients, Some(door.clone())));
    let longest = config.pools.iter().flat_map(|pool| &pool.classes).map(|class| class.class.deadline).max();
    let longest = Duration::from_micros(longest.unwrap_or(0)) + END_SLACK;
    let asked = match &questions {
        Some(questions) => Some((questions.clone(), questions.listen()?, signal(SignalKind::terminate())?)),
        None => None,
    };
    let weight = config.ratelimit.as_ref().map_or(1, |ratelimit| ratelimit.weight);
    let (in_force_duties, in_force_control) = (config.duties.clone(), config.control.clone());
    let (in_force, files) = watched::channel(config.clone());
    let (offers, offered) = mpsc::channel(1);
    if let Some(control) = config.control.clone() {
        let held = pools.tenancy.held.clone();
        sets.spawn(&door, follow::follow(control, held, files, offers));
    }
    sets.spawn(&door, watch(path, in_force, pools, shared.clone(), questions, reload, offered));
    let result = Rc::new(RefCell::new(Ok(())));
    // Both have to have answered what they took.
    let left = Rc::new(Cell::new(1 + usize::from(asked.is_some())));
    let end =
        |ended: io::Result<()>, result: &RefCell<io::Result<()>>, left: &Cell<usize>, told: &Cell<bool>| {
            if ended.is_err() {
                *result.borrow_mut() = ended;
            }
            left.set(left.get() - 1);
            told.set(left.get() == 0);
        };
    if let Some((questions, listener, terminate)) = asked {
        let set = sets.add(ASKING, weight);
        let (result, left, over, asked) =
            (result.clone(), left.clone(), over.clone(), listener.local_addr()?);
        sets.spawn(&set, async move {
            end(questions.serve(listener, terminate, longest).await, &result, &left, &over);
        });
        eprintln!("violetyoke: answering rate limit questions on {asked}");
    }
    let (ended, told) = (result.clone(), over.clone());
    sets.spawn(&door, async move {
        end(server::serve(listener, None, shared, terminate, || longest).await, &ended, &left, &told);
    });
    let working = match (&in_force_duties, &in_force_control) {
        (Some(duties), Some(control)) => Some(duties::start(duties.clone(), control.clone(), uses)?),
        _ => None,
    };
    eprintln!("violetyoke: serving on {address}");
    // It looks at the runtime itself after each slice; tokio's own bound on what one task does is for others.
    unconstrained(running).await;
    if let Some(working) = working {
        // What it owns of the fleet's work goes back before it ends.
        let _ = spawn_blocking(move || working.join()).await;
    }
    result.replace(Ok(()))
}

/// Reads the file again when told to or when it has changed, and takes up what comes from the control plane. A bad
/// file changes nothing.
async fn watch(
    path: PathBuf,
    in_force: watched::Sender<Arc<file::Service>>,
    mut pools: Pools,
    shared: Rc<server::ServerState>,
    questions: Option<Rc<RateLimitServer>>,
    mut reload: tokio::signal::unix::Signal,
    mut offered: mpsc::Receiver<follow::Offered>,
) {
    let changed = || fs::metadata(&path).and_then(|data| data.modified()).ok();
    let mut seen: Option<SystemTime> = changed();
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut config = in_force.borrow().clone();
    let mut followed = config.control.is_some();
    loop {
        tokio::select! {
            told = reload.recv() => if told.is_none() { return },
            offer = offered.recv(), if followed => {
                let Some((prepared, done)) = offer else {
                    followed = false;
                    continue;
                };
                // The file may have changed since it was made ready.
                let prepared = match Arc::ptr_eq(&prepared.file, &config) {
                    true => Ok(prepared),
                    false => ready(&config, prepared.held).await,
                };
                match prepared {
                    Ok(prepared) => {
                        let revision = prepared.held.revision;
                        put_in_force(&mut pools, &config, prepared, &shared, questions.as_ref());
                        eprintln!("violetyoke: tenants at revision {revision} are in force");
                        let _ = done.send(());
                    }
                    Err(reason) => eprintln!("violetyoke: the tenants in force stay: {reason}"),
                }
                continue;
            }
            _ = look.tick() => {
                if !config.watch_file || changed() == seen {
                    continue;
                }
            }
        }
        seen = changed();
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
            Ok(new) => ready(&new, pools.tenancy.held.clone()).await.map(|prepared| (new, prepared)),
            Err(reason) => Err(reason),
        };
        match prepared {
            Ok((new, prepared)) => {
                put_in_force(&mut pools, &new, prepared, &shared, questions.as_ref());
                config = new.clone();
                in_force.send_replace(new);
                eprintln!("violetyoke: {} is in force", path.display());
            }
            Err(error) => eprintln!("violetyoke: the configuration in force stays\n{error}"),
        }
    }
}

/// Checks a file and what is held together, on another thread: it may take long.
async fn ready(config: &Arc<file::Service>, held: Arc<TenantDirectory>) -> Result<Prepared, String> {
    let config = config.clone();
    let prepared = spawn_blocking(move || Prepared::new(&config, held)).await;
    prepared.unwrap_or_else(|_| Err("it could not be checked".into()))
}

fn sets_weight(pools: &Pools, asking: &RateLimitConfig) {
    pools.sets.set_weight(ASKING, asking.file.weight);
}

/// Puts a file and tenants in force that have been checked together. What they take the place of is dropped on
/// another thread, where it may take long.
fn put_in_force(
    pools: &mut Pools,
    config: &file::Service,
    mut prepared: Prepared,
    shared: &Rc<server::ServerState>,
    questions: Option<&Rc<RateLimitServer>>,
) {
    let routes = std::mem::take(&mut prepared.routes);
    let (routing, asking, (gone, held)) = pools.apply(config, &prepared, routes);
    let old = match shared.router.replace(routing) {
        Some(Routing::Table { table, .. }) => Some(table),
        _ => None,
    };
    if let (Some(questions), Some(asking)) = (questions, asking) {
        sets_weight(pools, &asking);
        questions.update_config(asking);
    }
    pools.retire(config, &shared.connections);
    for member in gone {
        shared.connections.unassign(member, &pools.door);
        if config.turns {
            // Its connections' tasks go to the door when they are next polled, which is at once.
            let sets = pools.sets.clone();
            pools.sets.spawn(&pools.door, async move {
                sleep(SET_ENDS).await;
                sets.remove(member);
            });
        }
    }
    drop(spawn_blocking(move || drop((old, held, prepared))));
}
