//! Stand-ins from the command line: `violetyoke-standin node`, `discovery`, `counter`, `limiter` or `sink`. Each serves until
//! its standard input ends, and takes words from there: a node the name of a fault, a counter nothing.

use clap::{Parser, Subcommand};
use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use violetyoke_standin::counter::Counter;
use violetyoke_standin::discovery::{member, Discovery};
use violetyoke_standin::limiter::{self, Limiter};
use violetyoke_standin::node::{Fault, Node, Shape};
use violetyoke_standin::sink::Sink;

/// Stand-ins for what an ingress meets, on loopback addresses.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// An HTTP node with workers and a queue. A line on standard input switches a fault on: none, decline,
    /// hang, reset, spoil, error or closed.
    Node {
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
        /// Part of its speed that it works at when it has just started.
        #[arg(long, default_value_t = 1.0)]
        cold_share: f64,
        #[arg(long, default_value_t = 0)]
        cold_ms: u64,
        #[arg(long, default_value = "none")]
        fault: Fault,
    },
    /// A discovery with a list of nodes, given as ID=ADDRESS. A line on standard input changes one:
    /// ID=ADDRESS PHASE, with in_service, terminating or terminated.
    Discovery {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        nodes: Vec<String>,
    },
    /// An outside rate limit server. A line on standard input says how it answers: answer, delay MS, silent, error,
    /// garble, lenient or strict; or ends its connections: goaway or break.
    Limiter {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Units of each descriptor in each window.
        #[arg(long, default_value_t = 10)]
        limit: u64,
        #[arg(long, default_value_t = 1_000)]
        window_ms: u64,
        /// Always OK, and nothing is counted or noted: to measure beside it.
        #[arg(long)]
        bare: bool,
    },
    /// A receiver of reports and probes, which refuses those of older epochs. GET /history tells what came.
    Sink {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// It refuses none: to see what that would cost.
        #[arg(long)]
        without_fence: bool,
    },
    /// A counter.
    Counter {
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
    },
}

fn main() -> ExitCode {
    match run(Cli::parse().what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("violetyoke-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(what: What) -> io::Result<()> {
    match what {
        What::Node { listen, name, workers, queue, service_ms, cold_share, cold_ms, fault } => {
            if !(0.0..=600_000.0).contains(&service_ms) || !(0.01..=1.0).contains(&cold_share) || workers == 0
            {
                return Err(bad("workers over 0, service-ms of 0 to 600000 and cold-share of 0.01 to 1"));
            }
            let (service, cold_time) =
                (Duration::from_secs_f64(service_ms / 1e3), Duration::from_millis(cold_ms));
            let shape = Shape { workers, queue, service, cold_share, cold_time, answer: 0 };
            let node = Node::start(listen, &name, shape)?;
            node.fail(fault);
            println!("{}", node.address);
            each_line(|line| line.parse().map(|fault| node.fail(fault)))
        }
        What::Discovery { listen, nodes } => {
            let entries = nodes.iter().map(|node| entry(node, "in_service"));
            let discovery = Discovery::start_at(listen, entries.collect::<Result<_, _>>().map_err(bad)?)?;
            println!("{}", discovery.address);
            each_line(|line| {
                let (node, phase) = line.split_once(' ').unwrap_or((line, "in_service"));
                entry(node, phase).map(|entry| discovery.change(entry))
            })
        }
        What::Limiter { listen, bare: true, .. } => {
            println!("{}", limiter::bare(listen)?);
            each_line(|_| Err("a bare limiter takes no words".to_string()))
        }
        What::Limiter { listen, limit, window_ms, bare: false } => {
            let limiter = Limiter::start(listen, limit, Duration::from_millis(window_ms))?;
            println!("{}", limiter.address);
            each_line(|line| match line {
                "goaway" => {
                    limiter.go_away();
                    Ok(())
                }
                "break" => {
                    limiter.break_off();
                    Ok(())
                }
                _ => line.parse().map(|mode| limiter.set(mode)),
            })
        }
        What::Sink { listen, without_fence } => {
            let sink = Sink::start(listen, !without_fence)?;
            println!("{}", sink.address);
            each_line(|_| Err("a sink takes no words".to_string()))
        }
        What::Counter { listen } => {
            let counter = Counter::start_at(listen)?;
            println!("{}", counter.address);
            each_line(|_| Err("a counter takes no words".to_string()))
        }
    }
}

fn entry(node: &str, phase: &str) -> Result<serde_json::Value, String> {
    let (id, address) = node.split_once('=').ok_or(format!("{node:?} is not ID=ADDRESS"))?;
    if !["in_service", "terminating", "terminated"].contains(&phase) {
        return Err(format!("{phase:?} is none of in_service, terminating, terminated"));
    }
    let address: SocketAddr = address.parse().map_err(|_| format!("{address:?} is not an address"))?;
    Ok(member(id, address, phase))
}

fn each_line(mut take: impl FnMut(&str) -> Result<(), String>) -> io::Result<()> {
    for line in io::stdin().lock().lines() {
        if let Err(error) = take(line?.trim()) {
            eprintln!("violetyoke-standin: {error}");
        }
    }
    Ok(())
}

fn bad(reason: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, reason.into())
}
