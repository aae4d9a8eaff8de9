//! `prove routes`: avail.example.org is offered far more than its nodes can do, then its nodes hang altogether;
//! booking.example.org keeps its full service and its quotas.

use crate::figures::{quantile, Figures};
use crate::load::{flood, paced, Answered};
use crate::process::{build_for_proof, Program, Result};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use violetyoke_standin::node::{Fault, Node, Shape};

/// Accounts that stay within their quota, how often each books, and one that does not.
const ACCOUNTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(250);
const GREEDY_PAUSE: Duration = Duration::from_millis(50);
const RATE: f64 = 5.0;
const BURST: f64 = 10.0;
/// Time within which a booking is wanted, in milliseconds.
const AIM: f64 = 500.0;
/// The flood, one thread for each account: one within its quota, whose requests wait for nodes, and two far past
/// it, which are refused at once and come again at once. Connections of each, and fields of each request, which
/// cost the ingress more than its client: the ingress has to be what is short, not the one that floods it.
const FLOODS: [(&str, &str); 3] = [("rush", "wide"), ("past-1", "narrow"), ("past-2", "narrow")];
const CONNECTIONS: usize = 150;
const FIELDS: usize = 60;

pub fn run(long: bool, defence: bool) -> Result<Figures> {
    let program = build_for_proof()?;
    let phase = Duration::from_secs(if long { 20 } else { 5 });
    let shape = |milliseconds| Shape {
        workers: 4,
        queue: 16,
        service: Duration::from_millis(milliseconds),
        ..Shape::default()
    };
    let node = |name, milliseconds| Node::start(violetyoke_standin::any_port(), name, shape(milliseconds));
    let avail = [node("avail-1", 20)?, node("avail-2", 20)?];
    let booking = [node("booking-1", 10)?, node("booking-2", 10)?];
    // Requests a second that the flooded pool's nodes can do: 2 nodes of 4 workers, 20 ms each.
    let capacity = 2.0 * 4.0 / 0.020;
    let list = |nodes: &[Node]| {
        let list: Vec<_> = nodes.iter().map(|node| format!("{{ address = \"{}\" }}", node.address)).collect();
        list.join(", ")
    };
    let text = format!(
        r#"[service]
listen = "LISTEN"
turns = "{}"
[[pool]]
name = "availability"
nodes = [{}]
class = [{{ name = "avail-read", effect = "safe", aim_ms = 750, deadline_ms = 2000 }}]
plan = [{{ name = "wide", rate = 1000000, burst = 1000000 }}, {{ name = "narrow", rate = 1, burst = 1 }}]
[[pool]]
name = "reservations"
nodes = [{}]
class = [{{ name = "booking-post", effect = "unsafe", aim_ms = {AIM}, deadline_ms = 1200 }}]
plan = [{{ name = "basic", rate = {RATE}, burst = {BURST} }}]
[[route]]
host = "avail.example.org"
pool = "availability"
[[route]]
host = "booking.example.org"
pool = "reservations"
"#,
        if defence { "weighted" } else { "shared" },
        list(&avail),
        list(&booking)
    );
    let service = Program::serve(&program, &text)?;
    let address = service.address;
    let mut figures = Figures::default();
    // Warm-up: connections, and what the module learns of its nodes.
    bookings(address, Instant::now() + Duration::from_secs(1), 0);
    let began = Instant::now();
    let (quiet, _) = bookings(address, began + phase, 1);
    let padding: String = (0..FIELDS).map(|number| format!("X-Padding-{number}: {number:032}\r\n")).collect();
    let read = |(account, tier): (&str, &str)| {
        format!(
            "GET /hotels/7 HTTP/1.1\r\nHost: avail.example.org\r\nX-Account: {account}\r\nX-Tier: {tier}\r\n\
             Req-Deadline: 2000m\r\n{padding}\r\n"
        )
    };
    let mut phases = Vec::new();
    for (name, fault) in [("rush", Fault::None), ("hang", Fault::Hang)] {
        avail.iter().for_each(|node| node.inject(fault));
        let began = Instant::now();
        let floods: Vec<_> =
            FLOODS.into_iter().map(|one| flood(address, read(one), CONNECTIONS, began + phase)).collect();
        let (orderly, greedy) = bookings(address, began + phase, phases.len() + 2);
        let (mut sent, mut served) = (0, 0);
        for (seen, task) in floods {
            let _ = task.join();
            sent += seen.sent.load(Relaxed);
            served += seen.served.load(Relaxed);
        }
        let offered = sent as f64 / began.elapsed().as_secs_f64();
        figures.tell(&format!("{name}_flood_sent"), sent);
        figures.tell(&format!("{name}_flood_served"), served);
        phases.push((name, orderly, greedy, offered));
    }
    avail.iter().for_each(|node| node.inject(Fault::None));
    let at = |answers: &[Answered], part| {
        quantile(&mut answers.iter().map(|one| one.took).collect::<Vec<_>>(), part)
    };
    let quiet_p99 = at(&quiet, 0.99);
    figures.tell("quiet_bookings", quiet.len());
    figures.tell("quiet_p99_ms", format!("{quiet_p99:.2}"));
    for (name, orderly, greedy, offered) in phases {
        if name == "rush" {
            figures.at_least("rush_offered_of_capacity", offered / capacity, 5.0);
        } else {
            figures.tell("hang_offered_per_s", format!("{offered:.0}"));
        }
        let good = orderly.iter().filter(|one| one.status == 200 && one.took <= AIM).count();
        figures.at_least(&format!("{name}_in_quota_served_in_time"), good as f64 / orderly.len() as f64, 1.0);
        let p99 = at(&orderly, 0.99);
        figures.tell(&format!("{name}_p99_ms"), format!("{p99:.2}"));
        // The short form has some 400 bookings: a busy machine moves the fourth longest of them by a factor, and
        // one time in ten hardly.
        figures.at_most(&format!("{name}_p90_of_quiet"), at(&orderly, 0.9) / at(&quiet, 0.9), 2.0);
        let p99_of_quiet = p99 / quiet_p99;
        match long {
            true => figures.at_most(&format!("{name}_p99_of_quiet"), p99_of_quiet, 2.0),
            false => figures.tell(&format!("{name}_p99_of_quiet"), format!("{p99_of_quiet:.3}")),
        }
        // The one that asks for four times its quota gets it, and not more: what it may have at once, what
        // refills, and one request either way.
        let served = greedy.iter().filter(|one| one.status == 200).count() as f64;
        let refused = greedy.iter().filter(|one| one.status == 429).count() as f64;
        let quota = BURST + RATE * phase.as_secs_f64();
        figures.at_most(&format!("{name}_greedy_served_of_quota"), served / quota, 1.0 + 1.0 / quota);
        figures.at_least(&format!("{name}_greedy_served_of_quota"), served / quota, 0.9);
        figures.at_least(&format!("{name}_greedy_answered"), (served + refused) / greedy.len() as f64, 1.0);
    }
    // Nothing ran twice: every booking that was worked on has an id of its own.
    let mut ran: Vec<String> = booking.iter().flat_map(Node::executed).collect();
    let all = ran.len();
    ran.sort();
    ran.dedup();
    figures.at_most("bookings_run_twice", (all - ran.len()) as f64, 0.0);
    Ok(figures)
}

/// Bookings of all accounts until `end`: those of the ones that stay within their quota, and the greedy one's.
/// Each phase has a greedy account of its own, whose quota is whole.
fn bookings(address: std::net::SocketAddr, end: Instant, phase: usize) -> (Vec<Answered>, Vec<Answered>) {
    let request = |account: &str| {
        format!(
            "POST /bookings HTTP/1.1\r\nHost: booking.example.org\r\nX-Account: {account}\r\n\
             Content-Length: 6\r\n\r\nroom=4"
        )
    };
    let orderly = (0..ACCOUNTS)
        .map(|account| paced(address, account, request(&format!("hotel-{account}")), PAUSE, end));
    let orderly: Vec<_> = orderly.collect();
    let greedy = paced(address, ACCOUNTS, request(&format!("greedy-{phase}")), GREEDY_PAUSE, end);
    let orderly = orderly.into_iter().flat_map(|task| task.join().unwrap_or_default()).collect();
    (orderly, greedy.join().unwrap_or_default())
}
