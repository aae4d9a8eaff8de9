//! Follows the control plane by long polling. A snapshot is decoded and checked on another thread before it is
//! passed on. An invalid snapshot is reported to the control plane, and the tenants in force stay. They also
//! stay while the control plane is not available.

use crate::prepared::PreparedConfig;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::{AUTHORIZATION, ETAG, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::{utf8_percent_encode, NON_ALPHANUMERIC};
use std::fs;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_blocking;
use tokio::time::{sleep, timeout};
use violetyoke_config as file;
use violetyoke_tenants::snapshot::{Snapshot, TenantDirectory};

/// How long the control plane may wait for a new snapshot before it responds (s).
const WAIT_SECONDS: u64 = 20;
/// How much longer than that a response may take.
const RESPONSE_SLACK: Duration = Duration::from_secs(10);
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Size of the largest snapshot that is accepted (bytes).
const MAX_SNAPSHOT_BYTES: usize = 1 << 30;

/// A checked snapshot, and a sender to notify once it is in force.
pub type PreparedUpdate = (PreparedConfig, oneshot::Sender<()>);

/// Reads the tenants of the last good snapshot, which an earlier process stored. An invalid file is logged and
/// ignored.
pub fn last_good(control: &file::Control) -> TenantDirectory {
    let Some(path) = &control.snapshot_file else { return TenantDirectory::default() };
    let applied = match fs::read(path) {
        Ok(bytes) => Snapshot::parse(&bytes).and_then(|snapshot| TenantDirectory::default().apply(snapshot)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return TenantDirectory::default(),
        Err(error) => {
            eprintln!("violetyoke: {}: {error}", path.display());
            return TenantDirectory::default();
        }
    };
    applied.unwrap_or_else(|error| {
        eprintln!("violetyoke: {}: {error}", path.display());
        TenantDirectory::default()
    })
}

/// Stores a directory as the last good one. It is written to a temporary file and renamed, so that a kill at
/// any time leaves either the old or the new one.
fn store_last_good(path: &Path, directory: &TenantDirectory) -> io::Result<()> {
    let bytes = serde_json::to_vec(&directory.to_snapshot())?;
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let mut file = fs::File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)
}

/// Follows the control plane until the process ends. `config` is the configuration in force.
pub async fn follow(
    control: file::Control,
    mut directory: Arc<TenantDirectory>,
    config: watch::Receiver<Arc<file::Service>>,
    updates: mpsc::Sender<PreparedUpdate>,
) {
    let mut retry_delay = MIN_RETRY_DELAY;
    // A revision that was rejected, and the reason, which are reported with the next call.
    let mut rejected: Option<(u64, String)> = None;
    let mut last_error = String::new();
    loop {
        let (revision, body) = match fetch_snapshot(&control, directory.revision, rejected.as_ref()).await {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                // A control plane that is shutting down responds immediately. Without this delay all ingresses
                // would send requests to it in a busy loop.
                sleep(MIN_RETRY_DELAY).await;
                retry_delay = MIN_RETRY_DELAY;
                continue;
            }
            Err(error) => {
                if error != last_error {
                    eprintln!("violetyoke: control plane {}: {error}", control.address);
                    last_error = error;
                }
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                continue;
            }
        };
        (retry_delay, last_error) = (MIN_RETRY_DELAY, String::new());
        let (base, file) = (directory.clone(), config.borrow().clone());
        let prepared = spawn_blocking(move || {
            let applied = Snapshot::parse(&body).and_then(|snapshot| base.apply(snapshot));
            applied
                .map_err(|error| error.to_string())
                .and_then(|directory| PreparedConfig::new(&file, Arc::new(directory)))
        })
        .await;
        match prepared.unwrap_or_else(|_| Err("it could not be read".into())) {
            Ok(prepared) => {
                let (in_force_sender, in_force) = oneshot::channel();
                let new = prepared.directory.clone();
                if updates.send((prepared, in_force_sender)).await.is_err() || in_force.await.is_err() {
                    return;
                }
                let old = std::mem::replace(&mut directory, new.clone());
                // This may be the last reference, and dropping a large directory takes long.
                drop(spawn_blocking(move || drop(old)));
                rejected = None;
                if let Some(path) = control.snapshot_file.clone() {
                    let stored = spawn_blocking(move || store_last_good(&path, &new)).await;
                    if let Ok(Err(error)) = stored {
                        eprintln!("violetyoke: control.last_good: {error}");
                    }
                }
            }
            Err(reason) => {
                eprintln!("violetyoke: tenants at revision {revision} rejected: {reason}");
                rejected = Some((revision, reason));
            }
        }
    }
}

/// Fetches the newest snapshot. `None`: there is none newer than `known_revision`.
async fn fetch_snapshot(
    control: &file::Control,
    known_revision: u64,
    rejected: Option<&(u64, String)>,
) -> Result<Option<(u64, Bytes)>, String> {
    let key = fs::read_to_string(&control.key_file)
        .map_err(|error| format!("control.key_file {}: {error}", control.key_file.display()))?;
    let mut path = format!("/v1/snapshot?held={known_revision}&ingress={}", control.name);
    if let Some((revision, reason)) = rejected {
        path += &format!("&rejected={revision}&reason={}", utf8_percent_encode(reason, NON_ALPHANUMERIC));
    }
    let text = |error: &dyn std::fmt::Display| error.to_string();
    let work = async {
        let stream = TcpStream::connect(control.address).await.map_err(|error| text(&error))?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|error| text(&error))?;
        let request = Request::get(path)
            .header(HOST, control.address.to_string())
            .header(AUTHORIZATION, format!("Bearer {}", key.trim()))
            .header("prefer", format!("wait={WAIT_SECONDS}"))
            .body(Empty::<Bytes>::new())
            .map_err(|error| text(&error))?;
        let response = async move {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let (head, body) = response.into_parts();
            let body =
                Limited::new(body, MAX_SNAPSHOT_BYTES).collect().await.map_err(|error| error.to_string())?;
            Ok::<_, String>((head, body.to_bytes()))
        };
        let (response, _) = tokio::join!(response, connection);
        response
    };
    let (head, body) = timeout(Duration::from_secs(WAIT_SECONDS) + RESPONSE_SLACK, work)
        .await
        .map_err(|error| text(&error))??;
    match head.status {
        StatusCode::NOT_MODIFIED => Ok(None),
        StatusCode::OK => {
            let tag = head.headers.get(ETAG).and_then(|value| value.to_str().ok());
            let revision = tag.and_then(|tag| tag.trim_matches('"').parse().ok());
            Ok(Some((revision.unwrap_or(0), body)))
        }
        status => Err(format!("{status}")),
    }
}
