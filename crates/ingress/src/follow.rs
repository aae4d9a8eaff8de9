//! The control plane, followed by a long poll. What comes is read and checked on another thread, and handed over
//! ready; what is no good is told back and leaves what is in force as it is. Without the control plane nothing
//! changes.

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

/// How long the control plane may wait for something new, and how long its answer may take beyond that.
const WAIT_SECONDS: u64 = 20;
const PATIENCE: Duration = Duration::from_secs(10);
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(5);
/// The largest snapshot.
const LARGEST: usize = 1 << 30;

/// What has come, and a way to say that it is in force.
pub type PreparedUpdate = (PreparedConfig, oneshot::Sender<()>);

/// What was held when the process ended, from the file that it is kept in. A file that is no good is told and left.
pub fn last_good(control: &file::Control) -> TenantDirectory {
    let Some(path) = &control.last_good else { return TenantDirectory::default() };
    let read = match fs::read(path) {
        Ok(bytes) => Snapshot::parse(&bytes).and_then(|snapshot| TenantDirectory::default().apply(snapshot)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => return TenantDirectory::default(),
        Err(error) => {
            eprintln!("violetyoke: {}: {error}", path.display());
            return TenantDirectory::default();
        }
    };
    read.unwrap_or_else(|error| {
        eprintln!("violetyoke: {}: {error}", path.display());
        TenantDirectory::default()
    })
}

/// Written whole before it stands under its name: a kill leaves the old one or the new one.
fn keep(path: &Path, directory: &TenantDirectory) -> io::Result<()> {
    let bytes = serde_json::to_vec(&directory.to_snapshot())?;
    let mut new = path.as_os_str().to_owned();
    new.push(".new");
    let mut file = fs::File::create(&new)?;
    file.write_all(&bytes)?;
    file.sync_all()?;
    fs::rename(&new, path)
}

/// Follows for as long as the process runs. `config` is the file in force.
pub async fn follow(
    control: file::Control,
    mut directory: Arc<TenantDirectory>,
    config: watch::Receiver<Arc<file::Service>>,
    offers: mpsc::Sender<PreparedUpdate>,
) {
    let mut pause = FIRST_PAUSE;
    // A revision that was not taken, and why: told with the next call.
    let mut rejected: Option<(u64, String)> = None;
    let mut told = String::new();
    loop {
        let (revision, body) = match ask(&control, directory.revision, rejected.as_ref()).await {
            Ok(Some(answer)) => answer,
            Ok(None) => {
                // A control plane that is ending answers at once: without this, all would ask it as fast as they can.
                sleep(FIRST_PAUSE).await;
                pause = FIRST_PAUSE;
                continue;
            }
            Err(error) => {
                if error != told {
                    eprintln!("violetyoke: control plane {}: {error}", control.address);
                    told = error;
                }
                sleep(pause).await;
                pause = (pause * 2).min(LONGEST_PAUSE);
                continue;
            }
        };
        (pause, told) = (FIRST_PAUSE, String::new());
        let (base, file) = (directory.clone(), config.borrow().clone());
        let prepared = spawn_blocking(move || {
            let taken = Snapshot::parse(&body).and_then(|snapshot| base.apply(snapshot));
            taken
                .map_err(|error| error.to_string())
                .and_then(|directory| PreparedConfig::new(&file, Arc::new(directory)))
        })
        .await;
        match prepared.unwrap_or_else(|_| Err("it could not be read".into())) {
            Ok(prepared) => {
                let (done, in_force) = oneshot::channel();
                let new = prepared.directory.clone();
                if offers.send((prepared, done)).await.is_err() || in_force.await.is_err() {
                    return;
                }
                let old = std::mem::replace(&mut directory, new.clone());
                // The last to hold it may be this one, and it may be large.
                drop(spawn_blocking(move || drop(old)));
                rejected = None;
                if let Some(path) = control.last_good.clone() {
                    let kept = spawn_blocking(move || keep(&path, &new)).await;
                    if let Ok(Err(error)) = kept {
                        eprintln!("violetyoke: control.last_good: {error}");
                    }
                }
            }
            Err(reason) => {
                eprintln!("violetyoke: tenants at revision {revision} are not taken: {reason}");
                rejected = Some((revision, reason));
            }
        }
    }
}

/// The newest; none: there is nothing new.
async fn ask(
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
        let answered = async move {
            let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, LARGEST).collect().await.map_err(|error| error.to_string())?;
            Ok::<_, String>((head, body.to_bytes()))
        };
        let (answered, _) = tokio::join!(answered, connection);
        answered
    };
    let (head, body) =
        timeout(Duration::from_secs(WAIT_SECONDS) + PATIENCE, work).await.map_err(|error| text(&error))??;
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
