//! Snapshots of made-up tenants, and a control plane that hands them out.

use crate::process::Result;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::Duration;
use violetyoke_standin::http::read_http;
use violetyoke_tenants::model::{Account, Limits, Plan, Route};
use violetyoke_tenants::snapshot::{Snapshot, TenantView};

/// A tenant with one plan, accounts `a0`, `a1` and so on, and a host of its name.
pub fn tenant(name: &str, pool: &str, accounts: usize, rate: f64, burst: f64) -> TenantView {
    let host = format!("{name}.example.org");
    let account = |number| Account { name: format!("a{number}"), plan: "basic".into() };
    TenantView {
        name: name.into(),
        epoch: 1,
        weight: 1,
        limits: Limits::default(),
        draining: false,
        hosts: vec![host.clone()],
        pools: vec![pool.into()],
        plans: vec![Plan {
            name: "basic".into(),
            rate,
            burst,
            max_in_flight: 0,
            value: 1.0,
            hard_limit_rate: 0.0,
            hard_limit_burst: 0.0,
        }],
        accounts: (0..accounts).map(account).collect(),
        routes: vec![Route {
            name: "all".into(),
            host,
            path: "/*".into(),
            method: None,
            pool: pool.into(),
            default_class: None,
        }],
    }
}

/// A snapshot's revision and bytes.
type Newest = (u64, Arc<Vec<u8>>);

/// Hands the newest snapshot to whoever holds another, and lets others wait.
pub struct ControlPlane {
    pub address: SocketAddr,
    state: Arc<(Mutex<Newest>, Condvar)>,
}

impl ControlPlane {
    pub fn start(snapshot: &Snapshot) -> Result<ControlPlane> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let first = (snapshot.revision, Arc::new(serde_json::to_vec(snapshot)?));
        let state = Arc::new((Mutex::new(first), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || {
                    let request = read_http(&mut BufReader::new(&stream))?;
                    let held = request
                        .start_line
                        .split("held=")
                        .nth(1)?
                        .split(['&', ' '])
                        .next()?
                        .parse::<u64>()
                        .ok()?;
                    let (now, changed) = &*shared;
                    let newest = now.lock().unwrap_or_else(PoisonError::into_inner);
                    let wait = Duration::from_secs(15);
                    let (newest, _) = changed
                        .wait_timeout_while(newest, wait, |newest| newest.0 == held)
                        .unwrap_or_else(PoisonError::into_inner);
                    let (revision, body) = newest.clone();
                    drop(newest);
                    let head = match revision == held {
                        true => "HTTP/1.1 304 Not Modified\r\nConnection: close\r\n\r\n".to_string(),
                        false => format!(
                            "HTTP/1.1 200 OK\r\nETag: \"{revision}\"\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
                            body.len()
                        ),
                    };
                    stream.write_all(head.as_bytes()).ok()?;
                    if revision != held {
                        stream.write_all(&body).ok()?;
                    }
                    Some(())
                });
            }
        });
        Ok(ControlPlane { address, state })
    }

    pub fn change(&self, snapshot: &Snapshot) -> Result<()> {
        let new = (snapshot.revision, Arc::new(serde_json::to_vec(snapshot)?));
        *self.state.0.lock().unwrap_or_else(PoisonError::into_inner) = new;
        self.state.1.notify_all();
        Ok(())
    }
}

/// A key's file: what stands there is of no matter to this control plane.
pub fn key_file() -> Result<std::path::PathBuf> {
    let path = std::env::temp_dir().join(format!("violetyoke-xtask-{}.key", std::process::id()));
    std::fs::write(&path, "vy_none")?;
    Ok(path)
}
