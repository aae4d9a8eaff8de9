//! `violetyoke control`: the control plane as a process.

use clap::Args;
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use violetyoke_control::api::{self, App, Options};
use violetyoke_control::keys::Pepper;
use violetyoke_control::limit::Rates;
use violetyoke_control::store::Sqlite;

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
}

pub async fn serve(arguments: Arguments) -> io::Result<()> {
    let Arguments { store: file, listen, drain_ms, rate, burst } = arguments;
    if !(rate > 0.0 && burst >= 1.0 && rate.is_finite() && burst.is_finite()) {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "rate must be over 0, and burst 1 or more"));
    }
    let mut terminate = signal(SignalKind::terminate())?;
    let fresh = !file.exists();
    let pepper = pepper(&file, fresh)?;
    let store = Sqlite::open(&file).map_err(io::Error::other)?;
    let options = Options { drain_ms, rates: Rates { rate, burst }, pepper };
    let app = App::new(Arc::new(store), options);
    let listener = TcpListener::bind(listen).await?;
    if let Some(key) = app.first_key().map_err(io::Error::other)? {
        println!("The first operator's key, shown once: {key}");
    }
    eprintln!("violetyoke: control plane on {}", listener.local_addr()?);
    let end = async move {
        terminate.recv().await;
    };
    api::serve(listener, app, end).await
}

/// Reads the pepper; makes one for a store that is not there yet. A store without its pepper knows no key.
fn pepper(store: &Path, fresh: bool) -> io::Result<Pepper> {
    let mut path = store.as_os_str().to_owned();
    path.push(".pepper");
    let path = PathBuf::from(path);
    let told = |reason: String| io::Error::other(format!("{}: {reason}", path.display()));
    match fs::read_to_string(&path) {
        Ok(text) => Pepper::from_hex(&text).map_err(told),
        Err(error) if error.kind() == io::ErrorKind::NotFound && fresh => {
            let pepper = Pepper::random().map_err(told)?;
            let opened = fs::OpenOptions::new().write(true).create_new(true).mode(0o600).open(&path);
            let mut file = match opened {
                // Another process began with the same store in this moment.
                Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {
                    return Err(told("another process is making it: start again".into()));
                }
                opened => opened?,
            };
            file.write_all(pepper.to_hex().as_bytes())?;
            file.sync_all()?;
            Ok(pepper)
        }
        Err(error) => Err(told(error.to_string())),
    }
}
