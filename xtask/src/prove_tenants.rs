//! `prove tenants`: one tenant sends far beyond its quota, as requests, as bad heads, as new connections and as
//! large bodies; another's bookings on the same pool are all answered in time, and its quotas are exact.

use crate::figures::{quantile, Figures};
use crate::load::{flood, paced, Answered};
use crate::process::{build_for_proof, Program, Result};
use crate::tenants::{key_file, tenant, ControlPlane};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use violetyoke_standin::node::{Node, Shape};
use violetyoke_tenants::model::{Limits, ResourceBounds};
use violetyoke_tenants::snapshot::Snapshot;

/// The quiet tenant's accounts that stay within their quota, how often each books, and one that does not.
const ACCOUNTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(250);
const GREEDY_PAUSE: Duration = Duration::from_millis(50);
const RATE: f64 = 5.0;
const BURST: f64 = 10.0;
const DEADLINE: f64 = 500.0;
/// The loud one's: connections of each of its floods, one thread each, and the fields of its requests, which cost
/// the ingress more than its client.
const FLOODS: usize = 3;
const CONNECTIONS: usize = 150;
const FIELDS: usize = 60;

pub fn run(long: bool, defence: bool) -> Result<Figures> {
    let program = build_for_proof()?;
    let phase = Duration::from_secs(if long { 20 } else { 4 });
    let shape = || Shape { workers: 8, queue: 64, service: Duration::from_millis(10), ..Shape::default() };
    let nodes = [
        Node::start(violetyoke_standin::any_port(), "n1", shape())?,
        Node::start(violetyoke_standin::any_port(), "n2", shape())?,
    ];
    let mut quiet = tenant("quiet", "reservations", 100, RATE, BURST);
    let mut loud = tenant("loud", "reservations", FLOODS, RATE, BURST);
    if defence {
        quiet.limits = Limits {
            open_requests: ResourceBounds { guaranteed: 64, max: 0 },
            descriptors: ResourceBounds { guaranteed: 64, max: 0 },
            buffered_bytes: ResourceBounds { guaranteed: 1 << 20, max: 0 },
        };
        // What its accounts may have at nodes at once: their work is shared too.
        loud.plans[0].max_in_flight = 2;
        loud.limits.descriptors = ResourceBounds { guaranteed: 16, max: 512 };
    }
    let control = ControlPlane::start(&Snapshot::new(None, 1, vec![loud, quiet], vec![]))?;
    let text = format!(
        r#"[service]
listen = "LISTEN"
turns = "{}"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}, {{ address = "{}" }}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = {DEADLINE}, deadline_ms = {DEADLINE} }}]
plan = [{{ name = "house", rate = 0 }}]
[control]
address = "{}"
key_file = "{}"
name = "i1"
"#,
        if defence { "weighted" } else { "shared" },
        nodes[0].address,
        nodes[1].address,
        control.address,
        key_file()?.display()
    );
    let service = Program::serve(&program, &text)?;
    let address = service.address;
    let begun = Instant::now();
    while bookings(address, Instant::now() + Duration::from_millis(300), 0).in_time() < 1.0 {
        if begun.elapsed() > Duration::from_secs(10) {
            return Err("the tenants were not put in force".into());
        }
    }
    let mut figures = Figures::default();
    bookings(address, Instant::now() + Duration::from_secs(1), 1);
    let alone = bookings(address, Instant::now() + phase, 2);
    let p99 =
        |answers: &[Answered]| quantile(&mut answers.iter().map(|one| one.took).collect::<Vec<_>>(), 0.99);
    let alone_p99 = p99(&alone.later);
    figures.tell("alone_bookings", alone.first.len() + alone.later.len());
    figures.tell("alone_p99_ms", format!("{alone_p99:.2}"));
    for (number, mode) in ["requests", "heads", "connections", "bodies"].into_iter().enumerate() {
        let began = Instant::now();
        let floods: Vec<_> = (0..FLOODS)
            .map(|account| flood(address, loud_request(mode, account), CONNECTIONS, began + phase))
            .collect();
        let quiet = bookings(address, began + phase, number + 3);
        let mut sent = 0;
        for (seen, task) in floods {
            let _ = task.join();
            sent += seen.sent.load(Relaxed);
        }
        let quota = FLOODS as f64 * (BURST + RATE * phase.as_secs_f64());
        figures.at_least(&format!("{mode}_sent_of_quota"), sent as f64 / quota, 10.0);
        figures.at_least(&format!("{mode}_answered_in_time"), quiet.in_time(), 1.0);
        let longest = quiet.first.iter().fold(0.0f64, |most, one| most.max(one.took));
        figures.tell(&format!("{mode}_longest_on_a_new_connection_ms"), format!("{longest:.2}"));
        let p99 = p99(&quiet.later);
        let median = quantile(&mut quiet.later.iter().map(|one| one.took).collect::<Vec<_>>(), 0.5);
        figures.tell(&format!("{mode}_p50_ms"), format!("{median:.2}"));
        figures.tell(&format!("{mode}_p99_ms"), format!("{p99:.2}"));
        figures.at_most(&format!("{mode}_p99_of_alone"), p99 / alone_p99, 2.0);
        let greedy = &quiet.greedy;
        let served = greedy.iter().filter(|one| one.status == 200).count() as f64;
        let refused = greedy.iter().filter(|one| one.status == 429).count() as f64;
        let quota = BURST + RATE * phase.as_secs_f64();
        figures.at_most(&format!("{mode}_greedy_served_of_quota"), served / quota, 1.0 + 1.0 / quota);
        figures.at_least(&format!("{mode}_greedy_served_of_quota"), served / quota, 0.9);
        figures.at_least(&format!("{mode}_greedy_answered"), (served + refused) / greedy.len() as f64, 1.0);
    }
    let mut ran: Vec<String> = nodes.iter().flat_map(Node::executed).collect();
    let all = ran.len();
    ran.sort();
    ran.dedup();
    figures.at_most("bookings_run_twice", (all - ran.len()) as f64, 0.0);
    Ok(figures)
}

fn loud_request(mode: &str, account: usize) -> String {
    let padding: String = (0..FIELDS).map(|number| format!("X-Padding-{number}: {number:032}\r\n")).collect();
    let head = |more: &str, body: &str| {
        format!(
            "POST /bookings HTTP/1.1\r\nHost: loud.example.org\r\nX-Account: a{account}\r\n{more}{padding}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    match mode {
        // Well-formed for a reader of HTTP, and turned down for what it says.
        "heads" => head("X-Account: other\r\n", "room=4"),
        "connections" => head("Connection: close\r\n", "room=4"),
        "bodies" => head("", &"x".repeat(60 * 1024)),
        _ => head("", "room=4"),
    }
}

/// What the quiet tenant's accounts were answered.
#[derive(Default)]
struct Bookings {
    /// The first on each connection: whose it is is not known before its head has been read, among all other new
    /// ones.
    first: Vec<Answered>,
    later: Vec<Answered>,
    greedy: Vec<Answered>,
}

impl Bookings {
    fn in_time(&self) -> f64 {
        let all = self.first.iter().chain(&self.later);
        let good = all.filter(|one| one.status == 200 && one.took <= DEADLINE).count();
        good as f64 / (self.first.len() + self.later.len()) as f64
    }
}

/// Bookings of the quiet tenant's accounts until `end`: those within their quota, and a greedy one's, which is
/// another in each phase.
fn bookings(address: SocketAddr, end: Instant, phase: usize) -> Bookings {
    let request = |account: usize| {
        format!(
            "POST /bookings HTTP/1.1\r\nHost: quiet.example.org\r\nX-Account: a{account}\r\n\
             Content-Length: 6\r\n\r\nroom=4"
        )
    };
    let orderly: Vec<_> =
        (0..ACCOUNTS).map(|account| paced(address, account, request(account), PAUSE, end)).collect();
    let greedy = paced(address, ACCOUNTS, request(ACCOUNTS + phase), GREEDY_PAUSE, end);
    let mut answers = Bookings { greedy: greedy.join().unwrap_or_default(), ..Bookings::default() };
    for account in orderly {
        let list = account.join().unwrap_or_default();
        answers.first.extend(list.first());
        answers.later.extend(list.iter().skip(1));
    }
    answers
}
