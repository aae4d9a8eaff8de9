//! Stubs on the command line: `violetyoke-standin node`, `discovery`, `counter`, `limiter` or `sink`. Each prints its
//! address, serves until its standard input ends, and takes commands from there, one per line.

use clap::{Args, Parser, Subcommand};
use std::io::{self, BufRead};
use std::net::{AddrParseError, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;
use violetyoke_standin::counter::Counter;
use violetyoke_standin::discovery::{member, Discovery};
use violetyoke_standin::node::{Fault, Node, Shape, UnknownFault};
use violetyoke_standin::rate_limit_server::{start_minimal, RateLimitServer, UnknownBehavior};
use violetyoke_standin::sink::Sink;

/// Stubs of the processes that an ingress communicates with, on loopback addresses.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    stub: Stub,
}

#[derive(Subcommand)]
enum Stub {
    /// An HTTP node with workers and a queue. A line on standard input sets its fault: none, decline, hang, reset,
    /// spoil, error or closed.
    Node(NodeOptions),
    /// A discovery with a list of nodes, given as ID=ADDRESS. A line on standard input changes one:
    /// ID=ADDRESS PHASE, with in_service, terminating or terminated.
    Discovery {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        nodes: Vec<String>,
    },
    /// An external rate limit server. A line on standard input sets how it answers: answer, delay MS, silent, error,
    /// garble, lenient or strict; or ends its connections: goaway or break.
    #[command(name = "limiter")]
    RateLimitServer(RateLimitServerOptions),
    /// A receiver of reports and probes, which rejects those of older epochs. GET /history returns what was received.
    Sink {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Reject nothing, to show the effect of missing fencing.
        #[arg(long)]
        without_fence: bool,
    },
    /// A counter.
    Counter {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
}

#[derive(Args)]
struct NodeOptions {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    #[arg(long, default_value = "node")]
    name: String,
    #[arg(long, default_value_t = 4)]
    workers: usize,
    #[arg(long, default_value_t = 16)]
    queue: usize,
    /// How long a worker takes for a request.
    #[arg(long, default_value_t = 2.0)]
    service_ms: f64,
    /// Fraction of the full speed at which the node starts.
    #[arg(long, default_value_t = 1.0)]
    cold_share: f64,
    #[arg(long, default_value_t = 0)]
    cold_ms: u64,
    #[arg(long, default_value = "none")]
    fault: Fault,
}

#[derive(Args)]
struct RateLimitServerOptions {
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// Units of each descriptor in each window.
    #[arg(long, default_value_t = 10)]
    limit: u64,
    #[arg(long, default_value_t = 1_000)]
    window_ms: u64,
    /// Answer OK to every call, and neither count nor record calls: for comparison in measurements.
    #[arg(long)]
    bare: bool,
}

/// A line on standard input, or an argument, that cannot be used.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Fault(#[from] UnknownFault),
    #[error(transparent)]
    Behavior(#[from] UnknownBehavior),
    #[error("{0:?} is not ID=ADDRESS")]
    Node(String),
    #[error("{text:?} is not an address")]
    Address { text: String, source: AddrParseError },
    #[error("{0:?} is none of in_service, terminating, terminated")]
    Phase(String),
    #[error("a {0} takes no words")]
    NoCommands(&'static str),
}

fn main() -> ExitCode {
    let run = match Cli::parse().stub {
        Stub::Node(options) => run_node(&options),
        Stub::Discovery { listen, nodes } => run_discovery(listen, &nodes),
        Stub::RateLimitServer(options) if options.bare => run_minimal_rate_limit_server(&options),
        Stub::RateLimitServer(options) => run_rate_limit_server(&options),
        Stub::Sink { listen, without_fence } => run_sink(listen, !without_fence),
        Stub::Counter { listen } => run_counter(listen),
    };
    match run {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetyoke-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_node(options: &NodeOptions) -> io::Result<()> {
    let has_valid_times = (0.0..=600_000.0).contains(&options.service_ms);
    if !has_valid_times || !(0.01..=1.0).contains(&options.cold_share) || options.workers == 0 {
        let reason = "workers over 0, service-ms of 0 to 600000 and cold-share of 0.01 to 1";
        return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
    }
    let shape = Shape {
        workers: options.workers,
        queue: options.queue,
        service: Duration::from_secs_f64(options.service_ms / 1e3),
        initial_speed: options.cold_share,
        slow_start: Duration::from_millis(options.cold_ms),
        min_body_bytes: 0,
    };
    let node = Node::start(options.listen, &options.name, shape)?;
    node.inject(options.fault);
    println!("{}", node.address);
    for_each_line(|line| {
        node.inject(line.parse()?);
        Ok(())
    })
}

fn run_discovery(listen: SocketAddr, nodes: &[String]) -> io::Result<()> {
    let members = nodes.iter().map(|node| parse_member(node, "in_service")).collect::<Result<_, _>>();
    let members = members.map_err(|error| io::Error::new(io::ErrorKind::InvalidInput, error))?;
    let discovery = Discovery::start_at(listen, members)?;
    println!("{}", discovery.address);
    for_each_line(|line| {
        let (node, phase) = line.split_once(' ').unwrap_or((line, "in_service"));
        discovery.update(parse_member(node, phase)?);
        Ok(())
    })
}

fn run_rate_limit_server(options: &RateLimitServerOptions) -> io::Result<()> {
    let window = Duration::from_millis(options.window_ms);
    let server = RateLimitServer::start(options.listen, options.limit, window)?;
    println!("{}", server.address);
    for_each_line(|line| {
        match line {
            "goaway" => server.close_gracefully(),
            "break" => server.close_abruptly(),
            _ => server.set(line.parse()?),
        }
        Ok(())
    })
}

fn run_minimal_rate_limit_server(options: &RateLimitServerOptions) -> io::Result<()> {
    println!("{}", start_minimal(options.listen)?);
    for_each_line(|_| Err(CommandError::NoCommands("bare limiter")))
}

fn run_sink(listen: SocketAddr, has_fencing: bool) -> io::Result<()> {
    let sink = Sink::start(listen, has_fencing)?;
    println!("{}", sink.address);
    for_each_line(|_| Err(CommandError::NoCommands("sink")))
}

fn run_counter(listen: SocketAddr) -> io::Result<()> {
    let counter = Counter::start_at(listen)?;
    println!("{}", counter.address);
    for_each_line(|_| Err(CommandError::NoCommands("counter")))
}

/// An entry of the discovery from ID=ADDRESS and its phase.
fn parse_member(node: &str, phase: &str) -> Result<serde_json::Value, CommandError> {
    let (id, address) = node.split_once('=').ok_or_else(|| CommandError::Node(node.to_string()))?;
    if !["in_service", "terminating", "terminated"].contains(&phase) {
        return Err(CommandError::Phase(phase.to_string()));
    }
    let address: SocketAddr =
        address.parse().map_err(|source| CommandError::Address { text: address.to_string(), source })?;
    Ok(member(id, address, phase))
}

/// Executes a command for each line of standard input until its end; a line that cannot be used is reported and skipped.
fn for_each_line(mut execute: impl FnMut(&str) -> Result<(), CommandError>) -> io::Result<()> {
    for line in io::stdin().lock().lines() {
        if let Err(error) = execute(line?.trim()) {
            eprintln!("violetyoke-standin: {error}");
        }
    }
    Ok(())
}
