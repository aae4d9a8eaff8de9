//! `prove consult`: an outside rate limit server that falls silent, errs, is late, sends GOAWAY and breaks off, under
//! a load of clients. Every request has one answer, at once; the server is spared; what passes is what it counted,
//! by its own records and the node's.

use crate::figures::{quantile, Figures};
use crate::process::{build_for_proof, Program, Result};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use violetyoke_standin::node::{Node, Shape};
use violetyoke_standin::rate_limit_server::{Behavior, RateLimitServer};

const CLIENTS: usize = 32;
const PAUSE: Duration = Duration::from_millis(20);
const BUDGET_MS: f64 = 50.0;
/// What an answer may take beyond the budget: the node, and a machine that is busy elsewhere.
const SLACK_MS: f64 = 150.0;
const FAILURES: u64 = 5;
const MOST_OPEN: u64 = 64;

#[derive(Default)]
struct Tally {
    served: u64,
    refused: u64,
    unanswered: u64,
    times: Vec<f64>,
}

pub fn run(long: bool, defence: bool) -> Result<Figures> {
    let program = build_for_proof()?;
    let mut figures = Figures::default();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let seconds = if long { 30 } else { 1 };
    // Without the defence nothing ever opens the breaker, and each request finds out for itself.
    let failures = if defence { FAILURES } else { 1_000_000 };
    for (phase, mode) in [
        ("healthy", Behavior::Answer),
        ("silent", Behavior::Silent),
        ("error", Behavior::Error),
        ("late", Behavior::Delay(Duration::from_millis(200))),
        ("goaway", Behavior::Answer),
        ("breaks", Behavior::Answer),
    ] {
        let limiter =
            RateLimitServer::start(violetyoke_standin::any_port(), u64::MAX / 2, Duration::from_secs(3_600))?;
        let shape = Shape { workers: 16, queue: 256, service: Duration::from_millis(1), ..Shape::default() };
        let node = Node::start(violetyoke_standin::any_port(), "n", shape)?;
        let service = Program::serve(&program, &file(&node, &limiter, failures))?;
        limiter.set(mode);
        let end = Instant::now() + Duration::from_secs(seconds);
        let tally: Rc<RefCell<Tally>> = Rc::default();
        LocalSet::new().block_on(&runtime, async {
            let clients: Vec<_> = (0..CLIENTS)
                .map(|number| tokio::task::spawn_local(client(service.address, number, end, tally.clone())))
                .collect();
            while Instant::now() < end {
                tokio::time::sleep(Duration::from_millis(100)).await;
                match phase {
                    "goaway" => limiter.close_gracefully(),
                    "breaks" => limiter.close_abruptly(),
                    _ => {}
                }
            }
            for client in clients {
                client.await?;
            }
            Ok::<_, tokio::task::JoinError>(())
        })?;
        judge(&mut figures, phase, &mut tally.borrow_mut(), &limiter, &node);
    }
    Ok(figures)
}

fn judge(figures: &mut Figures, phase: &str, tally: &mut Tally, limiter: &RateLimitServer, node: &Node) {
    let key = |name: &str| format!("{phase}_{name}");
    let requests = tally.served + tally.refused + tally.unanswered;
    let seen = limiter.received();
    let counted = seen.iter().filter(|seen| seen.is_counted).count() as u64;
    let came = node.received().len() as u64;
    figures.tell(&key("requests"), requests);
    figures.tell(&key("served"), tally.served);
    figures.tell(&key("asked_outside"), seen.len());
    figures.at_most(&key("unanswered"), tally.unanswered as f64, 0.0);
    figures.at_most(&key("p99_ms"), quantile(&mut tally.times, 0.99), BUDGET_MS + SLACK_MS);
    // Silence refuses here: nobody passes whom the outside server has not counted.
    figures.at_most(&key("passed_uncounted"), came.saturating_sub(counted) as f64, 0.0);
    match phase {
        "healthy" => {
            figures.at_least(&key("served_part"), tally.served as f64 / requests as f64, 1.0);
            figures.at_most(&key("counted_for_nothing"), counted.saturating_sub(came) as f64, 0.0);
        }
        "goaway" => {
            figures.at_least(&key("served_part"), tally.served as f64 / requests as f64, 0.99);
            let lost = counted.saturating_sub(came) as f64 / requests as f64;
            figures.at_most(&key("counted_for_nothing_part"), lost, 0.01);
        }
        "silent" | "error" | "late" => {
            // It is asked until the breaker opens, by those that are out together then, and by a few trials.
            figures.at_most(&key("asked_part"), seen.len() as f64 / requests as f64, 0.1);
            figures.at_most(&key("p50_ms"), quantile(&mut tally.times, 0.5), BUDGET_MS / 2.0);
            figures.at_most(&key("counted_for_nothing"), counted as f64, (FAILURES + MOST_OPEN) as f64);
        }
        _ => {
            // Each break costs those that were out, and nobody else.
            figures.at_least(&key("served_part"), tally.served as f64 / requests as f64, 0.9);
        }
    }
}

fn file(node: &Node, limiter: &RateLimitServer, failures: u64) -> String {
    format!(
        r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = 500, deadline_ms = 2000 }}]
plan = [{{ name = "standard", rate = 0 }}]
[pool.consult]
address = "{}"
domain = "partners"
when_silent = "refuse"
budget_ms = {BUDGET_MS}
most_open = {MOST_OPEN}
breaker = {{ failures = {failures}, pause_ms = 200, longest_pause_ms = 500 }}
[[route]]
pool = "reservations"
"#,
        node.address, limiter.address
    )
}

async fn client(address: SocketAddr, number: usize, end: Instant, tally: Rc<RefCell<Tally>>) {
    let mut next = Instant::now() + PAUSE * number as u32 / CLIENTS as u32;
    while next < end {
        tokio::time::sleep_until(next.into()).await;
        next += PAUSE;
        let began = Instant::now();
        let code = tokio::time::timeout(Duration::from_secs(3), call(address, number)).await;
        let mut tally = tally.borrow_mut();
        tally.times.push(began.elapsed().as_secs_f64() * 1e3);
        match code {
            Ok(Some(200)) => tally.served += 1,
            Ok(Some(429 | 503)) => tally.refused += 1,
            _ => tally.unanswered += 1,
        }
    }
}

/// One request on a connection of its own; its answer's code.
async fn call(address: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "POST /bookings HTTP/1.1\r\nHost: rooms\r\nX-Account: c{number}\r\nConnection: close\r\n\
         Content-Length: 6\r\n\r\nroom=4"
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.ok()?;
    std::str::from_utf8(answer.get(9..12)?).ok()?.parse().ok()
}
