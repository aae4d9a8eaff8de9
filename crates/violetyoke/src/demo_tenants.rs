//! `violetyoke demo --tenants`: a control plane and a service with two tenants on this machine. One tenant
//! floods the service, and the effect on the other is printed every second.

use crate::client::Client;
use crate::demo::resolve_port;
use hyper::Method;
use serde_json::{json, Value};
use std::fs;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::{Duration, Instant};
use violetyoke_config::Service;
use violetyoke_control::api::{self, App, Options};
use violetyoke_control::keys::Pepper;
use violetyoke_control::rate_limit::RateLimit;
use violetyoke_control::roles::EpochFile;
use violetyoke_control::store::Sqlite;
use violetyoke_ingress::service;
use violetyoke_standin::http::read_http;
use violetyoke_standin::node::{Node, Shape};

/// Number of connections of the flooding tenant.
const FLOOD_CONNECTIONS: usize = 64;
/// Interval of the other tenant's bookings.
const BOOKING_INTERVAL: Duration = Duration::from_millis(100);

pub fn start(listen: SocketAddr) -> Result<(PathBuf, Service), String> {
    let listen = resolve_port(listen)?;
    let temporary_file =
        |suffix: &str| std::env::temp_dir().join(format!("violetyoke-demo-{}{suffix}", std::process::id()));
    let shape = Shape { service: Duration::from_millis(5), ..Shape::default() };
    let node =
        Node::start(violetyoke_standin::any_port(), "booking-1", shape).map_err(|error| error.to_string())?;
    let (control, key) = control_plane(temporary_file(".db"))?;
    let ingress = tenants(control, &key)?;
    let key_file = temporary_file(".key");
    fs::write(&key_file, ingress).map_err(|error| error.to_string())?;
    let text = format!(
        r#"# What `violetyoke demo --tenants` serves.
[service]
listen = "{listen}"

[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 500, deadline_ms = 1200 }}]
plan = [{{ name = "house", rate = 0 }}]

[control]
address = "{control}"
key_file = "{}"
name = "demo"
"#,
        node.address,
        key_file.display()
    );
    let file = temporary_file(".toml");
    fs::write(&file, text).map_err(|error| error.to_string())?;
    let config = service::read(&file)?;
    println!("The control plane is http://{control}, the operator's key {key}:");
    println!("  VIOLETYOKE_KEY={key} violetyoke tenant --server {control} list");
    println!("  VIOLETYOKE_KEY={key} violetyoke tenant --server {control} set loud weight=1");
    println!("Tenant loud floods, tenant quiet books ten times a second. Ctrl-C ends it.");
    thread::spawn(move || run_clients(listen));
    Ok((file, config))
}

/// Starts a control plane in a new thread. Returns its address and its first key.
fn control_plane(store: PathBuf) -> Result<(SocketAddr, String), String> {
    let (result_sender, result) = mpsc::channel();
    thread::spawn(move || {
        let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => runtime,
            Err(error) => return drop(result_sender.send(Err(error.to_string()))),
        };
        runtime.block_on(async {
            let start_up = async {
                let store = Sqlite::open(&store).map_err(|error| error.to_string())?;
                let rate_limit = RateLimit { calls_per_second: 200.0, burst: 400.0 };
                let options = Options {
                    drain_ms: 5_000,
                    rate_limit,
                    pepper: Pepper::random().map_err(|error| error.to_string())?,
                    epoch_file: EpochFile::none(),
                    clock_offset_ms: Arc::default(),
                };
                let app = App::new(Arc::new(store), options).map_err(|error| error.to_string())?;
                let key = app.create_first_key().map_err(|error| error.to_string())?;
                let key = key.ok_or("the store of the demo is not new")?;
                let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
                let listener = listener.map_err(|error| error.to_string())?;
                let address = listener.local_addr().map_err(|error| error.to_string())?;
                Ok::<_, String>((app, listener, address, key))
            };
            match start_up.await {
                Err(error) => drop(result_sender.send(Err(error))),
                Ok((app, listener, address, key)) => {
                    let _ = result_sender.send(Ok((address, key)));
                    if let Err(error) = api::serve(listener, app, std::future::pending()).await {
                        eprintln!("violetyoke: control plane: {error}");
                    }
                }
            }
        });
    });
    result.recv().map_err(|_| "the control plane ended".to_string())?
}

/// Creates the two tenants. Returns a key for the ingress.
fn tenants(server: SocketAddr, key: &str) -> Result<String, String> {
    let client = Client { server, key: key.to_string() };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| error.to_string())?.block_on(async {
        let create = async |path: &str, body: Value| {
            let reply = client.call(Method::POST, path, Some(body), None).await;
            reply.map_err(|error| error.to_string())
        };
        for name in ["loud", "quiet"] {
            let host = format!("{name}.example.org");
            create("/v1/tenants", json!({"name": name, "hosts": [host], "pools": ["reservations"]})).await?;
            let path = format!("/v1/tenants/{name}");
            create(&format!("{path}/plans"), json!({"name": "basic", "rate": 20, "burst": 20})).await?;
            create(&format!("{path}/accounts"), json!({"name": "hotel-7", "plan": "basic"})).await?;
            let route = json!({"name": "all", "host": host, "pool": "reservations"});
            create(&format!("{path}/routes"), route).await?;
        }
        let created = create("/v1/keys", json!({"role": "ingress", "label": "demo"})).await?;
        created.body["key"].as_str().map(String::from).ok_or_else(|| "no key was created".to_string())
    })
}

/// Runs the clients of both tenants, and prints their results every second.
fn run_clients(address: SocketAddr) {
    let loud: Arc<[AtomicU64; 2]> = Arc::default();
    for _ in 0..FLOOD_CONNECTIONS {
        let loud = loud.clone();
        thread::spawn(move || loop {
            let connection = TcpStream::connect(address);
            if connection.is_ok_and(|stream| flood(stream, &loud).is_some()) {
                continue;
            }
            thread::sleep(Duration::from_millis(50));
        });
    }
    loop {
        let (end, mut times, mut served) = (Instant::now() + Duration::from_secs(1), Vec::new(), 0);
        while Instant::now() < end {
            let started_at = Instant::now();
            let status = TcpStream::connect(address).ok().and_then(|stream| call(&stream, "quiet"));
            served += u32::from(status == Some(200));
            times.push(started_at.elapsed());
            thread::sleep(BOOKING_INTERVAL);
        }
        let max_latency = times.iter().max().map_or(0.0, Duration::as_secs_f64) * 1e3;
        let [sent, served_loud] = [0, 1].map(|which| loud[which].swap(0, Relaxed));
        println!(
            "quiet: {served} of {} served, longest {max_latency:.1} ms   loud: {sent} sent, {served_loud} served",
            times.len()
        );
    }
}

fn flood(stream: TcpStream, counts: &[AtomicU64; 2]) -> Option<()> {
    loop {
        counts[0].fetch_add(1, Relaxed);
        let status = call(&stream, "loud")?;
        counts[1].fetch_add(u64::from(status == 200), Relaxed);
    }
}

fn call(mut stream: &TcpStream, tenant: &str) -> Option<u16> {
    let request = format!(
        "POST /bookings HTTP/1.1\r\nHost: {tenant}.example.org\r\nX-Account: hotel-7\r\n\
         Content-Length: 6\r\n\r\nroom=4"
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_http(&mut BufReader::new(stream)).map(|answer| answer.status())
}
