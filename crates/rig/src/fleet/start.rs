//! The steps of a fleet's start.

use super::{Fleet, Ingress, Plan, CONTROL_READY, INGRESS_READY, START_TIMEOUT};
use crate::breakpoints::Breakpoints;
use crate::free_address;
use crate::link::Link;
use crate::process::Process;
use crate::runtime_thread::RuntimeThread;
use serde_json::json;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;
use violetyoke_standin::node::{Node, Shape};

impl Fleet {
    /// Starts all processes, creates the tenants, and returns once each ingress is ready.
    ///
    /// # Errors
    /// Those of files, sockets and processes; a refused call; a process that is not ready in time.
    pub fn start(plan: &Plan) -> io::Result<Fleet> {
        let links = RuntimeThread::start()?;
        let control_address = free_address()?;
        let folder = create_folder(control_address)?;
        let sink = start_sink(plan)?;
        let sink_address: SocketAddr =
            ready_line(&sink, "127.", "the sink")?.parse().map_err(io::Error::other)?;
        fs::write(folder.join("duties.toml"), plan.duties.replace("SINK", &sink_address.to_string()))?;
        fs::write(folder.join("clock"), "0")?;
        let control = start_control(plan, control_address, &folder)?;
        let key_line = ready_line(&control, "key, shown once", "the control plane's first key")?;
        ready_line(&control, CONTROL_READY, "the control plane")?;
        let shape = Shape { workers: 16, queue: 256, service: Duration::from_millis(1), ..Shape::default() };
        let mut fleet = Fleet {
            control,
            control_address,
            ingresses: Vec::new(),
            folder,
            operator_key: last_word(&key_line).to_string(),
            sink_address,
            history: Vec::new(),
            _sink: sink,
            node: Node::start(violetyoke_standin::any_port(), "n1", shape)?,
            links,
        };
        for tenant in &plan.tenants {
            fleet.create_tenant(tenant)?;
        }
        fleet.create_ingress_key()?;
        for number in 0..plan.ingresses {
            let ingress = fleet.start_ingress(plan, &format!("i{number}"))?;
            fleet.ingresses.push(ingress);
        }
        for ingress in &fleet.ingresses {
            ready_line(&ingress.process, INGRESS_READY, &ingress.name)?;
        }
        Ok(fleet)
    }

    fn create_tenant(&self, name: &str) -> io::Result<()> {
        let host = format!("{name}.example.org");
        let path = format!("/v1/tenants/{name}");
        let tenant = json!({ "name": name, "hosts": [host], "pools": ["reservations"] });
        self.call_api("POST", "/v1/tenants", &tenant)?;
        let plan = json!({ "name": "basic", "rate": 10_000, "burst": 10_000 });
        self.call_api("POST", &format!("{path}/plans"), &plan)?;
        let account = json!({ "name": "hotel-7", "plan": "basic" });
        self.call_api("POST", &format!("{path}/accounts"), &account)?;
        let route = json!({ "name": "all", "host": host, "pool": "reservations" });
        self.call_api("POST", &format!("{path}/routes"), &route)?;
        Ok(())
    }

    /// Writes the file with the key that all ingresses call the control plane with.
    fn create_ingress_key(&self) -> io::Result<()> {
        let created = self.call_api("POST", "/v1/keys", &json!({ "role": "ingress", "label": "rig" }))?;
        let key = created["key"].as_str().ok_or_else(|| io::Error::other("the new key is missing"))?;
        fs::write(self.folder.join("key"), key)
    }

    fn start_ingress(&self, plan: &Plan, name: &str) -> io::Result<Ingress> {
        let address = free_address()?;
        let runtime = self.links.handle();
        let control_link = Link::start(runtime, self.control_address)?;
        let sink_link = Link::start(runtime, self.sink_address)?;
        let breakpoints = Breakpoints::start()?;
        let mut settings = format!(
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
            self.node.address,
            control_link.address,
            self.folder.join("key").display(),
            self.folder.join(format!("{name}.held")).display(),
        );
        if !plan.joined_duties.is_empty() {
            let duties =
                format!("[duties]\ntake = {:?}\nsink = \"{}\"\n", plan.joined_duties, sink_link.address);
            settings += &duties;
        }
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let mut command = Command::new(&plan.program);
        command.arg("serve").arg(&file).env("VIOLETYOKE_GATE", breakpoints.address.to_string());
        command.envs(plan.environment.iter().map(|(name, value)| (name, value)));
        let process = Process::start(command)?;
        Ok(Ingress { name: name.into(), address, process, control_link, sink_link, breakpoints })
    }
}

/// A directory that no other fleet on this machine has: the control plane's port is its own.
fn create_folder(control_address: SocketAddr) -> io::Result<PathBuf> {
    let name = format!("violetyoke-rig-{}-{}", std::process::id(), control_address.port());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(folder.join("backups"))?;
    Ok(folder)
}

fn start_sink(plan: &Plan) -> io::Result<Process> {
    let mut command = Command::new(&plan.standin);
    command.arg("sink");
    if !plan.has_fencing {
        command.arg("--without-fence");
    }
    Process::start(command)
}

fn start_control(plan: &Plan, address: SocketAddr, folder: &Path) -> io::Result<Process> {
    let mut command = Command::new(&plan.program);
    command.args(["control", "--rate", "5000", "--burst", "5000", "--backup-seconds", "4"]);
    command.args(["--listen", &address.to_string()]);
    for (option, file) in [
        ("--store", "store"),
        ("--duties", "duties.toml"),
        ("--backups", "backups"),
        ("--clock-offset", "clock"),
    ] {
        command.arg(option).arg(folder.join(file));
    }
    Process::start(command)
}

/// The first line that shows that a process is ready.
fn ready_line(process: &Process, pattern: &str, name: &str) -> io::Result<String> {
    let line = process.wait_for_line(pattern, 0, START_TIMEOUT);
    line.ok_or_else(|| io::Error::new(io::ErrorKind::TimedOut, format!("{name} did not start")))
}

fn last_word(line: &str) -> &str {
    line.rsplit(' ').next().unwrap_or(line)
}
