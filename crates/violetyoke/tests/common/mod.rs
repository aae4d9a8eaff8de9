//! The program as a process, its clients, and the platform's settings. The services that it depends on are
//! stubs of `violetyoke-standin`. All sockets are on loopback. Tests wait for conditions, and fail after a
//! time-out.

#![allow(
    clippy::let_underscore_must_use,
    clippy::needless_pass_by_value,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]
#![allow(dead_code, unreachable_pub, unused_imports, reason = "each file of tests uses its own part")]

pub mod control;
pub mod grpc;
pub mod shared_socket;
pub mod tenant_service;

use serde_json::{json, Value};
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
pub use violetyoke_standin::counter::{Counter, Mode};
pub use violetyoke_standin::discovery::{member, Discovery};
pub use violetyoke_standin::http::{read_http, HttpMessage};
pub use violetyoke_standin::scripted::{ok, raw, Backend, Reply, NTH};

const TIMEOUT: Duration = Duration::from_secs(15);

/// Waits until the condition holds.
pub fn until(text: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {text}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Settings of one of `balancers` ingresses: an idempotent and an at-most-once class, and plans with a high and
/// with a low quota.
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

static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);

/// A running ingress, which is killed when dropped.
pub struct Ingress {
    pub address: SocketAddr,
    pub child: Child,
    config: PathBuf,
    pub log: Log,
}

type Log = Arc<Mutex<Vec<String>>>;

/// Collects the log lines of a process, and also prints them.
fn collect_log(child: &mut Child) -> Log {
    let log = Log::default();
    let (lines, stderr) = (log.clone(), child.stderr.take().unwrap());
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            eprintln!("{line}");
            lines.lock().unwrap().push(line);
        }
    });
    log
}

/// An address that no other test listens on.
///
/// The socket is bound but never listens. A process that another thread is starting has copies of all sockets
/// until it executes its program, and a copy of a listening socket would keep the address in use.
pub fn free_address() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_reuse_address(true).unwrap();
    socket.bind(&SocketAddr::new(unused_host(), 0).into()).unwrap();
    socket.local_addr().unwrap().as_socket().unwrap()
}

/// A listener on such an address, which no other process can take.
pub fn free_listener() -> TcpListener {
    TcpListener::bind((unused_host(), 0)).unwrap()
}

/// A loopback host that no other test uses at the same time.
fn unused_host() -> IpAddr {
    let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    let process = std::process::id();
    let octet = |number: u32| (number % 250) as u8;
    Ipv4Addr::new(127, 1 + octet(process), octet(process / 250), 1 + octet(number)).into()
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

    /// Starts an ingress without waiting until it is ready.
    pub fn spawn(counter: &Counter, discovery: &Discovery, adjust: impl FnOnce(&mut Value)) -> Ingress {
        Ingress::spawn_as(counter, discovery, adjust, Command::new)
    }

    /// Starts an ingress by a command that the caller builds from the path of the program.
    pub fn spawn_as(
        counter: &Counter,
        discovery: &Discovery,
        adjust: impl FnOnce(&mut Value),
        command: impl FnOnce(&'static str) -> Command,
    ) -> Ingress {
        let address = free_address();
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "discovery": discovery.address.to_string(),
            "counter": counter.address.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"revision": 0, "complete": true, "members": []},
            "settings": settings(0, 2)
        });
        adjust(&mut config);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("violetyoke-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).unwrap();
        let mut child = command(env!("CARGO_BIN_EXE_violetyoke"))
            .env("EDGE_CONFIG", &path)
            .env_remove("EDGE_LISTEN")
            .env("EDGE_DISCOVERY", discovery.address.to_string())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = collect_log(&mut child);
        Ingress { address, child, config: path, log }
    }

    /// The number of log lines that contain this text.
    pub fn count_log_lines(&self, text: &str) -> usize {
        self.log.lock().unwrap().iter().filter(|line| line.contains(text)).count()
    }

    pub fn client(&self) -> Client {
        Client::try_open(self.address).expect("the ingress accepts connections")
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, text: &str) {
        std::fs::write(&self.config, text).unwrap();
        self.signal("-HUP");
    }

    pub fn config(&self) -> Value {
        serde_json::from_slice(&std::fs::read(&self.config).unwrap()).unwrap()
    }

    pub fn wait_for_exit(&mut self) -> ExitStatus {
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

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn try_open(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.stream.write_all(text.as_ref()).unwrap();
    }

    /// Sends on a connection that the peer may already have closed.
    pub fn try_send(&mut self, text: impl AsRef<[u8]>) -> Option<()> {
        self.stream.write_all(text.as_ref()).ok()
    }

    pub fn read_response(&mut self) -> Option<HttpMessage> {
        read_http(&mut self.reader)
    }

    pub fn try_call(&mut self, text: impl AsRef<[u8]>) -> Option<HttpMessage> {
        self.stream.write_all(text.as_ref()).ok()?;
        self.read_response()
    }

    pub fn call(&mut self, text: impl AsRef<[u8]>) -> HttpMessage {
        self.send(text);
        self.read_response().expect("a complete response")
    }

    /// Whether the peer has closed the connection and no data is left to read.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.reader.read(&mut [0; 1]), Ok(0) | Err(_))
    }
}

/// A valid request head for customer 7 of `tier`, with a new id for each call.
pub fn request_head(method: &str, class: &str, tier: &str, deadline: &str) -> String {
    let id = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
    format!(
        "{method} /{class}/x?room=4%201&q=a HTTP/1.1\r\nHost: app.svc\r\nReq-Id: 9b1f03aa{id:08x}\r\n\
         Req-Kind: {class}\r\nX-Tier: {tier}\r\nCookie: account=0000000000000007\r\nReq-Deadline: {deadline}\r\n\
         X-Call-Terms: units=2,spread=2,first=0\r\n"
    )
}

pub fn read_request() -> String {
    request_head("GET", "avail-read", "wide", "1500m") + "\r\n"
}

pub fn booking(body: &str) -> String {
    request_head("POST", "booking-post", "wide", "1000m")
        + &format!("Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The service with a configuration file, which is killed when dropped.
pub struct Service {
    pub address: SocketAddr,
    pub child: Child,
    pub file: PathBuf,
    log: Log,
    reloads: usize,
}

impl Service {
    /// Starts the service with a file in which `LISTEN` is replaced by any free address.
    pub fn start(text: &str) -> Service {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        let file = std::env::temp_dir().join(format!("violetyoke-{}-{number}.toml", std::process::id()));
        std::fs::write(&file, text.replace("LISTEN", "127.0.0.1:0")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
            .arg("serve")
            .arg(&file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = collect_log(&mut child);
        let mut service = Service { address: ([127, 0, 0, 1], 0).into(), child, file, log, reloads: 0 };
        until("the service listens", || {
            assert!(service.child.try_wait().unwrap().is_none(), "the service ended");
            let line = service.log().into_iter().find_map(|line| {
                line.strip_prefix("violetyoke: serving on ").map(|address| address.parse().unwrap())
            });
            line.map(|address| service.address = address).is_some()
        });
        service
    }

    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap().clone()
    }

    fn count_log_lines(&self, text: &str) -> usize {
        self.log().iter().filter(|line| line.contains(text)).count()
    }

    /// Replaces the file, sends SIGHUP, and waits until it is in force.
    pub fn reload(&mut self, text: &str) {
        std::fs::write(&self.file, text.replace("LISTEN", "127.0.0.1:0")).unwrap();
        self.signal("-HUP");
        self.reloads += 1;
        until("the file is in force", || self.count_log_lines("is in force") >= self.reloads);
    }

    /// Replaces the file, sends SIGHUP, and waits until the file is rejected.
    pub fn reload_rejected(&mut self, text: &str) {
        let before = self.count_log_lines("the configuration in force stays");
        std::fs::write(&self.file, text.replace("LISTEN", "127.0.0.1:0")).unwrap();
        self.signal("-HUP");
        until("the file is rejected", || self.count_log_lines("the configuration in force stays") > before);
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    pub fn client(&self) -> Client {
        Client::try_open(self.address).expect("the service accepts connections")
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// A request in the service's format, with default values for all optional fields.
pub fn service_request(method: &str, host: &str, path: &str, account: &str, body: &str) -> String {
    let length = if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Account: {account}\r\n{length}\r\n{body}")
}
