//! `measure questions`: what a rate limit question costs, beside a bare tonic server that always answers OK, in turn
//! and in one run.

use crate::figures::{quantile, Figures};
use crate::grpc;
use crate::process::{build, build_standin, free_address, Program, Result};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::LocalSet;

const ROUNDS: usize = 5;
const THREADS: usize = 3;
const TIME: Duration = Duration::from_millis(1_000);

#[derive(Default)]
struct Seen {
    a_second: Vec<f64>,
    cpu: Vec<f64>,
    times: Vec<f64>,
}

pub fn run() -> Result<Figures> {
    let (program, standin) = (build()?, build_standin()?);
    let mut figures = Figures::default();
    let asked = free_address()?;
    let ours = Program::serve(&program, &file(asked))?;
    let bare = Program::standin(&standin, &["limiter", "--bare"])?;
    for connections in [1usize, 8, 64] {
        let mut seen: [Seen; 2] = Default::default();
        for round in 0..ROUNDS {
            for turn in 0..2 {
                let which = (round + turn) % 2;
                let (address, process) = [(bare.address, &bare), (asked, &ours)][which];
                let before = process.cpu()?;
                let began = Instant::now();
                let mut times = clients(address, connections)?;
                let (took, number) = (began.elapsed().as_secs_f64(), times.len().max(1) as f64);
                seen[which].a_second.push(number / took);
                seen[which].cpu.push((process.cpu()? - before) / number);
                seen[which].times.append(&mut times);
            }
        }
        for (name, seen) in ["bare", "ours"].into_iter().zip(&mut seen) {
            let key = |what: &str| format!("connections_{connections}_{name}_{what}");
            figures.tell(&key("a_second"), format!("{:.0}", quantile(&mut seen.a_second, 0.5)));
            figures.tell(&key("cpu_us"), format!("{:.2}", quantile(&mut seen.cpu, 0.5)));
            figures.tell(&key("p50_us"), format!("{:.0}", quantile(&mut seen.times, 0.5)));
            figures.tell(&key("p99_us"), format!("{:.0}", quantile(&mut seen.times, 0.99)));
        }
        let ratio = quantile(&mut seen[1].cpu, 0.5) / quantile(&mut seen[0].cpu, 0.5);
        figures.tell(&format!("connections_{connections}_cpu_of_bare"), format!("{ratio:.3}"));
    }
    Ok(figures)
}

/// The load from a few threads: one alone would be slower than the server.
fn clients(address: SocketAddr, connections: usize) -> Result<Vec<f64>> {
    let threads: Vec<_> = (0..connections.min(THREADS))
        .map(|number| {
            let part = (connections + number) / connections.min(THREADS);
            std::thread::spawn(move || {
                let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
                let runtime = runtime.map_err(|error| error.to_string())?;
                let times = LocalSet::new().block_on(&runtime, load(address, part));
                times.map_err(|error| error.to_string())
            })
        })
        .collect();
    let mut all = Vec::new();
    for thread in threads {
        all.append(&mut thread.join().map_err(|_| "a client failed")??);
    }
    Ok(all)
}

/// Questions one after another on so many connections; the time of each in microseconds.
async fn load(address: SocketAddr, connections: usize) -> Result<Vec<f64>> {
    let end = Instant::now() + TIME;
    let tasks: Vec<_> = (0..connections)
        .map(|number| {
            tokio::task::spawn_local(async move {
                let mut times = Vec::new();
                let Ok(channel) = grpc::channel(address).await else { return times };
                let account = format!("a{number}");
                while Instant::now() < end {
                    let began = Instant::now();
                    if grpc::ask(&channel, grpc::question(&[("account", &account)])).await != Some(true) {
                        return Vec::new();
                    }
                    times.push(began.elapsed().as_secs_f64() * 1e6);
                }
                times
            })
        })
        .collect();
    let mut all = Vec::new();
    for task in tasks {
        let mut times = task.await?;
        if times.is_empty() {
            return Err("a question was not answered with OK".into());
        }
        all.append(&mut times);
    }
    Ok(all)
}

/// The quotas are never used up, and are counted in the process: a counter's time is not a question's CPU.
fn file(asked: SocketAddr) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "127.0.0.1:1" }}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 500, deadline_ms = 2000 }}]
plan = [{{ name = "standard", rate = 1000000, burst = 1000000 }}]
[[route]]
pool = "reservations"
[ratelimit]
listen = "{asked}"
unknown_domain = "over_limit"
connections = 128
[[ratelimit.domain]]
name = "rooms"
unknown_descriptor = "over_limit"
[[ratelimit.domain.descriptor]]
pool = "reservations"
account = "account"
"#
    )
}
