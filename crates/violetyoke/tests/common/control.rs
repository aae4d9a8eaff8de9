//! The control plane as a process, and a client of its API.

use super::{until, Client, HttpMessage, NEXT_NUMBER};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;

/// The file of a store. It is removed with all files beside it when dropped.
pub struct StoreFile(pub PathBuf);

impl StoreFile {
    pub fn new() -> StoreFile {
        let number = NEXT_NUMBER.fetch_add(1, Ordering::SeqCst);
        StoreFile(std::env::temp_dir().join(format!("violetyoke-control-{}-{number}", std::process::id())))
    }
}

impl Drop for StoreFile {
    fn drop(&mut self) {
        for suffix in ["", "-wal", "-shm", ".pepper", ".epochs"] {
            let _ = std::fs::remove_file(format!("{}{suffix}", self.0.display()));
        }
    }
}

/// A running control plane, which is killed when dropped.
pub struct Control {
    pub address: SocketAddr,
    pub child: Child,
    /// The first operator's key, if this process created it.
    pub key: Option<String>,
}

impl Control {
    pub fn start(file: &StoreFile, arguments: &[&str]) -> Control {
        let is_new = !file.0.exists();
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
        let (shared_address, stderr) = (address.clone(), child.stderr.take().unwrap());
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                eprintln!("{line}");
                if let Some(text) = line.strip_prefix("violetyoke: control plane on ") {
                    *shared_address.lock().unwrap() = text.parse().ok();
                }
            }
        });
        until("the control plane listens", || {
            assert!(child.try_wait().unwrap().is_none(), "the control plane ended");
            address.lock().unwrap().is_some()
        });
        let address = address.lock().unwrap().unwrap();
        // With a new store, the key is printed before the address is logged.
        let mut key = None;
        if is_new {
            let mut line = String::new();
            BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
            key = line.trim().rsplit(' ').next().map(String::from);
        }
        Control { address, child, key }
    }

    pub fn api(&self, key: &str) -> Api {
        Api { address: self.address, key: key.to_string() }
    }

    /// A client with the first operator's key.
    pub fn operator(&self) -> Api {
        self.api(self.key.as_ref().expect("this process created the first key"))
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

/// A client of the API with a key.
#[derive(Clone)]
pub struct Api {
    pub address: SocketAddr,
    pub key: String,
}

/// A response of the API.
#[derive(Debug)]
pub struct ApiResponse {
    pub status: u16,
    pub body: Value,
    pub version: Option<String>,
    pub http: HttpMessage,
}

impl Api {
    pub fn request(&self, method: &str, path: &str, body: &str, headers: &str) -> String {
        format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nAuthorization: Bearer {}\r\n{headers}\
             Content-Length: {}\r\n\r\n{body}",
            self.key,
            body.len()
        )
    }

    pub fn try_call(&self, method: &str, path: &str, body: &str, headers: &str) -> Option<ApiResponse> {
        let mut client = Client::try_open(self.address)?;
        client.try_call(self.request(method, path, body, headers)).map(api_response)
    }

    pub fn call(&self, method: &str, path: &str, body: &str, headers: &str) -> ApiResponse {
        self.try_call(method, path, body, headers).expect("the API responds")
    }

    pub fn get(&self, path: &str) -> ApiResponse {
        self.call("GET", path, "", "")
    }

    pub fn post(&self, path: &str, body: impl ToString) -> ApiResponse {
        self.call("POST", path, &body.to_string(), "")
    }

    /// Creates a resource, or fails the test.
    pub fn create(&self, path: &str, body: impl ToString) -> Value {
        let response = self.post(path, body);
        assert_eq!(response.status, 201, "{response:?}");
        response.body
    }

    /// Calls without a check of the resource's version.
    pub fn call_any_version(&self, method: &str, path: &str, body: impl ToString) -> ApiResponse {
        self.call(method, path, &body.to_string(), "If-Match: *\r\n")
    }
}

pub fn api_response(http: HttpMessage) -> ApiResponse {
    let body = serde_json::from_slice(&http.body).unwrap_or_default();
    ApiResponse { status: http.status(), body, version: http.headers.get("etag").cloned(), http }
}

pub const PLAN: &str = r#"{"name": "basic", "rate": 2, "burst": 8}"#;

pub fn tenant(api: &Api, name: &str) {
    let body = json!({"name": name, "hosts": [format!("{name}.example.org")], "pools": ["reservations"]});
    api.create("/v1/tenants", body);
}

pub fn key(api: &Api, path: &str, body: Value) -> Api {
    let made = api.create(path, body);
    Api { address: api.address, key: made["key"].as_str().unwrap().to_string() }
}

/// Options for a high rate limit of keys, which most tests do not exercise.
pub const UNLIMITED_CALLS: &[&str] = &["--rate", "1000000", "--burst", "1000000"];

pub fn start(file: &StoreFile) -> Control {
    Control::start(file, UNLIMITED_CALLS)
}
