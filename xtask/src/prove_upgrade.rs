//! `prove upgrade`: three processes take over from one another under load, with nodes out by hand, one that hangs and
//! a counter that says nothing. What was served in time after each takeover stands beside what was before it, and the
//! nodes' own records tell whether a rule was broken.
//!
//! Some accounts come in bursts under a ceiling, which is where a process that knows nothing refuses most: what it may
//! send on untold has to be earned anew.

use crate::figures::Figures;
use crate::load::{ask, ready};
use crate::process::{build_for_proof, free_address, Result};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout};
use violetyoke_standin::counter::{Counter, Mode};
use violetyoke_standin::discovery::{member, Discovery};
use violetyoke_standin::node::{Execution, Fault, Node, Shape};

const NODES: usize = 7;
/// The one that hangs, and those that are out by hand in turn.
const HANGS: usize = 0;
const BY_HAND: [usize; 4] = [1, 2, 3, 4];
const UPGRADES: usize = 3;
/// Accounts that come in bursts, how many requests at once, how often; those that keep a pace, and theirs.
const BURSTING: usize = 16;
const BURST: usize = 6;
const EVERY: Duration = Duration::from_secs(4);
const PACED: usize = 12;
const PAUSE: Duration = Duration::from_millis(150);
const AIM: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_millis(1200);
/// The plan of those that come in bursts: units a second and at once, and the ceiling's.
const QUOTA: (f64, f64) = (4.0, 16.0);
const CEILING: (f64, f64) = (12.0, 40.0);
const SLACK: f64 = 6.0;
/// What the nodes' records may be late by against what an ingress did.
const RECORDED: Duration = Duration::from_millis(250);

/// One request's end.
struct End {
    began: Instant,
    took: Duration,
    /// 0: no whole answer.
    status: u16,
}

type Ends = Rc<RefCell<Vec<End>>>;

/// What all processes share.
struct Platform {
    program: PathBuf,
    listener: TcpListener,
    address: SocketAddr,
    folder: PathBuf,
    counter: SocketAddr,
    discovery: SocketAddr,
}

struct Process {
    child: Child,
    console: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Platform {
    fn new(program: PathBuf, counter: SocketAddr, discovery: SocketAddr) -> Result<Platform> {
        let listener = TcpListener::bind(free_address()?)?;
        let address = listener.local_addr()?;
        let folder = std::env::temp_dir().join(format!("violetyoke-upgrade-{}", address.port()));
        fs::create_dir_all(&folder)?;
        Ok(Platform { program, listener, address, folder, counter, discovery })
    }

    /// Starts a process as the platform does: the socket is its descriptor 7. Returns once it says yes.
    async fn start(&self) -> Result<Process> {
        let console = free_address()?;
        let file = self.folder.join(format!("config-{}.json", console.port()));
        fs::write(&file, self.config(console).to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", "exec 7<&0 0</dev/null; exec \"$0\""])
            .arg(&self.program)
            .stdin(Stdio::from(OwnedFd::from(self.listener.try_clone()?)))
            .stderr(Stdio::inherit())
            .env("EDGE_CONFIG", &file)
            .env("EDGE_PASSED_SOCKET", "7")
            .env("TMPDIR", &self.folder)
            .spawn()?;
        let process = Process { child, console };
        let end = Instant::now() + Duration::from_secs(10);
        // On a thread of its own: the load goes on meanwhile.
        while !tokio::task::spawn_blocking(move || ready(console)).await? {
            if Instant::now() > end {
                return Err("the process did not get ready".into());
            }
            sleep(Duration::from_millis(10)).await;
        }
        Ok(process)
    }

    fn config(&self, console: SocketAddr) -> Value {
        let class = |name: &str, effect: &str| {
            json!({"name": name, "effect": effect, "aim-us": AIM.as_micros() as u64,
                   "deadline-us": DEADLINE.as_micros() as u64, "value": 1.0, "group": "all",
                   "window-us": 0, "late-value": 0.0, "streaming": false})
        };
        let plan = |name: &str, quota: (f64, f64), ceiling: (f64, f64), slack: f64| {
            json!({"name": name, "quota-rate": quota.0, "peak-units": quota.1, "worth-factor": 1.0, "open": 0,
                   "ceiling-rate": ceiling.0, "ceiling-burst": ceiling.1, "cap-slack": slack,
                   "extra-worth": 0.0, "overrun-cost": 1.0})
        };
        json!({
            "name": "n0", "listen": self.address.to_string(), "discovery": self.discovery.to_string(),
            "counter": self.counter.to_string(), "seed": "8c1f30d27a5be964", "console": console.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": []},
            "settings": {
                "areas": ["hall-a"], "balancers": 2, "self-index": 0, "zone": 0,
                "bounds": {"attempts-cap": 4, "cancelling": true, "connect-timeout-us": 250_000,
                           "idle-close-us": 30_000_000, "max-open": 20_000, "max-retry-after-us": 2_000_000,
                           "peer-messages": false, "probing": true, "retry-after": true,
                           "second-copies": false, "streams-per-conn": 100},
                "categories": [class("avail-read", "idempotent"), class("booking-post", "at_most_once")],
                "clients": {"marks-retry": true},
                "family-info": {"count-fee": 0.02, "counter-timeout-us": 50_000, "has-counter": true,
                                "largest": 6, "peer-intake": 40.0},
                "granularity-us": 4000, "kinds": ["std-2c"], "registry-mode": "push",
                "report": {"fields": ["outstanding"], "via": "piggyback"},
                "safety": {"answer-slack-us": 16_000, "cold-share": 0.17, "cold-us": 5_000_000,
                           "drain-grace-us": 250_000, "fall-multiple": 3.0, "fall-us": 1_000_000},
                "tariffs": [plan("wide", (1e4, 1e5), (0.0, 0.0), 0.0), plan("standard", QUOTA, CEILING, SLACK)],
                "weights": "rough"
            }
        })
    }
}

/// Takes a node out by hand or puts it back.
fn by_hand(console: SocketAddr, node: usize, call: &str) -> Result<Instant> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(console)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(
        format!("PUT /-/backends/s-{node}/{call} HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n")
            .as_bytes(),
    )?;
    let mut answer = [0; 12];
    stream.read_exact(&mut answer)?;
    match &answer[9..12] {
        b"200" => Ok(Instant::now()),
        _ => Err(format!("{call} of node {node}: {}", String::from_utf8_lossy(&answer)).into()),
    }
}

/// Requests with ids of their own; the first four digits are the account's.
struct Sender {
    address: SocketAddr,
    serial: RefCell<u32>,
    ends: Ends,
}

impl Sender {
    fn request(&self, account: usize, plan: &str, safe: bool) -> String {
        let mut serial = self.serial.borrow_mut();
        *serial += 1;
        let (method, class, body) = match safe {
            true => ("GET", "avail-read", ""),
            false => ("POST", "booking-post", "Content-Length: 1\r\n"),
        };
        let (deadline, end) = (DEADLINE.as_millis(), if safe { "" } else { "x" });
        format!(
            "{method} /{class}/x HTTP/1.1\r\nHost: app.svc\r\nReq-Id: {account:04x}{:012x}\r\n\
             Req-Kind: {class}\r\nX-Tier: {plan}\r\nCookie: account={account:016x}\r\n\
             Req-Deadline: {deadline}m\r\nX-Call-Terms: units=1,spread=2,first=0\r\n{body}\r\n{end}",
            *serial
        )
    }

    /// Sends one request, on a new connection where there is none, and once more where a kept one had been closed.
    async fn send(&self, connection: &mut Option<TcpStream>, request: String) {
        let began = Instant::now();
        let sent = async {
            for kept in [true, false] {
                let open = match connection.take() {
                    Some(open) => Ok(open),
                    None => TcpStream::connect(self.address).await,
                };
                let Ok(mut open) = open else { return 0 };
                match ask(&mut open, &request).await {
                    Some((status, closes)) => {
                        *connection = Some(open).filter(|_| !closes);
                        return status;
                    }
                    // Nothing came back: the protocol lets clients send once more on a new connection.
                    None if kept => {}
                    None => return 0,
                }
            }
            0
        };
        let status = timeout(2 * DEADLINE, sent).await.unwrap_or(0);
        self.ends.borrow_mut().push(End { began, took: began.elapsed(), status });
    }
}

/// The load, until `end`.
async fn load(sender: Rc<Sender>, end: Instant) {
    let mut tasks = Vec::new();
    let began = Instant::now();
    for account in 0..BURSTING {
        for member in 0..BURST {
            let sender = sender.clone();
            tasks.push(spawn_local(async move {
                let mut connection = None;
                let mut next = began + EVERY.mul_f64(account as f64 / BURSTING as f64);
                while next < end {
                    sleep_until(next.into()).await;
                    let request = sender.request(account + 1, "standard", member % 2 == 0);
                    sender.send(&mut connection, request).await;
                    next += EVERY;
                }
            }));
        }
    }
    for account in 0..PACED {
        let sender = sender.clone();
        tasks.push(spawn_local(async move {
            let mut connection = None;
            let mut next = began + PAUSE.mul_f64(account as f64 / PACED as f64);
            while next < end {
                sleep_until(next.into()).await;
                let request = sender.request(0x100 + account, "wide", account % 2 == 0);
                sender.send(&mut connection, request).await;
                next += PAUSE;
            }
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

pub fn run(long: bool, defence: bool) -> Result<Figures> {
    let program = build_for_proof()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Whole bursts of every account lie in a span.
    let span = if long { Duration::from_secs(12) } else { EVERY };
    LocalSet::new().block_on(&runtime, prove(&program, span, defence))
}

async fn prove(program: &Path, span: Duration, defence: bool) -> Result<Figures> {
    let shape = || Shape { workers: 4, queue: 32, service: Duration::from_millis(15), ..Shape::default() };
    let start = |node: usize| Node::start(violetyoke_standin::any_port(), &format!("s-{node}"), shape());
    let nodes = (0..NODES).map(start).collect::<std::io::Result<Vec<_>>>()?;
    nodes[HANGS].inject(Fault::Hang);
    let member = |(i, node): (usize, &Node)| member(&format!("s-{i}"), node.address, "in_service");
    let discovery = Discovery::start(nodes.iter().enumerate().map(member).collect());
    let counter = Counter::start();
    let platform = Platform::new(program.to_path_buf(), counter.address, discovery.address)?;
    let mut serving = platform.start().await?;
    let mut out = vec![(BY_HAND[0], by_hand(serving.console, BY_HAND[0], "disable")?, None)];
    let ends = Ends::default();
    let sender = Rc::new(Sender { address: platform.address, serial: RefCell::new(0), ends: ends.clone() });
    // Before the first span: what is sick is learned, and what may be sent untold has filled.
    let settle = 3 * EVERY;
    let last = Instant::now() + settle + (span + Duration::from_secs(1)) * (2 * UPGRADES as u32);
    let load = spawn_local(load(sender, last));
    sleep(Duration::from_secs(1)).await;
    counter.set(Mode::Silent);
    sleep(settle - Duration::from_secs(1)).await;
    let mut figures = Figures::default();
    let mut yes = Vec::new();
    for upgrade in 0..UPGRADES {
        sleep(span).await;
        // One more node out through the old process, a moment before; the last one back through the new, after.
        let (taken, back) = (BY_HAND[upgrade + 1], BY_HAND[upgrade]);
        out.push((taken, by_hand(serving.console, taken, "disable")?, None));
        if !defence {
            // Nobody seems to serve: the new process asks for nothing.
            fs::remove_file(platform.folder.join("violetyoke-n0/serving"))?;
        }
        let new = platform.start().await?;
        yes.push(Instant::now());
        let returned = by_hand(new.console, back, "enable")?;
        out.iter_mut().filter(|(node, ..)| *node == back).for_each(|(_, _, back)| *back = Some(returned));
        sleep(Duration::from_millis(500)).await;
        let old = std::mem::replace(&mut serving, new);
        let killed = Command::new("kill").args(["-TERM", &old.child.id().to_string()]).status()?;
        if !killed.success() {
            return Err("the old process had ended".into());
        }
        end(old).await?;
        sleep((yes[upgrade] + span).saturating_duration_since(Instant::now())).await;
    }
    load.await?;
    judge(&mut figures, &ends.borrow(), &yes, span);
    rules(&mut figures, &nodes, &out);
    Ok(figures)
}

/// Waits until the process has ended by itself.
async fn end(mut old: Process) -> Result<()> {
    let limit = Instant::now() + DEADLINE + Duration::from_millis(700);
    loop {
        match old.child.try_wait()? {
            Some(status) if status.success() => return Ok(()),
            Some(status) => return Err(format!("the old process ended with {status}").into()),
            None if Instant::now() > limit => return Err("the old process did not end in its time".into()),
            None => sleep(Duration::from_millis(10)).await,
        }
    }
}

/// The share served within the aim after each takeover, beside that before it.
fn judge(figures: &mut Figures, ends: &[End], yes: &[Instant], span: Duration) {
    let share = |from: Instant, until: Instant| {
        let of: Vec<&End> = ends.iter().filter(|end| (from..until).contains(&end.began)).collect();
        let served = of.iter().filter(|end| end.status == 200 && end.took <= AIM).count();
        (served as f64 / of.len() as f64, of.len())
    };
    for (upgrade, yes) in yes.iter().enumerate() {
        // By then the first word of the upgrade is a second old at most, and part of neither span.
        let ((before, asked), (after, _)) = (
            share(*yes - span - Duration::from_secs(1), *yes - Duration::from_secs(1)),
            share(*yes, *yes + span),
        );
        figures.tell(&format!("upgrade_{}_requests_before", upgrade + 1), asked);
        figures.tell(&format!("upgrade_{}_served_in_aim_before", upgrade + 1), format!("{before:.3}"));
        figures.tell(&format!("upgrade_{}_served_in_aim_after", upgrade + 1), format!("{after:.3}"));
        figures.at_least(&format!("upgrade_{}_after_of_before", upgrade + 1), after / before, 0.97);
    }
    let lost = ends.iter().filter(|end| end.status == 0).count();
    let late = ends.iter().filter(|end| end.took > DEADLINE + Duration::from_millis(50)).count();
    figures.tell("requests", ends.len());
    figures.at_most("requests_lost", lost as f64, 0.0);
    figures.at_most("answers_after_the_deadline", late as f64, 0.0);
}

/// The rules, by what the nodes have recorded.
fn rules(figures: &mut Figures, nodes: &[Node], out: &[(usize, Instant, Option<Instant>)]) {
    let executions: Vec<Vec<Execution>> = nodes.iter().map(Node::executions).collect();
    // Reads may be sent again; a booking's id tells what it is by its account: every other member of a burst posts.
    let mut seen = BTreeSet::new();
    let mut twice = 0;
    let mut spent: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for Execution { id, started } in executions.iter().flatten() {
        twice += usize::from(!seen.insert(id.as_str()));
        let account = id.get(..4).unwrap_or_default();
        if account < "0100" {
            spent.entry(account).or_default().push(*started);
        }
    }
    figures.tell("runs", seen.len());
    figures.at_most("requests_run_twice", twice as f64, 0.0);
    let after_word = |(node, from, until): &(usize, Instant, Option<Instant>)| {
        let barred = |at: &Instant| *at > *from + RECORDED && until.is_none_or(|until| *at < until);
        executions[*node].iter().filter(|execution| barred(&execution.started)).count()
    };
    figures.at_most("runs_on_nodes_out_by_hand", out.iter().map(after_word).sum::<usize>() as f64, 0.0);
    let mut most: f64 = 0.0;
    for times in spent.values_mut() {
        times.sort();
        for first in 0..times.len() {
            for last in first..times.len() {
                let filled = CEILING.0 * (times[last] - times[first] + RECORDED).as_secs_f64();
                most = most.max((last - first + 1) as f64 / (CEILING.1 + SLACK + filled));
            }
        }
    }
    figures.at_most("most_of_a_ceiling", most, 1.0);
}
