//! The control plane as a process, and a client of its API.

use super::{until, Client, HttpMessage, NEXT};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

/// A store's file, removed with all that stands beside it.
pub struct StoreFile(pub PathBuf);

impl StoreFile {
    pub fn new() -> StoreFile {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        StoreFile(std::env::temp_dir().join(format!("violetyoke-control-{}-{number}", std::process::id())))
    }
}

impl Drop for StoreFile {
    fn drop(&mut self) {
        for end in ["", "-wal", "-shm", ".pepper", ".epochs"] {
            let _ = std::fs::remove_file(format!("{}{end}", self.0.display()));
        }
    }
}

/// A running control plane; killed when dropped.
pub struct Control {
    pub address: SocketAddr,
    pub child: Child,
    /// The first operator's key, if this process made it.
    pub key: Option<String>,
}

impl Control {
    pub fn start(file: &StoreFile, arguments: &[&str]) -> Control {
        let fresh = !file.0.exists();
        let mut child = Command::new(env!("CARGO_BIN_EXE_violetyoke"))
            .args(["control", "--store"])
            .arg(&file.0)
            .args(if arguments.contains(&"--listen") { &[][..] } else { &["--listen", "127.0.0.1:0"] })
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let address: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
        let (told, stderr) = (address.clone(), child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                eprintln!("{line}");
                if let Some(text) = line.strip_prefix("violetyoke: control plane on ") {
                    *told.lock().unwrap() = text.parse().ok();
                }
            }
        });
        until("the control plane listens", || {
            assert!(child.try_wait().unwrap().is_none(), "the control plane ended");
            address.lock().unwrap().is_some()
        });
        let address = address.lock().unwrap().unwrap();
        // The key's line comes before the address is told, if the store is new.
        let mut key = None;
        if fresh {
            let mut line = String::new();
            BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
            key = line.trim().rsplit(' ').next().map(String::from);
        }
        Control { address, child, key }
    }

    pub fn api(&self, key: &str) -> Api {
        Api { address: self.address, key: key.to_string() }
    }

    /// An operator's.
    pub fn operator(&self) -> Api {
        self.api(self.key.as_ref().expect("this process made the first key"))
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A caller with a key.
#[derive(Clone)]
pub struct Api {
    pub address: SocketAddr,
    pub key: String,
}

/// What was answered.
#[derive(Debug)]
pub struct Told {
    pub status: u16,
    pub body: Value,
    pub version: Option<String>,
    pub http: HttpMessage,
}

impl Api {
    pub fn request(&self, method: &str, path: &str, body: &str, more: &str) -> String {
        format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nAuthorization: Bearer {}\r\n{more}\
             Content-Length: {}\r\n\r\n{body}",
            self.key,
            body.len()
        )
    }

    pub fn try_call(&self, method: &str, path: &str, body: &str, more: &str) -> Option<Told> {
        let mut client = Client::try_open(self.address)?;
        client.try_call(self.request(method, path, body, more)).map(told)
    }

    pub fn call(&self, method: &str, path: &str, body: &str, more: &str) -> Told {
        self.try_call(method, path, body, more).expect("an answer")
    }

    pub fn get(&self, path: &str) -> Told {
        self.call("GET", path, "", "")
    }

    pub fn post(&self, path: &str, body: impl ToString) -> Told {
        self.call("POST", path, &body.to_string(), "")
    }

    /// Made, or the test fails.
    pub fn make(&self, path: &str, body: impl ToString) -> Value {
        let told = self.post(path, body);
        assert_eq!(told.status, 201, "{told:?}");
        told.body
    }

    /// Whatever its version is.
    pub fn force(&self, method: &str, path: &str, body: impl ToString) -> Told {
        self.call(method, path, &body.to_string(), "If-Match: *\r\n")
    }
}

pub fn told(http: HttpMessage) -> Told {
    let body = serde_json::from_slice(&http.body).unwrap_or_default();
    Told { status: http.status(), body, version: http.headers.get("etag").cloned(), http }
}

pub const PLAN: &str = r#"{"name": "basic", "rate": 2, "burst": 8}"#;

pub fn tenant(api: &Api, name: &str) {
    let body = json!({"name": name, "hosts": [format!("{name}.example.org")], "pools": ["reservations"]});
    api.make("/v1/tenants", body);
}

pub fn key(api: &Api, path: &str, body: Value) -> Api {
    let made = api.make(path, body);
    Api { address: api.address, key: made["key"].as_str().unwrap().to_string() }
}

/// Many calls: the quota of keys is not what most tests are about.
pub const FREE: &[&str] = &["--rate", "1000000", "--burst", "1000000"];

pub fn start(file: &StoreFile) -> Control {
    Control::start(file, FREE)
}
