//! A fleet of real processes: one control plane, ingresses, a sink, and a link from each ingress to each of them.

mod begin;

use crate::client::call;
use crate::driven::Driven;
use crate::gate::Gate;
use crate::link::Link;
use crate::process::Process;
use crate::until;
use serde_json::Value;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use violetyoke_ownership::ShardId;
use violetyoke_standin::node::Node;
use violetyoke_standin::sink::{self, Noted};

/// What is to run.
pub struct Plan {
    /// The program, and the stand-ins beside it.
    pub program: PathBuf,
    pub standin: PathBuf,
    pub ingresses: usize,
    pub tenants: Vec<String>,
    /// The duties' file. `SINK` in it stands for the sink's own address.
    pub duties: String,
    /// Duties that the ingresses take part in; none: they have no such section.
    pub take: Vec<String>,
    /// Whether the sink refuses older epochs.
    pub fenced: bool,
    /// Set for every ingress.
    pub environment: Vec<(String, String)>,
}

pub struct Ingress {
    pub name: String,
    pub address: SocketAddr,
    pub process: Process,
    pub to_control: Link,
    pub to_sink: Link,
    pub gate: Gate,
}

pub struct Fleet {
    pub control: Process,
    pub control_address: SocketAddr,
    pub ingresses: Vec<Ingress>,
    pub folder: PathBuf,
    key: String,
    sink_address: SocketAddr,
    history: Vec<Noted>,
    _sink: Process,
    _node: Node,
    links: Driven,
}

/// How long a process may take to be ready.
const READY: Duration = Duration::from_secs(20);

fn failed(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

impl Fleet {
    /// A call of an operator, past all links.
    pub fn try_api(&self, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
        let fields = format!("Authorization: Bearer {}\r\nIf-Match: *\r\n", self.key);
        let body = if body.is_null() { String::new() } else { body.to_string() };
        call(self.control_address, method, path, &fields, &body)
    }

    pub fn api(&self, method: &str, path: &str, body: Value) -> io::Result<Value> {
        match self.try_api(method, path, &body) {
            Some((status, answer)) if status < 300 => Ok(answer),
            other => Err(failed(format!("{method} {path}: {other:?}"))),
        }
    }

    /// Whose a shard is by the control plane's word: the ingress' number and the epoch.
    pub fn owner(&self, lease: &ShardId) -> Option<(usize, u64)> {
        let path = format!("/v1/duties/{}/shards/{}", lease.role, lease.index);
        let (_, shard) = self.try_api("GET", &path, &Value::Null)?;
        let name = shard["holder"].as_str()?.split('#').next()?;
        let place = self.ingresses.iter().position(|ingress| ingress.name == name)?;
        Some((place, shard["epoch"].as_u64()?))
    }

    /// All that the sink has noted so far.
    pub fn history(&mut self) -> &[Noted] {
        let path = format!("/history?from={}", self.history.len());
        let new = call(self.sink_address, "GET", &path, "", "").and_then(|(_, new)| sink::parse(&new));
        self.history.extend(new.unwrap_or_default());
        &self.history
    }

    /// Waits until what the sink has noted is so.
    pub fn noted(&mut self, within: Duration, mut so: impl FnMut(&[Noted]) -> bool) -> bool {
        until(within, || so(self.history()))
    }

    /// The oldest backup that was made once the fleet ran.
    pub fn oldest_backup(&self) -> Option<PathBuf> {
        let entries = fs::read_dir(self.folder.join("backups")).ok()?.flatten().map(|entry| entry.path());
        let mut backups: Vec<PathBuf> =
            entries.filter(|path| path.extension().is_some_and(|end| end == "sqlite")).collect();
        backups.sort();
        // The first is made when the store is new, and knows nobody.
        backups.into_iter().nth(1)
    }

    /// The control plane's end, and its start with the store as a backup has it.
    pub fn put_back(&mut self, backup: &Path) -> io::Result<()> {
        self.control.kill()?;
        let store = self.folder.join("store");
        for end in ["-wal", "-shm"] {
            let _ = fs::remove_file(format!("{}{end}", store.display()));
        }
        fs::copy(backup, &store)?;
        self.restart_control()
    }

    pub fn restart_control(&mut self) -> io::Result<()> {
        let lives = self.control.count("control plane on");
        self.control.again()?;
        let up = self.control.wait_for("control plane on", lives, READY);
        up.map(drop).ok_or_else(|| failed("the control plane did not come back"))
    }

    pub fn restart(&mut self, ingress: usize) -> io::Result<()> {
        let ingress = &mut self.ingresses[ingress];
        let lives = ingress.process.count("serving on");
        ingress.process.again()?;
        let up = ingress.process.wait_for("serving on", lives, READY);
        up.map(drop).ok_or_else(|| failed(format!("{} did not come back", ingress.name)))
    }

    /// The control plane's wall clock is off by that from now on.
    pub fn set_clock(&self, ms: i64) -> io::Result<()> {
        fs::write(self.folder.join("clock"), ms.to_string())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Files go once nobody writes them.
        let _ = self.control.kill();
        for ingress in &mut self.ingresses {
            let _ = ingress.process.kill();
        }
        // What processes wrote is kept where somebody asks for it.
        if let Some(folder) = std::env::var_os("VIOLETYOKE_RIG_LOGS").map(PathBuf::from) {
            let _ = fs::create_dir_all(&folder);
            let _ = fs::write(folder.join("control.log"), self.control.lines().join("\n"));
            for ingress in &self.ingresses {
                let _ = fs::write(
                    folder.join(format!("{}.log", ingress.name)),
                    ingress.process.lines().join("\n"),
                );
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
