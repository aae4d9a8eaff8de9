//! A fleet of real processes: one control plane, ingresses, a sink, and a link from each ingress to each of the two.

mod start;

use crate::breakpoints::Breakpoints;
use crate::http_client::{self, Request, Response};
use crate::link::Link;
use crate::process::Process;
use crate::runtime_thread::RuntimeThread;
use crate::wait_until;
use serde_json::Value;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetyoke_ownership::ShardId;
use violetyoke_standin::node::Node;
use violetyoke_standin::sink::{self, ReceivedEffect};

/// How long a process may take to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Written by a control plane that is ready.
const CONTROL_READY: &str = "control plane on";
/// Written by an ingress that is ready.
const INGRESS_READY: &str = "serving on";

/// What a fleet consists of.
pub struct Plan {
    /// The program of the control plane and of the ingresses.
    pub program: PathBuf,
    /// The program of the stand-ins.
    pub standin: PathBuf,
    /// How many ingresses to start.
    pub ingresses: usize,
    /// Names of tenants to create.
    pub tenants: Vec<String>,
    /// The control plane's file of duties (TOML); `SINK` in it stands for the sink's address.
    pub duties: String,
    /// The duties that the ingresses take part in; none: their settings have no section of duties.
    pub joined_duties: Vec<String>,
    /// Whether the sink refuses effects of older epochs.
    pub has_fencing: bool,
    /// Environment variables of each ingress.
    pub environment: Vec<(String, String)>,
}

/// An ingress of a fleet.
pub struct Ingress {
    /// Its name at the control plane.
    pub name: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
    /// The link to the control plane.
    pub control_link: Link,
    /// The link to the sink.
    pub sink_link: Link,
    /// Pauses its workers before they act.
    pub breakpoints: Breakpoints,
}

/// Who owns a shard according to the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardOwner {
    /// The place in [`Fleet::ingresses`].
    pub ingress: usize,
    /// The epoch of its lease.
    pub epoch: u64,
}

/// Running processes with their files; dropping it kills the processes and removes the files. The processes' output is
/// kept in the directory that `VIOLETYOKE_RIG_LOGS` names, if set.
pub struct Fleet {
    /// The control plane.
    pub control: Process,
    /// Where the control plane listens.
    pub control_address: SocketAddr,
    /// All ingresses.
    pub ingresses: Vec<Ingress>,
    /// The directory with the fleet's files.
    folder: PathBuf,
    operator_key: String,
    sink_address: SocketAddr,
    /// What the sink had received at the last look.
    history: Vec<ReceivedEffect>,
    _sink: Process,
    node: Node,
    links: RuntimeThread,
}

impl Fleet {
    /// A request of an operator to the control plane, directly and not through a link; none if it does not respond.
    pub fn try_call_api(&self, method: &str, path: &str, body: &Value) -> Option<Response> {
        let fields = format!("Authorization: Bearer {}\r\nIf-Match: *\r\n", self.operator_key);
        let body = if body.is_null() { String::new() } else { body.to_string() };
        let request = Request { method, path, fields: &fields, body: &body };
        http_client::send(self.control_address, request)
    }

    /// The same, and returns the body of a successful response.
    ///
    /// # Errors
    /// When there is no response, or its status is 300 or more.
    pub fn call_api(&self, method: &str, path: &str, body: &Value) -> io::Result<Value> {
        match self.try_call_api(method, path, body) {
            Some(response) if response.status < 300 => Ok(response.body),
            other => Err(io::Error::other(format!("{method} {path}: {other:?}"))),
        }
    }

    /// Who owns a shard; none: nobody, or the control plane does not respond.
    pub fn owner(&self, shard: &ShardId) -> Option<ShardOwner> {
        let state = self.try_call_api("GET", &shard_path(shard), &Value::Null)?.body;
        let name = state["holder"].as_str()?.split('#').next()?;
        let ingress = self.ingresses.iter().position(|ingress| ingress.name == name)?;
        Some(ShardOwner { ingress, epoch: state["epoch"].as_u64()? })
    }

    /// All that the sink has received so far, in its order.
    pub fn history(&mut self) -> &[ReceivedEffect] {
        let path = format!("/history?from={}", self.history.len());
        let request = Request { method: "GET", path: &path, fields: "", body: "" };
        let response = http_client::send(self.sink_address, request);
        // Without a response the history stays as known: the next look asks for the same part again.
        self.history.extend(response.and_then(|response| sink::parse(&response.body)).into_iter().flatten());
        &self.history
    }

    /// Waits until the condition holds for the sink's history; whether it did within the timeout.
    pub fn wait_for_history(
        &mut self,
        timeout: Duration,
        mut condition: impl FnMut(&[ReceivedEffect]) -> bool,
    ) -> bool {
        wait_until(timeout, || condition(self.history()))
    }

    /// The oldest backup of the control plane's store that was made while the fleet ran.
    pub fn oldest_backup(&self) -> Option<PathBuf> {
        let entries = fs::read_dir(self.folder.join("backups")).ok()?.flatten().map(|entry| entry.path());
        let mut backups: Vec<PathBuf> =
            entries.filter(|path| path.extension().is_some_and(|extension| extension == "sqlite")).collect();
        backups.sort();
        // The first is made of a new store, before any ingress is registered.
        backups.into_iter().nth(1)
    }

    /// Kills the control plane, replaces its store by a backup, and starts it again.
    ///
    /// # Errors
    /// Those of the process and of the files.
    pub fn restore_backup(&mut self, backup: &Path) -> io::Result<()> {
        self.control.kill()?;
        let store = self.folder.join("store");
        for suffix in ["-wal", "-shm"] {
            match fs::remove_file(format!("{}{suffix}", store.display())) {
                Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
                Ok(()) | Err(_) => {}
            }
        }
        fs::copy(backup, &store)?;
        self.restart_control()
    }

    /// Restarts the control plane and waits until it is ready.
    ///
    /// # Errors
    /// Those of the process, or that it is not ready in time.
    pub fn restart_control(&mut self) -> io::Result<()> {
        restart_until_ready(&mut self.control, CONTROL_READY, "the control plane")
    }

    /// Restarts an ingress and waits until it is ready.
    ///
    /// # Errors
    /// Those of the process, or that it is not ready in time.
    pub fn restart_ingress(&mut self, ingress: usize) -> io::Result<()> {
        let ingress = &mut self.ingresses[ingress];
        restart_until_ready(&mut ingress.process, INGRESS_READY, &ingress.name)
    }

    /// From now on the control plane's wall clock differs from the machine's by this many milliseconds.
    ///
    /// # Errors
    /// Those of writing the file that the control plane reads the offset from.
    pub fn set_clock_offset_ms(&self, offset_ms: i64) -> io::Result<()> {
        fs::write(self.folder.join("clock"), offset_ms.to_string())
    }

    fn write_logs(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)?;
        fs::write(folder.join("control.log"), self.control.lines().join("\n"))?;
        for ingress in &self.ingresses {
            fs::write(folder.join(format!("{}.log", ingress.name)), ingress.process.lines().join("\n"))?;
        }
        Ok(())
    }
}

/// The resource of a shard at the control plane.
pub(crate) fn shard_path(shard: &ShardId) -> String {
    format!("/v1/duties/{}/shards/{}", shard.role, shard.index)
}

fn restart_until_ready(process: &mut Process, ready_line: &str, name: &str) -> io::Result<()> {
    let seen_before = process.count_lines(ready_line);
    process.restart()?;
    let line = process.wait_for_line(ready_line, seen_before, START_TIMEOUT);
    line.map(drop).ok_or_else(|| io::Error::other(format!("{name} did not become ready again")))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Files are removed once nobody writes them. A process that cannot be killed has ended.
        self.control.kill().unwrap_or_default();
        for ingress in &mut self.ingresses {
            ingress.process.kill().unwrap_or_default();
        }
        if let Some(folder) = std::env::var_os("VIOLETYOKE_RIG_LOGS") {
            if let Err(error) = self.write_logs(Path::new(&folder)) {
                eprintln!("logs of the fleet are not kept: {error}");
            }
        }
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            eprintln!("{} is not removed: {error}", self.folder.display());
        }
    }
}
