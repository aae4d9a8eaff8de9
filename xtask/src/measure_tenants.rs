//! `measure tenants`: an ingress of 10 and of 10,000 tenants of 100 accounts, side by side.

use crate::figures::{quantile, Figures};
use crate::load::{flood, paced};
use crate::process::{build, Program, Result};
use crate::tenants::{key_file, tenant, ControlPlane};
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, Instant};
use violetyoke_standin::node::{Node, Shape};
use violetyoke_tenants::snapshot::Snapshot;

const ACCOUNTS: usize = 100;
const ROUNDS: usize = 6;

fn snapshot(revision: u64, tenants: usize) -> Snapshot {
    // Other figures in each revision: all that is held changes.
    let one =
        |number: usize| tenant(&format!("t{number}"), "reservations", ACCOUNTS, 1e6 + revision as f64, 1e7);
    Snapshot::new(None, revision, (0..tenants).map(one).collect(), vec![])
}

pub fn run() -> Result<Figures> {
    let program = build()?;
    let mut figures = Figures::default();
    let shape = Shape { workers: 8, queue: 64, service: Duration::from_millis(1), ..Shape::default() };
    let node = Node::start(violetyoke_standin::any_port(), "n", shape)?;
    let sizes = [10, 10_000];
    let mut services = Vec::new();
    for tenants in sizes {
        let control = ControlPlane::start(&snapshot(1, tenants))?;
        let text = format!(
            r#"[service]
listen = "LISTEN"
[[pool]]
name = "reservations"
nodes = [{{ address = "{}" }}]
class = [{{ name = "avail-read", effect = "safe", aim_ms = 500, deadline_ms = 1000 }}]
plan = [{{ name = "house", rate = 0 }}]
[[route]]
host = "house.example.org"
pool = "reservations"
[control]
address = "{}"
key_file = "{}"
name = "i1"
"#,
            node.address,
            control.address,
            key_file()?.display()
        );
        let began = Instant::now();
        let service = Program::serve(&program, &text)?;
        let last = request(&format!("t{}", tenants - 1));
        until_served(&service, &last)?;
        figures.tell(&format!("tenants_{tenants}_in_force_ms"), began.elapsed().as_millis());
        figures.tell(&format!("tenants_{tenants}_resident_kib"), service.resident()?);
        services.push((tenants, service, control));
    }
    // What a request costs, in turn.
    let mut cpu: [Vec<f64>; 2] = Default::default();
    for round in 0..ROUNDS {
        for turn in 0..2 {
            let which = (round + turn) % 2;
            let (tenants, service, _) = &services[which];
            let before = service.cpu()?;
            let end = Instant::now() + Duration::from_secs(1);
            let floods: Vec<_> = (0..4)
                .map(|number| {
                    let name = format!("t{}", number * (tenants / 4));
                    flood(service.address, request(&name), 1, end)
                })
                .collect();
            let served: u64 = floods
                .into_iter()
                .map(|(seen, task)| {
                    let _ = task.join();
                    seen.served.load(Relaxed)
                })
                .sum();
            cpu[which].push((service.cpu()? - before) / served.max(1) as f64);
        }
    }
    let [few, many] = cpu.map(|mut cpu| quantile(&mut cpu, 0.5));
    figures.tell("tenants_10_cpu_us_per_request", format!("{few:.2}"));
    figures.tell("tenants_10000_cpu_us_per_request", format!("{many:.2}"));
    figures.tell("cpu_of_few", format!("{:.3}", many / few));
    // Swaps, with a client that asks all the time: its longest wait, beside one without a swap.
    let (tenants, service, control) = &services[1];
    let probe = |end: Instant| {
        paced(service.address, 0, request("house").replace("a0", "probe"), Duration::from_millis(1), end)
    };
    let calm = probe(Instant::now() + Duration::from_secs(3)).join().unwrap_or_default();
    let longest =
        |answers: &[crate::load::Answered]| answers.iter().fold(0.0f64, |most, one| most.max(one.took));
    figures.tell("longest_wait_without_swap_ms", format!("{:.2}", longest(&calm)));
    let (mut waits, mut swaps) = (Vec::new(), Vec::new());
    for revision in 2..=5 {
        // One tenant more: when it is served, the snapshot is in force.
        let new = snapshot(revision, tenants + revision as usize);
        let probing = probe(Instant::now() + Duration::from_secs(6));
        let began = Instant::now();
        control.change(&new)?;
        until_served(service, &request(&format!("t{}", tenants + revision as usize - 1)))?;
        swaps.push(began.elapsed().as_secs_f64() * 1e3);
        waits.push(longest(&probing.join().unwrap_or_default()));
    }
    figures.tell("swap_ms", format!("{:.0}", quantile(&mut swaps, 0.5)));
    figures.tell("longest_wait_with_swap_ms", format!("{:.2}", quantile(&mut waits, 0.5)));
    figures.tell("resident_after_swaps_kib", service.resident()?);
    Ok(figures)
}

fn request(tenant: &str) -> String {
    format!("GET /rooms HTTP/1.1\r\nHost: {tenant}.example.org\r\nX-Account: a0\r\n\r\n")
}

fn until_served(service: &Program, request: &str) -> Result<()> {
    let end = Instant::now() + Duration::from_secs(60);
    loop {
        let one = paced(
            service.address,
            0,
            request.to_string(),
            Duration::from_secs(1),
            Instant::now() + Duration::from_millis(1),
        );
        if one.join().unwrap_or_default().first().is_some_and(|answer| answer.status == 200) {
            return Ok(());
        }
        if Instant::now() > end {
            return Err("the tenants were not put in force".into());
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}
