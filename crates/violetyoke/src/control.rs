//! `violetyoke control`: the control plane as a process.

use clap::Args;
use std::fmt::Display;
use std::fs;
use std::future::Future;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use violetyoke_control::api::{self, App, Options};
use violetyoke_control::keys::{ParsePepperError, Pepper};
use violetyoke_control::rate_limit::RateLimit;
use violetyoke_control::roles::{self, EpochFile, ParsedDeclarations};
use violetyoke_control::store::{Sqlite, Store};
use violetyoke_control::upkeep::{BackupPolicy, LocalLeaseClient, UpkeepWorker};
use violetyoke_duties::holder::{holder_name, new_holder};
use violetyoke_duties::supervisor::{self, RoleWorker, RoleWorkers};
use violetyoke_ownership::{RoleKind, SingletonRole};

#[derive(Args)]
pub struct Arguments {
    /// File of the store (SQLite). `FILE.pepper` beside it contains the pepper with which keys are hashed.
    #[arg(long)]
    store: PathBuf,
    #[arg(long, default_value = "127.0.0.1:8070")]
    listen: SocketAddr,
    /// Time from the deletion of a tenant until it and all its resources are removed (ms).
    #[arg(long, default_value_t = 10_000)]
    drain_ms: u64,
    /// Rate limit of each key (calls a second).
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    /// Burst of each key (calls).
    #[arg(long, default_value_t = 400.0)]
    burst: f64,
    /// File of the fleet's duties, reloaded on SIGHUP. Without it the duties of the last start stay in force.
    #[arg(long)]
    duties: Option<PathBuf>,
    /// A directory for backups of the store. Without it no backups are made.
    #[arg(long)]
    backups: Option<PathBuf>,
    #[arg(long, default_value_t = 3_600)]
    backup_seconds: u64,
    /// Number of backups that are kept.
    #[arg(long, default_value_t = 24)]
    backups_kept: usize,
    /// A file with an offset of the wall clock (ms), read ten times a second, for tests with a wrong clock.
    #[arg(long, hide = true)]
    clock_offset: Option<PathBuf>,
}

/// How often the file with the clock offset is read.
const CLOCK_OFFSET_INTERVAL: Duration = Duration::from_millis(100);

/// Runs a control plane until SIGTERM, and then hands over the leases that it holds itself.
pub async fn serve(arguments: Arguments) -> io::Result<()> {
    let rate_limit = arguments.rate_limit()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let pepper = open_pepper(&arguments.store)?;
    let store = Arc::new(Sqlite::open(&arguments.store).map_err(io::Error::other)?);
    declare_roles(&*store, arguments.duties.as_deref())?;
    let options = Options {
        drain_ms: arguments.drain_ms,
        rate_limit,
        pepper,
        epoch_file: EpochFile::beside(&arguments.store),
        clock_offset_ms: clock_offset(arguments.clock_offset.clone()),
    };
    let app = App::new(store.clone(), options).map_err(io::Error::other)?;
    let listener = TcpListener::bind(arguments.listen).await?;
    if let Some(key) = app.create_first_key().map_err(io::Error::other)? {
        println!("The first operator's key, shown once: {key}");
    }
    eprintln!("violetyoke: control plane on {}", listener.local_addr()?);
    let (shutdown, is_shutdown) = watch::channel(false);
    let upkeep = tokio::spawn(run_upkeep(&app, arguments.backups(&store), is_shutdown.clone())?);
    if let Some(path) = arguments.duties {
        tokio::spawn(declare_roles_on_hangup(store, path, signal(SignalKind::hangup())?));
    }
    tokio::spawn(async move {
        terminate.recv().await;
        shutdown.send_replace(true);
    });
    api::serve(listener, app, wait_for_shutdown(is_shutdown)).await?;
    // The upkeep releases its leases before the process ends.
    upkeep.await.map_err(io::Error::other)
}

impl Arguments {
    fn rate_limit(&self) -> io::Result<RateLimit> {
        let Arguments { rate, burst, .. } = *self;
        if rate > 0.0 && burst >= 1.0 && rate.is_finite() && burst.is_finite() {
            return Ok(RateLimit { calls_per_second: rate, burst });
        }
        Err(io::Error::new(io::ErrorKind::InvalidInput, "rate must be over 0, and burst 1 or more"))
    }

    fn backups(&self, store: &Arc<Sqlite>) -> Option<(BackupPolicy, Arc<Sqlite>)> {
        let policy = BackupPolicy {
            directory: self.backups.clone()?,
            interval_ms: self.backup_seconds * 1_000,
            kept: self.backups_kept,
        };
        Some((policy, store.clone()))
    }
}

async fn wait_for_shutdown(mut is_shutdown: watch::Receiver<bool>) {
    // An error means that the task that waits for SIGTERM has ended, which is a shutdown too.
    drop(is_shutdown.wait_for(|is_shutdown| *is_shutdown).await);
}

/// Runs the role of upkeep whenever this process holds its lease.
fn run_upkeep(
    app: &Arc<App>,
    backups: Option<(BackupPolicy, Arc<Sqlite>)>,
    is_shutdown: watch::Receiver<bool>,
) -> io::Result<impl Future<Output = ()> + Send + 'static> {
    let worker: Arc<dyn RoleWorker> = Arc::new(UpkeepWorker { app: app.clone(), backups });
    let upkeep_roles = app.leases.roles().into_iter().filter(|role| role.kind == RoleKind::Upkeep);
    let workers: RoleWorkers = upkeep_roles.map(|role| (role.name, worker.clone())).collect();
    let name = holder_name("control").map_err(io::Error::other)?;
    let holder = new_holder(name, workers.keys().cloned().collect());
    let client = Arc::new(LocalLeaseClient(app.clone()));
    Ok(supervisor::run(client, holder, workers, wait_for_shutdown(is_shutdown)))
}

/// Reloads the file of roles on each SIGHUP, until the process ends.
async fn declare_roles_on_hangup(store: Arc<Sqlite>, path: PathBuf, mut hangup: Signal) {
    while hangup.recv().await.is_some() {
        if let Err(error) = declare_roles(&*store, Some(&path)) {
            eprintln!("violetyoke: the duties in force stay: {error}");
        }
    }
}

/// Puts the roles of the file in force. Invalid ones are reported, and do not affect the others.
fn declare_roles(store: &dyn Store, path: Option<&Path>) -> io::Result<()> {
    let declared = path.map(read_roles).transpose()?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    for error in roles::declare(store, declared, now).map_err(io::Error::other)? {
        eprintln!("violetyoke: {error}");
    }
    Ok(())
}

/// The valid roles of a file.
fn read_roles(path: &Path) -> io::Result<Vec<SingletonRole>> {
    let name = path.display();
    let with_path = |error: &dyn Display| io::Error::other(format!("{name}: {error}"));
    let text = fs::read_to_string(path).map_err(|error| with_path(&error))?;
    let ParsedDeclarations { roles, errors } = roles::parse(&text).map_err(|error| with_path(&error))?;
    for error in errors {
        eprintln!("violetyoke: {name}: {error}");
    }
    Ok(roles)
}

/// The offset of the clock (ms), which a test writes to a file; 0 without a file.
fn clock_offset(file: Option<PathBuf>) -> Arc<AtomicI64> {
    let offset = Arc::new(AtomicI64::new(0));
    if let Some(path) = file {
        read_clock_offset(&path, &offset);
        let offset = offset.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(CLOCK_OFFSET_INTERVAL).await;
                read_clock_offset(&path, &offset);
            }
        });
    }
    offset
}

/// Reads the offset. A missing or partially written file does not change it.
fn read_clock_offset(path: &Path, offset: &AtomicI64) {
    let text = fs::read_to_string(path).unwrap_or_default();
    if let Ok(ms) = text.trim().parse() {
        offset.store(ms, Ordering::Relaxed);
    }
}

/// Reads the pepper of a store, or creates one for a new store. A store without its pepper can't verify keys.
fn open_pepper(store: &Path) -> io::Result<Pepper> {
    let mut path = store.as_os_str().to_owned();
    path.push(".pepper");
    let path = PathBuf::from(path);
    let with_path = |reason: &dyn Display| io::Error::other(format!("{}: {reason}", path.display()));
    match fs::read_to_string(&path) {
        Ok(text) => text.parse().map_err(|error: ParsePepperError| with_path(&error)),
        Err(error) if error.kind() == io::ErrorKind::NotFound && !store.exists() => {
            let pepper = Pepper::random().map_err(|error| with_path(&error))?;
            let opened = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
            let mut file = match opened {
                // Another process has started with the same store at the same time.
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                    return Err(with_path(&"another process is creating it: start again"));
                }
                opened => opened?,
            };
            file.write_all(pepper.to_hex().as_bytes())?;
            file.sync_all()?;
            Ok(pepper)
        }
        Err(error) => Err(with_path(&error)),
    }
}
