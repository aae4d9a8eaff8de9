//! A fleet's start.

use super::{failed, Fleet, Ingress, Plan, READY};
use crate::driven::Driven;
use crate::free_address;
use crate::gate::Gate;
use crate::link::Link;
use crate::process::Process;
use serde_json::json;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use violetyoke_standin::node::{Node, Shape};

impl Fleet {
    pub fn start(plan: &Plan) -> io::Result<Fleet> {
        let links = Driven::start()?;
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
            links,
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
        let runtime = self.links.handle();
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
}
