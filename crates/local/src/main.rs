//! `screen`: the whole system on this machine, to be tried.

use serde_json::json;
use std::io;
use std::process::ExitCode;
use std::time::Duration;
use violetyoke_local::backends::Backend;
use violetyoke_local::calls::{order, resolve};
use violetyoke_local::machines::{Plan, System};
use violetyoke_local::platform::Platform;
use violetyoke_rig::driven::Driven;
use violetyoke_rig::until;

const HELP: &str = "screen

The whole system on this machine: one core, two edges, four stand-in backends; prints what to try.
It runs until its standard input ends or it is interrupted.

screen proxy | registry | store   one of the three programs, as deploy/system.toml runs it

Exit status: 0 fine, 1 it can't run, 2 the command line is wrong.";

fn main() -> ExitCode {
    let mut arguments = std::env::args_os().skip(1);
    let first = arguments.next().map(|word| word.to_string_lossy().into_owned());
    let rest = lexopt::Parser::from_args(arguments);
    match first.as_deref() {
        Some("proxy") => violetyoke_proxy::daemon::program(rest),
        Some("registry") => violetyoke_registry::daemon::program(rest),
        Some("store") => violetyoke_store::daemon::program(rest),
        Some("--help" | "-h") => {
            println!("{HELP}");
            ExitCode::SUCCESS
        }
        Some(other) => {
            eprintln!("screen: {other}: no such word; see --help");
            ExitCode::from(2)
        }
        None => match demonstrate() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("screen: {error}");
                ExitCode::FAILURE
            }
        },
    }
}

fn demonstrate() -> io::Result<()> {
    let driven = Driven::start()?;
    let platform = Platform::start(driven.handle())?;
    let mut backends = Vec::new();
    for (service, work) in [("finder", 20), ("ledger", 40)] {
        for n in 1..=2 {
            let id = format!("{service}-{n}");
            let backend = Backend::start(driven.handle(), &id, service, "a", Duration::from_millis(work))?;
            platform.set(&id, Some(backend.line()));
            backends.push(backend);
        }
    }
    let plan = Plan {
        cores: &[("a", "west")],
        edges: &[("a", "west"), ("a", "west")],
        platform: platform.address,
        tolerance: 0,
    };
    let system = System::start(&std::env::current_exe()?, &plan)?;
    let text = configuration().to_string();
    let acknowledged = order(&system.controls(), "/api/rpc?call=configuration.replace", text.as_bytes());
    if acknowledged.is_none_or(|answer| answer.status() != 200) {
        return Err(io::Error::other("the configuration was not acknowledged"));
    }
    let directory =
        system.cores.first().map(|core| core.directory).ok_or_else(|| io::Error::other("no core"))?;
    if !until(Duration::from_secs(20), || resolve(directory, "west", "a").len() == system.edges.len()) {
        return Err(io::Error::other("the edges are not ready"));
    }
    let (front, control) = (system.edges[0].front, system.cores[0].control);
    println!("The system serves. Its settings and its store's files are in {}.\n", system.folder.display());
    println!("  a search             curl -i -H 'Host: rooms.example' -H 'X-Credential: key-1' http://{front}/search/1");
    println!("  a booking            curl -i -H 'Host: rooms.example' -H 'X-Credential: key-1' -d 2f http://{front}/book/1");
    println!("  past the limit       for n in $(seq 30); do curl -so /dev/null -w '%{{http_code}}\\n' -H 'Host: rooms.example' -H 'X-Credential: key-2' http://{front}/search/1; done");
    println!(
        "  where to go          curl 'http://{directory}/api/resolve?name=rooms.example&region=west&zone=a'"
    );
    println!("  what is in force     curl -X POST 'http://{control}/api/rpc?call=configuration.read'");
    println!("  a wrong change       curl -d '{{\"version\": 9}}' 'http://{control}/api/rpc?call=configuration.replace'");
    println!("\nIt ends when its standard input does (Ctrl-D).");
    io::copy(&mut io::stdin().lock(), &mut io::sink())?;
    Ok(())
}

fn configuration() -> serde_json::Value {
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
