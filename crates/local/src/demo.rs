//! A small system with a configuration in force, and commands to try on it.

use serde_json::{json, Value};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use violetyoke_local::client::{resolve_edges, send_command};
use violetyoke_local::{Backend, Placement, Platform, System, Topology};
use violetyoke_rig::runtime_thread::RuntimeThread;
use violetyoke_rig::wait_until;

/// Time limit for the edges to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const SERVICES: [(&str, Duration); 2] =
    [("finder", Duration::from_millis(20)), ("ledger", Duration::from_millis(40))];
const CORES: [Placement<'_>; 1] = [Placement::new("a", "west")];
const EDGES: [Placement<'_>; 2] = [Placement::new("a", "west"), Placement::new("a", "west")];

/// Why the demonstration has failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DemoError {
    #[error("the system can't be started")]
    Start(#[from] io::Error),
    #[error("the configuration was not acknowledged: {}", .status.map_or("no answer".into(), |status| status.to_string()))]
    NotAcknowledged { status: Option<u16> },
    #[error("the edges are not ready after {READY_TIMEOUT:?}")]
    NotReady,
}

/// Starts the system, prints what to try, and runs until the standard input ends.
pub(crate) fn run() -> Result<(), DemoError> {
    let runtime = RuntimeThread::start()?;
    let platform = Platform::start(runtime.handle())?;
    start_backends(&runtime, &platform)?;
    let topology =
        Topology { cores: &CORES, edges: &EDGES, platform: platform.address, tolerated_machine_losses: 0 };
    let system = System::start(&std::env::current_exe()?, &topology)?;
    replace_configuration(&system)?;
    let (core, edge) = (&system.cores[0], &system.edges[0]);
    let is_ready = || resolve_edges(core.directory, "west", "a").len() == EDGES.len();
    if !wait_until(READY_TIMEOUT, is_ready) {
        return Err(DemoError::NotReady);
    }
    println!("The system serves. Its settings and its store's files are in {}.\n", system.folder.display());
    print_commands(edge.front, core.control, core.directory);
    println!("\nIt ends when its standard input does (Ctrl-D).");
    io::copy(&mut io::stdin().lock(), &mut io::sink())?;
    Ok(())
}

fn start_backends(runtime: &RuntimeThread, platform: &Platform) -> io::Result<()> {
    for (service, service_time) in SERVICES {
        for n in 1..=2 {
            let id = format!("{service}-{n}");
            let backend = Backend::start(runtime.handle(), &id, service, "a", service_time)?;
            platform.set(&id, backend.list_entry());
        }
    }
    Ok(())
}

fn replace_configuration(system: &System) -> Result<(), DemoError> {
    let target = "/api/rpc?call=configuration.replace";
    let response = send_command(&system.control_addresses(), target, configuration().to_string().as_bytes());
    match response.map(|response| response.status()) {
        Some(200) => Ok(()),
        status => Err(DemoError::NotAcknowledged { status }),
    }
}

fn print_commands(front: SocketAddr, control: SocketAddr, directory: SocketAddr) {
    let get = format!("curl -i -H 'Host: rooms.example' -H 'X-Credential: key-1' http://{front}");
    let post = format!("curl -i -H 'Host: rooms.example' -H 'X-Credential: key-1' -d 2f http://{front}");
    let past_limit = format!(
        "for n in $(seq 30); do curl -so /dev/null -w '%{{http_code}}\\n' -H 'Host: rooms.example' \
         -H 'X-Credential: key-2' http://{front}/search/1; done"
    );
    println!("  a search             {get}/search/1");
    println!("  a booking            {post}/book/1");
    println!("  past the limit       {past_limit}");
    println!(
        "  where to go          curl 'http://{directory}/api/resolve?name=rooms.example&region=west&zone=a'"
    );
    println!("  what is in force     curl -X POST 'http://{control}/api/rpc?call=configuration.read'");
    println!(
        "  a wrong change       curl -d '{{\"version\": 9}}' 'http://{control}/api/rpc?call=configuration.replace'"
    );
}

fn configuration() -> Value {
    json!({
        "version": 1,
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-kind", "timeout-ms", "target-ms", "attempts", "service"],
            "rows": [["search", "rooms.example", "/search/", "idempotent", 1000, 400, 2, "finder"],
                     ["book", "rooms.example", "/book/", "nonidempotent", 1000, 400, 2, "ledger"]]
        },
        "services": {"columns": ["name", "cold-s", "cold-rate-s"], "rows": [["finder", 3, 20], ["ledger", 3, 20]]},
        "tenants": {"columns": ["name", "api-keys", "rate-per-s", "burst"],
                    "rows": [["kolkheti", ["key-1"], 0, 0], ["svaneti", ["key-2"], 10, 10]]}
    })
}
