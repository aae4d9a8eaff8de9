//! `violetyoke control`: the control plane as a process.

use clap::Args;
use std::fmt::Display;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;
use violetyoke_control::api::{self, App, Options};
use violetyoke_control::keys::{ParsePepperError, Pepper};
use violetyoke_control::rate_limit::RateLimit;
use violetyoke_control::roles::{self, EpochFile, ParsedDeclarations};
use violetyoke_control::store::{Sqlite, Store};
use violetyoke_control::upkeep::{BackupPolicy, LocalLeaseClient, UpkeepWorker};
use violetyoke_duties::holder::{holder_name, new_holder};
use violetyoke_duties::supervisor::{self, RoleWorker, RoleWorkers};
use violetyoke_ownership::RoleKind;

#[derive(Args)]
pub struct Arguments {
    /// Where the state is kept (SQLite). `FILE.pepper` beside it holds what keys are hashed with.
    #[arg(long)]
    store: PathBuf,
    #[arg(long, default_value = "127.0.0.1:8070")]
    listen: SocketAddr,
    /// From a tenant's deletion until it and all that is its own goes.
    #[arg(long, default_value_t = 10_000)]
    drain_ms: u64,
    /// Calls a second of one key, and calls at once.
    #[arg(long, default_value_t = 200.0)]
    rate: f64,
    #[arg(long, default_value_t = 400.0)]
    burst: f64,
    /// The duties of the fleet; SIGHUP reads the file again. Without it those of the last start stay.
    #[arg(long)]
    duties: Option<PathBuf>,
    /// A directory for backups of the store; none: no backups are made.
    #[arg(long)]
    backups: Option<PathBuf>,
    #[arg(long, default_value_t = 3_600)]
    backup_seconds: u64,
    /// How many backups are kept.
    #[arg(long, default_value_t = 24)]
    backups_kept: usize,
    /// A file whose number of milliseconds is added to the wall clock, looked at ten times a second: for tests of
    /// a clock that is wrong.
    #[arg(long, hide = true)]
    clock_offset: Option<PathBuf>,
}

pub async fn serve(arguments: Arguments) -> io::Result<()> {
    let Arguments { store: file, listen, drain_ms, rate, burst, .. } = arguments;
    if !(rate > 0.0 && burst >= 1.0 && rate.is_finite() && burst.is_finite()) {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "rate must be over 0, and burst 1 or more"));
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let fresh = !file.exists();
    let pepper = pepper(&file, fresh)?;
    let store = Arc::new(Sqlite::open(&file).map_err(io::Error::other)?);
    let offset = Arc::new(AtomicI64::new(0));
    if let Some(path) = arguments.clock_offset.clone() {
        follow_offset(&path, &offset);
        let offset = offset.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(Duration::from_millis(100)).await;
                follow_offset(&path, &offset);
            }
        });
    }
    declare(&*store, arguments.duties.as_deref())?;
    let options = Options {
        drain_ms,
        rate_limit: RateLimit { calls_per_second: rate, burst },
        pepper,
        epoch_file: EpochFile::beside(&file),
        clock_offset_ms: offset,
    };
    let app = App::new(store.clone(), options).map_err(io::Error::other)?;
    let listener = TcpListener::bind(listen).await?;
    if let Some(key) = app.create_first_key().map_err(io::Error::other)? {
        println!("The first operator's key, shown once: {key}");
    }
    eprintln!("violetyoke: control plane on {}", listener.local_addr()?);
    let Arguments { backups, backup_seconds, backups_kept, duties, .. } = arguments;
    let backups = backups.map(|directory| {
        let policy = BackupPolicy { directory, interval_ms: backup_seconds * 1_000, kept: backups_kept };
        (policy, store.clone())
    });
    let worker: Arc<dyn RoleWorker> = Arc::new(UpkeepWorker { app: app.clone(), backups });
    let upkeep_roles = app.leases.roles().into_iter().filter(|role| role.kind == RoleKind::Upkeep);
    let workers: RoleWorkers = upkeep_roles.map(|role| (role.name, worker.clone())).collect();
    let name = holder_name("control").map_err(io::Error::other)?;
    let holder = new_holder(name, workers.keys().cloned().collect());
    let (ending, ended) = watch::channel(false);
    let mut leaving = ended.clone();
    let client = Arc::new(LocalLeaseClient(app.clone()));
    let supervisor = tokio::spawn(supervisor::run(client, holder, workers, async move {
        let _ = leaving.wait_for(|ending| *ending).await;
    }));
    if let Some(path) = duties {
        let (store, mut again) = (store.clone(), signal(SignalKind::hangup())?);
        tokio::spawn(async move {
            while again.recv().await.is_some() {
                if let Err(error) = declare(&*store, Some(&path)) {
                    eprintln!("violetyoke: the duties in force stay: {error}");
                }
            }
        });
    }
    tokio::spawn(async move {
        terminate.recv().await;
        ending.send_replace(true);
    });
    let mut end = ended;
    api::serve(listener, app, async move {
        let _ = end.wait_for(|ending| *ending).await;
    })
    .await?;
    // What it owns goes back before it ends.
    supervisor.await.map_err(io::Error::other)
}

/// Puts the file's duties in force; what is wrong with one is told, and the rest stands.
fn declare(store: &dyn Store, path: Option<&Path>) -> io::Result<()> {
    let mut declared = None;
    if let Some(path) = path {
        let name = path.display();
        let text = fs::read_to_string(path).map_err(|error| io::Error::other(format!("{name}: {error}")))?;
        let ParsedDeclarations { roles, errors } =
            roles::parse(&text).map_err(|error| io::Error::other(format!("{name}: {error}")))?;
        for error in errors {
            eprintln!("violetyoke: {name}: {error}");
        }
        declared = Some(roles);
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    for error in roles::declare(store, declared, now).map_err(io::Error::other)? {
        eprintln!("violetyoke: {error}");
    }
    Ok(())
}

fn follow_offset(path: &Path, offset: &AtomicI64) {
    let text = fs::read_to_string(path).unwrap_or_default();
    if let Ok(ms) = text.trim().parse() {
        offset.store(ms, Ordering::Relaxed);
    }
}

/// Reads the pepper; makes one for a store that is not there yet. A store without its pepper knows no key.
fn pepper(store: &Path, fresh: bool) -> io::Result<Pepper> {
    let mut path = store.as_os_str().to_owned();
    path.push(".pepper");
    let path = PathBuf::from(path);
    let with_path = |reason: &dyn Display| io::Error::other(format!("{}: {reason}", path.display()));
    match fs::read_to_string(&path) {
        Ok(text) => text.parse().map_err(|error: ParsePepperError| with_path(&error)),
        Err(error) if error.kind() == io::ErrorKind::NotFound && fresh => {
            let pepper = Pepper::random().map_err(|error| with_path(&error))?;
            let opened = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
            let mut file = match opened {
                // Another process began with the same store in this moment.
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                    return Err(with_path(&"another process is making it: start again"));
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
