//! Test doubles for what stands round an ingress (backend, counter, discovery), and the ingress itself as
//! a process. Everything is on loopback; waits are on conditions, with a limit after which a test fails.

use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LIMIT: Duration = Duration::from_secs(15);

/// Waits until the condition holds.
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LIMIT, "waited too long until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// One HTTP message: its first line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Http {
    pub first: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; none at the end of the stream or in the middle of a message.
pub fn read_http(reader: &mut impl BufRead) -> Option<Http> {
    let mut line = String::new();
    let mut http = Http::default();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    http.first = line.trim_end().to_string();
    loop {
        line.clear();
        reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        http.headers.insert(name.to_lowercase(), value.trim().to_string());
    }
    let length = http.headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    http.body = vec![0; length];
    reader.read_exact(&mut http.body).ok()?;
    Some(http)
}

/// What a fake backend does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection.
    Raw(Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes the first bytes, and the others shortly after that.
    Later(Vec<u8>, Vec<u8>),
    /// Says nothing and holds the connection until the peer ends it.
    Hold,
}

pub fn ok(body: &[u8]) -> Reply {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    Reply::Raw(bytes)
}

pub fn raw(text: &str) -> Reply {
    Reply::Raw(text.as_bytes().to_vec())
}

/// Not a header that came: which request of its connection it is, from 1.
pub const NTH: &str = "nth of its connection";

pub struct Backend {
    pub address: SocketAddr,
    state: Arc<BackendState>,
}

type Behaviour = Box<dyn FnMut(&Http) -> Reply + Send>;

struct BackendState {
    reply: Mutex<Behaviour>,
    requests: Mutex<Vec<Http>>,
    connections: AtomicU32,
    ended: AtomicU32,
    late: AtomicU32,
}

impl Backend {
    pub fn start(reply: impl FnMut(&Http) -> Reply + Send + 'static) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(BackendState {
            reply: Mutex::new(Box::new(reply)),
            requests: Mutex::default(),
            connections: AtomicU32::new(0),
            ended: AtomicU32::new(0),
            late: AtomicU32::new(0),
        });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let shared = shared.clone();
                thread::spawn(move || {
                    shared.serve(stream);
                    shared.ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Backend { address, state }
    }

    pub fn requests(&self) -> Vec<Http> {
        self.state.requests.lock().unwrap().clone()
    }

    pub fn seen(&self) -> usize {
        self.state.requests.lock().unwrap().len()
    }

    pub fn connections(&self) -> u32 {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Answers that were followed by late bytes.
    pub fn late(&self) -> u32 {
        self.state.late.load(Ordering::SeqCst)
    }

    /// Connections that either side has ended.
    pub fn ended(&self) -> u32 {
        self.state.ended.load(Ordering::SeqCst)
    }
}

impl BackendState {
    fn serve(&self, mut stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut number = 0;
        while let Some(mut request) = read_http(&mut reader) {
            number += 1;
            request.headers.insert(NTH.into(), number.to_string());
            self.requests.lock().unwrap().push(request.clone());
            let reply = (self.reply.lock().unwrap())(&request);
            match reply {
                Reply::Raw(bytes) => drop(stream.write_all(&bytes)),
                Reply::Close(bytes) => return drop(stream.write_all(&bytes)),
                Reply::Later(bytes, more) => {
                    let _ = stream.write_all(&bytes);
                    thread::sleep(Duration::from_millis(5));
                    let _ = stream.write_all(&more);
                    self.late.fetch_add(1, Ordering::SeqCst);
                }
                Reply::Hold => {
                    let _ = reader.read(&mut [0; 16]);
                    return;
                }
            }
        }
    }
}

/// How the fake counter treats calls.
#[derive(Clone, Copy, PartialEq)]
pub enum Mode {
    Answer,
    Silent,
    Busy,
    /// Closes the connection on the next call.
    Break,
    /// Answers well after the caller's time-out.
    Late,
    /// Adds, and answers with no number in it.
    Noise,
}

pub struct Counter {
    pub address: SocketAddr,
    pub mode: Arc<Mutex<Mode>>,
    /// Name and amount of each call.
    pub calls: Arc<Mutex<Vec<(String, f64)>>>,
    totals: Arc<Mutex<HashMap<String, f64>>>,
    connections: Arc<AtomicU32>,
}

impl Counter {
    pub fn start() -> Counter {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let counter = Counter {
            address: listener.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(Mode::Answer)),
            calls: Arc::default(),
            totals: Arc::default(),
            connections: Arc::default(),
        };
        let connections = counter.connections.clone();
        let (mode, calls, totals) = (counter.mode.clone(), counter.calls.clone(), counter.totals.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                connections.fetch_add(1, Ordering::SeqCst);
                let (mode, calls, totals) = (mode.clone(), calls.clone(), totals.clone());
                thread::spawn(move || Counter::serve(stream, &mode, &calls, &totals));
            }
        });
        counter
    }

    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
    }

    pub fn connections(&self) -> u32 {
        self.connections.load(Ordering::SeqCst)
    }

    pub fn names(&self) -> Vec<String> {
        self.calls.lock().unwrap().iter().map(|(name, _)| name.clone()).collect()
    }

    fn serve(
        mut stream: TcpStream,
        mode: &Mutex<Mode>,
        calls: &Mutex<Vec<(String, f64)>>,
        totals: &Mutex<HashMap<String, f64>>,
    ) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(words) = read_resp(&mut reader) {
            assert_eq!((words.len(), words[0].as_str()), (4, "ADDGET"), "{words:?}");
            let amount: f64 = words[2].parse().unwrap();
            calls.lock().unwrap().push((words[1].clone(), amount));
            let mode = *mode.lock().unwrap();
            let answer = match mode {
                Mode::Silent => continue,
                Mode::Break => return,
                Mode::Busy => "-BUSY\r\n".to_string(),
                Mode::Answer | Mode::Late | Mode::Noise => {
                    if mode == Mode::Late {
                        thread::sleep(Duration::from_millis(120));
                    }
                    let mut totals = totals.lock().unwrap();
                    let total = totals.entry(words[1].clone()).or_default();
                    *total += amount;
                    let text = if mode == Mode::Noise { "?!".to_string() } else { total.to_string() };
                    format!("${}\r\n{text}\r\n", text.len())
                }
            };
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn read_resp(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let words = line.trim_end().strip_prefix('*')?.parse().ok()?;
    let mut word = || {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let mut bytes = vec![0; line.trim_end().strip_prefix('$')?.parse::<usize>().ok()? + 2];
        reader.read_exact(&mut bytes).ok()?;
        String::from_utf8(bytes[..bytes.len() - 2].to_vec()).ok()
    };
    (0..words).map(|_| word()).collect()
}

pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<List>, Condvar)>,
}

#[derive(Default)]
struct List {
    revision: u64,
    members: Vec<Value>,
    changed: Vec<(u64, Value)>,
    silent: bool,
    calls: u32,
}

pub fn member(id: &str, address: SocketAddr, phase: &str) -> Value {
    json!({"id": id, "host_port": address.to_string(), "locality": "hall-a", "flavor": "std-2c", "cell": 0,
           "phase": phase, "size": 1.0, "up_since_ms": 0})
}

impl Discovery {
    pub fn start(members: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let list = List { revision: 1, members, ..List::default() };
        let state = Arc::new((Mutex::new(list), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || Discovery::serve(stream, &shared));
            }
        });
        Discovery { address, state }
    }

    /// Changes one entry and tells the watchers.
    pub fn change(&self, entry: Value) {
        let mut list = self.state.0.lock().unwrap();
        list.revision += 1;
        list.members.retain(|member| member["id"] != entry["id"]);
        list.members.push(entry.clone());
        let revision = list.revision;
        list.changed.push((revision, entry));
        self.state.1.notify_all();
    }

    /// Answers nothing from now on, or again.
    pub fn silence(&self, silent: bool) {
        self.state.0.lock().unwrap().silent = silent;
        self.state.1.notify_all();
    }

    /// Calls that have come in.
    pub fn calls(&self) -> u32 {
        self.state.0.lock().unwrap().calls
    }

    fn serve(mut stream: TcpStream, state: &(Mutex<List>, Condvar)) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_http(&mut reader) {
            let query =
                request.first.split(' ').nth(1).unwrap().split_once('?').map_or("", |(_, query)| query);
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
            };
            let mut list = state.0.lock().unwrap();
            list.calls += 1;
            let end = Instant::now() + Duration::from_millis(value("wait").unwrap_or(0));
            let index = value("index");
            while index.is_some_and(|index| list.revision <= index) && Instant::now() < end {
                let left = end.saturating_duration_since(Instant::now());
                list = state.1.wait_timeout(list, left).unwrap().0;
            }
            if list.silent {
                continue;
            }
            let changed = list.changed.iter().filter(|(revision, _)| index.is_some_and(|at| *revision > at));
            let changed: Vec<_> = changed.map(|(_, entry)| entry.clone()).collect();
            let members = if index.is_some() { changed } else { list.members.clone() };
            let body = json!({"revision": list.revision, "complete": index.is_none(), "members": members});
            drop(list);
            let body = body.to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            if stream.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Settings of one ingress among `balancers`: a safe and an unsafe class, a plan with room and a narrow one.
pub fn settings(index: u16, balancers: u16) -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "aim-us": 750_000, "deadline-us": 2_000_000, "value": 2.0,
               "group": "all", "window-us": 5_000_000, "late-value": 0.0, "streaming": false})
    };
    let plan = |name: &str, rate: f64, burst: f64| {
        json!({"name": name, "quota-rate": rate, "peak-units": burst, "worth-factor": 1.0, "open": 0,
               "ceiling-rate": 0.0, "ceiling-burst": 0.0, "cap-slack": 0.0, "extra-worth": 0.0,
               "overrun-cost": 1.0})
    };
    json!({
        "areas": ["hall-a", "hall-b"], "balancers": balancers, "self-index": index, "zone": 0,
        "bounds": {"attempts-cap": 4, "cancelling": true, "connect-timeout-us": 250_000,
                   "idle-close-us": 30_000_000, "max-open": 20_000, "max-retry-after-us": 2_000_000,
                   "peer-messages": false, "probing": true, "retry-after": true, "second-copies": false,
                   "streams-per-conn": 100},
        "categories": [class("avail-read", "idempotent"), class("booking-post", "at_most_once")],
        "clients": {"marks-retry": true},
        "family-info": {"count-fee": 0.02, "counter-timeout-us": 50_000, "has-counter": true, "largest": 6,
                        "peer-intake": 40.0},
        "granularity-us": 4000, "kinds": ["std-2c"], "registry-mode": "push",
        "report": {"fields": ["outstanding"], "via": "piggyback"},
        "safety": {"answer-slack-us": 16_000, "cold-share": 0.17, "cold-us": 17_000_000,
                   "drain-grace-us": 250_000, "fall-multiple": 3.0, "fall-us": 1_000_000},
        "tariffs": [plan("wide", 50.0, 500.0), plan("narrow", 1.0, 6.0)],
        "weights": "rough"
    })
}

static NEXT: AtomicU32 = AtomicU32::new(0);

/// A running ingress; killed when dropped.
pub struct Ingress {
    pub address: SocketAddr,
    pub child: Child,
    config: PathBuf,
}

/// An address that no other test listens on.
fn free_address() -> SocketAddr {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id();
    let host = format!("127.{}.{}.{}", 1 + process % 250, process / 250 % 250, 1 + number % 250);
    TcpListener::bind((host.as_str(), 0)).unwrap().local_addr().unwrap()
}

impl Ingress {
    pub fn start(counter: &Counter, discovery: &Discovery) -> Ingress {
        Ingress::start_with(counter, discovery, |_| {})
    }

    pub fn start_with(counter: &Counter, discovery: &Discovery, adjust: impl FnOnce(&mut Value)) -> Ingress {
        let mut ingress = Ingress::spawn(counter, discovery, adjust);
        let address = ingress.address;
        until("the ingress is ready", || {
            assert!(ingress.child.try_wait().unwrap().is_none(), "the ingress ended");
            Client::try_open(address).and_then(|mut client| client.try_call(READY)).map(|http| http.status())
                == Some(200)
        });
        ingress
    }

    /// Starts one without waiting until it is ready.
    pub fn spawn(counter: &Counter, discovery: &Discovery, adjust: impl FnOnce(&mut Value)) -> Ingress {
        let address = free_address();
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.address.to_string(),
            "counter": counter.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": []},
            "settings": settings(0, 2)
        });
        adjust(&mut config);
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("violetyoke-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
            .env("EDGE_CONFIG", &path)
            .env_remove("EDGE_LISTEN")
            .env("EDGE_DISCOVERY", discovery.address.to_string())
            .stderr(Stdio::inherit())
            .spawn()
            .unwrap();
        Ingress { address, child, config: path }
    }

    pub fn client(&self) -> Client {
        Client::try_open(self.address).expect("the ingress takes connections")
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Replaces the configuration's file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
        self.signal("-HUP");
    }

    pub fn config(&self) -> Value {
        serde_json::from_slice(&std::fs::read(&self.config).unwrap()).unwrap()
    }

    pub fn exit(&mut self) -> ExitStatus {
        let mut status = None;
        until("the ingress ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Ingress {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n";

/// One client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn try_open(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).unwrap();
    }

    pub fn answer(&mut self) -> Option<Http> {
        read_http(&mut self.reader)
    }

    pub fn try_call(&mut self, text: impl AsRef<[u8]>) -> Option<Http> {
        self.stream.write_all(text.as_ref()).ok()?;
        self.answer()
    }

    pub fn call(&mut self, text: impl AsRef<[u8]>) -> Http {
        self.send(text);
        self.answer().expect("a whole answer")
    }

    /// Whether the peer has ended the connection, with nothing more to read.
    pub fn closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0) | Err(_))
    }
}

/// A well-formed request head for customer 7 of `tier`; each call has an id of its own.
pub fn head(method: &str, class: &str, tier: &str, deadline: &str) -> String {
    let id = NEXT.fetch_add(1, Ordering::SeqCst);
    format!(
        "{method} /{class}/x?room=4%201&q=a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 9b1f03aa{id:08x}\r\n\
         Req-Kind: {class}\r\nX-Tier: {tier}\r\nCookie: account=0000000000000007\r\nReq-Deadline: {deadline}\r\n\
         X-Call-Terms: units=2,spread=2,first=0\r\n"
    )
}

pub fn read_request() -> String {
    head("GET", "avail-read", "wide", "1500m") + "\r\n"
}

pub fn booking(body: &str) -> String {
    head("POST", "booking-post", "wide", "1000m") + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}
