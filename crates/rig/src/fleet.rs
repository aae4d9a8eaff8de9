//! A fleet of real processes: one control plane, ingresses, a sink, and a link from each ingress to each of them.

use crate::client::call;
use crate::gate::Gate;
use crate::link::Link;
use crate::process::Process;
use crate::{free_address, until};
use serde_json::{json, Value};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use tokio::runtime::Runtime;
use violetyoke_ownership::Name;
use violetyoke_standin::node::{Node, Shape};
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
    _runtime: Runtime,
}

/// How long a process may take to be ready.
const READY: Duration = Duration::from_secs(20);

fn failed(what: impl Into<String>) -> io::Error {
    io::Error::other(what.into())
}

impl Fleet {
    pub fn start(plan: &Plan) -> io::Result<Fleet> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let control_address = free_address()?;
        let folder = std::env::temp_dir().join(format!(
            "violetyoke-rig-{}-{}",
            std::process::id(),
            control_address.port()
        ));
        fs::create_dir_all(folder.join("backups"))?;
        let mut command = Command::new(&plan.standin);
        command.arg("sink");
        if !plan.fenced {
            command.arg("--without-fence");
        }
        let sink = Process::start(command)?;
        let line = sink.wait_for("127.", 0, READY).ok_or_else(|| failed("the sink did not start"))?;
        let sink_address: SocketAddr = line.parse().map_err(io::Error::other)?;
        fs::write(folder.join("duties.toml"), plan.duties.replace("SINK", &sink_address.to_string()))?;
        fs::write(folder.join("clock"), "0")?;
        let mut command = Command::new(&plan.program);
        command.args(["control", "--rate", "5000", "--burst", "5000", "--backup-seconds", "4"]);
        command.args(["--listen", &control_address.to_string()]);
        for (name, file) in [
            ("--store", "store"),
            ("--duties", "duties.toml"),
            ("--backups", "backups"),
            ("--clock-offset", "clock"),
        ] {
            command.arg(name).arg(folder.join(file));
        }
        let control = Process::start(command)?;
        let line =
            control.wait_for("key, shown once", 0, READY).ok_or_else(|| failed("no operator's key"))?;
        let key = line.rsplit(' ').next().unwrap_or_default().to_string();
        control
            .wait_for("control plane on", 0, READY)
            .ok_or_else(|| failed("the control plane did not start"))?;
        let shape = Shape { workers: 16, queue: 256, service: Duration::from_millis(1), ..Shape::default() };
        let node = Node::start(violetyoke_standin::any(), "n1", shape)?;
        let mut fleet = Fleet {
            control,
            control_address,
            ingresses: Vec::new(),
            folder,
            key,
            sink_address,
            history: Vec::new(),
            _sink: sink,
            _node: node,
            _runtime: runtime,
        };
        for tenant in &plan.tenants {
            fleet.make_tenant(tenant)?;
        }
        let made = fleet.api("POST", "/v1/keys", json!({ "role": "ingress", "label": "rig" }))?;
        fs::write(fleet.folder.join("key"), made["key"].as_str().unwrap_or_default())?;
        for number in 0..plan.ingresses {
            let ingress = fleet.ingress(plan, &format!("i{number}"))?;
            fleet.ingresses.push(ingress);
        }
        let serving = |ingress: &Ingress| ingress.process.wait_for("serving on", 0, READY).is_some();
        match fleet.ingresses.iter().all(serving) {
            true => Ok(fleet),
            false => Err(failed("an ingress did not start")),
        }
    }

    fn make_tenant(&self, name: &str) -> io::Result<()> {
        let host = format!("{name}.example.org");
        let path = format!("/v1/tenants/{name}");
        self.api("POST", "/v1/tenants", json!({ "name": name, "hosts": [host], "pools": ["reservations"] }))?;
        self.api(
            "POST",
            &format!("{path}/plans"),
            json!({ "name": "basic", "rate": 10_000, "burst": 10_000 }),
        )?;
        self.api("POST", &format!("{path}/accounts"), json!({ "name": "hotel-7", "plan": "basic" }))?;
        self.api(
            "POST",
            &format!("{path}/routes"),
            json!({ "name": "all", "host": host, "pool": "reservations" }),
        )?;
        Ok(())
    }

    fn ingress(&self, plan: &Plan, name: &str) -> io::Result<Ingress> {
        let address = free_address()?;
        let runtime = self._runtime.handle();
        let to_control = Link::start(runtime, self.control_address)?;
        let to_sink = Link::start(runtime, self.sink_address)?;
        let gate = Gate::start()?;
        let mut text = format!(
            r#"[service]
listen = "{address}"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 500, deadline_ms = 1000 }}]
plan = [{{ name = "house", rate = 0 }}]
[control]
address = "{}"
key_file = "{}"
name = "{name}"
last_good = "{}"
"#,
            self._node.address,
            to_control.address,
            self.folder.join("key").display(),
            self.folder.join(format!("{name}.held")).display(),
        );
        if !plan.take.is_empty() {
            text += &format!("[duties]\ntake = {:?}\nsink = \"{}\"\n", plan.take, to_sink.address);
        }
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, text)?;
        let mut command = Command::new(&plan.program);
        command.arg("serve").arg(&file).env("VIOLETYOKE_GATE", gate.address.to_string());
        command.envs(plan.environment.iter().map(|(name, value)| (name, value)));
        Ok(Ingress {
            name: name.into(),
            address,
            process: Process::start(command)?,
            to_control,
            to_sink,
            gate,
        })
    }

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
    pub fn owner(&self, lease: &Name) -> Option<(usize, u64)> {
        let path = format!("/v1/duties/{}/shards/{}", lease.duty, lease.shard);
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
