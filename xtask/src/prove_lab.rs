//! `prove lab`: the emulator beside the real program. Three ingresses of the platform's form run on loopback over four
//! stand-in nodes, and get the very tries that the emulated fleet gets, at the same times. What was served, refused
//! and failed must come out alike, through four scripts.

use crate::figures::Figures;
use crate::load::{ask, ready};
use crate::process::{build_for_proof, free_address, Result};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};
use violetyoke_decision::interface::{Idempotency, Settings};
use violetyoke_lab::account::IngressSet;
use violetyoke_lab::demand::{accounts, Demand, Demanded};
use violetyoke_lab::experiment::{parse, Experiment};
use violetyoke_lab::world::{Policy, World};
use violetyoke_standin::counter::{Counter, Mode};
use violetyoke_standin::discovery::{member, Discovery};
use violetyoke_standin::node::{Fault, Node, Shape};

const FILE: &str = include_str!("../../crates/lab/calibration/loopback.toml");
/// How far shares may be apart.
const APART: f64 = 0.05;
const SEED: u64 = 11;
const FAULT_AT: Duration = Duration::from_secs(4);
const FAULT_LASTS: Duration = Duration::from_secs(3);

/// What happens, in the file's words and on the stand-ins.
#[derive(Clone, Copy, PartialEq)]
enum Script {
    Calm,
    /// Far more than the nodes can do.
    Crowd,
    /// The counter says nothing for a while.
    Silence,
    /// One node fails all that it gets.
    Failing,
}

impl Script {
    const ALL: [(&'static str, Script); 4] = [
        ("calm", Script::Calm),
        ("crowd", Script::Crowd),
        ("silence", Script::Silence),
        ("failing", Script::Failing),
    ];

    fn experiment(self, workers: usize) -> Result<Experiment> {
        let (at, lasts) = (FAULT_AT.as_secs(), FAULT_LASTS.as_secs());
        let fault = |keys: &str| format!("\n[[fault]]\n{keys}\nat_seconds = {at}\nfor_seconds = {lasts}\n");
        let text = FILE.replace("workers = 2", &format!("workers = {workers}"));
        let text = match self {
            Script::Calm => text,
            Script::Crowd => text
                .replace("tries_per_second = 150", "tries_per_second = 420")
                .replace("accounts = 24", "accounts = 120"),
            Script::Silence => text + &fault("kind = \"silence_counter\""),
            Script::Failing => text + &fault("kind = \"fail_nodes\"\nnode = 0"),
        };
        parse(&text).map_err(|errors| errors.to_string().into())
    }
}

pub fn run(long: bool, defence: bool) -> Result<Figures> {
    let program = build_for_proof()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut figures = Figures::default();
    for seed in SEED..SEED + if long { 5 } else { 1 } {
        for (name, script) in Script::ALL {
            let experiment = script.experiment(2)?;
            // Without the defence: an emulator whose nodes have half of the real ones' workers.
            let emulated = script.experiment(if defence { 2 } else { 1 })?;
            let lab = World::new(&emulated, seed, Policy::Module).run();
            let real = LocalSet::new().block_on(&runtime, play(&program, &experiment, seed, script))?;
            figures.tell(&format!("{name}_{seed}_tries"), real.iter().sum::<u64>());
            let all = real.iter().sum::<u64>().max(1) as f64;
            let shares = real.map(|many| many as f64 / all);
            let emulated = lab.shares();
            let emulated = [emulated.served, emulated.refused, emulated.failed];
            for (what, (lab, real)) in
                ["served", "refused", "failed"].into_iter().zip(emulated.into_iter().zip(shares))
            {
                figures.tell(&format!("{name}_{seed}_{what}_lab"), format!("{lab:.3}"));
                figures.tell(&format!("{name}_{seed}_{what}_real"), format!("{real:.3}"));
                figures.at_most(&format!("{name}_{seed}_{what}_apart"), (lab - real).abs(), APART);
            }
            figures.at_most(
                &format!("{name}_{seed}_rules_broken_in_lab"),
                if lab.violations.is_none() { 0.0 } else { 1.0 },
                0.0,
            );
        }
    }
    Ok(figures)
}

/// The real processes; they end with it.
struct Fleet {
    processes: Vec<Child>,
    addresses: Vec<SocketAddr>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in &mut self.processes {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    async fn start(
        program: &Path,
        experiment: &Experiment,
        counter: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<Fleet> {
        let first = free_address()?;
        let folder = std::env::temp_dir().join(format!("violetyoke-lab-{}", first.port()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Fleet { processes: Vec::new(), addresses: Vec::new(), folder };
        for index in 0..experiment.ingresses {
            let listen = if index == 0 { first } else { free_address()? };
            let file = fleet.folder.join(format!("config-{index}.json"));
            let config = config(experiment, index, listen, counter, discovery);
            fs::write(&file, config.to_string())?;
            let mut process = Command::new(program);
            process.env("EDGE_CONFIG", &file).env("TMPDIR", &fleet.folder).stderr(Stdio::null());
            fleet.processes.push(process.spawn()?);
            fleet.addresses.push(listen);
        }
        let end = Instant::now() + Duration::from_secs(10);
        for address in fleet.addresses.clone() {
            while !tokio::task::spawn_blocking(move || ready(address)).await? {
                if Instant::now() > end {
                    return Err("an ingress did not get ready".into());
                }
                sleep(Duration::from_millis(10)).await;
            }
        }
        Ok(fleet)
    }
}

/// What the platform would tell an ingress of the experiment's fleet.
fn config(
    experiment: &Experiment,
    index: usize,
    listen: SocketAddr,
    counter: SocketAddr,
    discovery: SocketAddr,
) -> Value {
    let Settings { limits, safety, .. } = &experiment.settings;
    let class = |class: &violetyoke_lab::experiment::Class| {
        let effect =
            if class.class.idempotency == Idempotency::Idempotent { "idempotent" } else { "at_most_once" };
        json!({"name": class.name, "effect": effect, "aim-us": class.class.latency_target, "deadline-us": class.class.deadline,
               "value": class.class.value, "group": "all", "window-us": 0, "late-value": 0.0, "streaming": false})
    };
    let plan = |plan: &violetyoke_lab::experiment::Plan| {
        let (name, plan) = (&plan.name, &plan.plan);
        json!({"name": name, "quota-rate": plan.rate, "peak-units": plan.burst, "worth-factor": plan.value,
               "open": 0, "ceiling-rate": plan.hard_limit_rate, "ceiling-burst": plan.hard_limit_burst,
               "cap-slack": plan.hard_limit_slack, "extra-worth": plan.over_quota_value, "overrun-cost": plan.over_quota_cost})
    };
    let timeout = experiment.settings.counter.map_or(0, |counter| counter.timeout);
    json!({
        "name": format!("n{index}"), "listen": listen.to_string(), "discovery": discovery.to_string(),
        "counter": counter.to_string(), "seed": "5be2a07c91d3f846", "limits": {"sockets": 4096},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {
            "areas": ["hall-a"], "balancers": experiment.ingresses, "self-index": index, "zone": 0,
            "bounds": {"attempts-cap": limits.max_attempts, "cancelling": true,
                       "connect-timeout-us": limits.connect_timeout, "idle-close-us": limits.idle_timeout,
                       "max-open": 20_000, "max-retry-after-us": limits.max_retry_after,
                       "peer-messages": false, "retry-after": true, "streams-per-conn": 1},
            "categories": experiment.classes.iter().map(class).collect::<Vec<_>>(),
            "family-info": {"counter-timeout-us": timeout, "has-counter": true,
                            "largest": experiment.settings.max_request_units, "peer-intake": 0.0},
            "granularity-us": experiment.settings.tick, "kinds": ["std"], "registry-mode": "push",
            "report": {"fields": [], "via": "silent"},
            "safety": {"answer-slack-us": safety.deadline_slack, "cold-share": safety.slow_start_share,
                       "cold-us": safety.slow_start_time, "drain-grace-us": safety.drain_grace,
                       "fall-multiple": safety.overload_multiple, "fall-us": safety.overload_time},
            "tariffs": experiment.plans.iter().map(plan).collect::<Vec<_>>(),
            "weights": "silent"
        }
    })
}

/// Tries served, refused and failed by the real fleet, in the time that counts.
async fn play(program: &Path, experiment: &Experiment, seed: u64, script: Script) -> Result<[u64; 3]> {
    let class = &experiment.classes[0];
    let shape = || Shape {
        workers: experiment.nodes.workers,
        queue: experiment.nodes.queue,
        service: Duration::from_micros(class.mean_work as u64),
        ..Shape::default()
    };
    let start = |node: usize| Node::start(violetyoke_standin::any_port(), &format!("n{node}"), shape());
    let nodes = (0..experiment.nodes.count).map(start).collect::<std::io::Result<Vec<_>>>()?;
    let listed = |(place, node): (usize, &Node)| member(&format!("n{place}"), node.address, "in_service");
    let discovery = Discovery::start(nodes.iter().enumerate().map(listed).collect());
    let counter = Counter::start();
    let fleet = Fleet::start(program, experiment, counter.address, discovery.address).await?;
    let senders: Vec<Rc<Sender>> =
        fleet.addresses.iter().map(|address| Rc::new(Sender::to(*address))).collect();

    let began = Instant::now();
    let fault = async {
        sleep_until((began + FAULT_AT).into()).await;
        match script {
            Script::Silence => counter.set(Mode::Silent),
            Script::Failing => nodes[0].inject(Fault::Error),
            Script::Calm | Script::Crowd => {}
        }
        sleep(FAULT_LASTS).await;
        counter.set(Mode::Answer);
        nodes[0].inject(Fault::None);
    };
    let load = async {
        let sets = accounts(experiment, seed);
        let mut demand = Demand::new(experiment, seed);
        let (mut at, mut tasks, mut serial) = (0, Vec::new(), 0);
        loop {
            // The same draws in the same order as the emulator's.
            at += demand.next_arrival(1.0).max(1);
            if at >= experiment.duration {
                break;
            }
            let demanded = demand.next_request();
            serial += 1;
            let set = &sets[demanded.account].set;
            let place = set.ingress(demanded.ingress_draw, experiment.ingresses);
            let request = request(experiment, &demanded, set, serial);
            let deadline = experiment.classes[usize::from(demanded.class)].class.deadline;
            let (sender, counts) = (senders[place].clone(), at >= experiment.warm_up);
            sleep_until((began + Duration::from_micros(at)).into()).await;
            tasks.push(spawn_local(async move {
                let status = sender.send(request, 2 * Duration::from_micros(deadline)).await;
                (counts, status)
            }));
        }
        let mut ends = [0; 3];
        for task in tasks {
            let Ok((true, status)) = task.await else { continue };
            ends[match status {
                200 => 0,
                429 | 503 => 1,
                _ => 2,
            }] += 1;
        }
        ends
    };
    let (ends, ()) = tokio::join!(load, fault);
    Ok(ends)
}

fn request(experiment: &Experiment, demanded: &Demanded, set: &IngressSet, serial: u32) -> String {
    let class = &experiment.classes[usize::from(demanded.class)];
    let (name, deadline) = (&class.name, class.class.deadline);
    let (method, body, end) = match class.class.idempotency {
        Idempotency::Idempotent => ("GET", "", ""),
        _ => ("POST", "Content-Length: 1\r\n", "x"),
    };
    let (account, units) = (demanded.account + 1, demanded.units);
    let IngressSet { first, spread, .. } = set;
    let plan = &experiment.plans[0].name;
    format!(
        "{method} /{name}/x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {account:04x}{serial:012x}\r\nReq-Kind: {name}\r\n\
         X-Tier: {plan}\r\nCookie: account={account:016x}\r\nReq-Deadline: {deadline}u\r\n\
         X-Call-Terms: units={units},spread={spread},first={first}\r\n{body}\r\n{end}"
    )
}

/// Connections to one ingress: each carries one request at a time, and there are as many as are needed.
struct Sender {
    address: SocketAddr,
    idle: RefCell<Vec<TcpStream>>,
}

impl Sender {
    fn to(address: SocketAddr) -> Sender {
        Sender { address, idle: RefCell::default() }
    }

    /// Status of the answer; 0: there was none.
    async fn send(&self, request: String, longest: Duration) -> u16 {
        let sent = async {
            // A kept connection may have been closed meanwhile: then once more on a new one.
            let kept = self.idle.borrow_mut().pop();
            for open in [kept, None] {
                let kept = open.is_some();
                let mut open = match open {
                    Some(open) => open,
                    None => TcpStream::connect(self.address).await.ok()?,
                };
                match ask(&mut open, &request).await {
                    Some((status, closes)) => {
                        if !closes {
                            self.idle.borrow_mut().push(open);
                        }
                        return Some(status);
                    }
                    None if kept => {}
                    None => return None,
                }
            }
            None
        };
        timeout(longest, sent).await.ok().flatten().unwrap_or(0)
    }
}
