//! One step of a run: a system of one size from its start to its end, in phases; each phase gives figures. Those of the
//! registries and stores are of all three together, where they don't say `most`; those of ingresses and proxies of one.

use crate::figures::Figures;
use crate::record::Step;
use crate::seen::{Seen, Spread};
use crate::stage::{Size, Stage};
use crate::troubles;
use std::io;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use violetyoke_rig::until;

/// A phase that takes longer than this has failed.
pub const LONGEST: Duration = Duration::from_secs(40);
/// Between two ingresses that begin one after the other.
const JOIN_PAUSE: Duration = Duration::from_millis(25);
const QUIET: Duration = Duration::from_secs(5);
const CHANGES: usize = 8;
/// Pause between two changes: the work that one leaves behind is over.
const BETWEEN_CHANGES: Duration = Duration::from_millis(400);
const ADDS: Duration = Duration::from_secs(4);
/// Adds a second of each ingress, and of all together at most.
const ADDS_OF_ONE: usize = 20;
const ADDS_OF_ALL: usize = 4000;
const ADD_TICK: Duration = Duration::from_millis(20);

/// Plays one step; an error says why it could not be begun.
pub fn step(program: &Path, size: Size, scaled: usize, repeat: usize, kills: bool) -> io::Result<Step> {
    let mut figures = Figures::new(Step { size: scaled, repeat, ..Step::default() });
    let mut stage = match Stage::start(program, size) {
        Ok(stage) => stage,
        Err(error) => {
            figures.failed(error.to_string());
            return Ok(figures.step);
        }
    };
    figures.set("configuration.bytes", stage.document_bytes() as f64);
    if join(&mut figures, &stage) {
        quiet(&mut figures, &stage);
        changes(&mut figures, &mut stage);
        adds(&mut figures, &stage);
        troubles::restarts(&mut figures, &stage);
        troubles::backend_leaves(&mut figures, &stage);
        resources(&mut figures, &stage);
        if kills {
            troubles::registry_killed(&mut figures, &mut stage);
            troubles::all_killed(&mut figures, &mut stage);
        }
    }
    Ok(figures.step)
}

/// All ingresses begin at once; where that does not come to an end, one after the other.
fn join(figures: &mut Figures, stage: &Stage) -> bool {
    let (size, report) = (stage.size, &stage.crowd.report);
    let settled = || report.settled.load(Ordering::Relaxed);
    let before = stage.look();
    let since = Instant::now();
    (0..size.ingresses).for_each(|number| stage.crowd.begin(number));
    if !until(LONGEST, || settled() == size.ingresses) {
        let all = size.ingresses;
        figures.failed(format!("join: {} of {all} settled in {} s", settled(), LONGEST.as_secs()));
        resources(figures, stage);
        return join_slowly(figures, stage);
    }
    figures.set("join.settled_s", since.elapsed().as_secs_f64());
    complete(figures, stage, "join", since);
    // Whoever became ready at the end has told so by then.
    std::thread::sleep(BETWEEN_CHANGES);
    let after = stage.look();
    figures.set("registry.join.cpu_ms", figures.cpu_ms(&before, &after, "registry"));
    figures.ingress_bytes("join", &before, &after, size, 1.0);
    figures.between("join", &before, &after, 1.0);
    for kind in ["poll", "members", "list", "whole"] {
        figures.messages("join", kind, &before, &after, 1.0);
    }
    true
}

/// Ends all ingresses and begins them again, one after the other.
fn join_slowly(figures: &mut Figures, stage: &Stage) -> bool {
    let report = &stage.crowd.report;
    (0..stage.size.ingresses).for_each(|number| stage.crowd.end(number));
    until(LONGEST, || report.settled.load(Ordering::Relaxed) == 0);
    std::thread::sleep(BETWEEN_CHANGES);
    let since = Instant::now();
    for number in 0..stage.size.ingresses {
        stage.crowd.begin(number);
        std::thread::sleep(JOIN_PAUSE);
    }
    complete(figures, stage, "slow-join", since)
}

/// Waits until all ingresses know all members.
pub fn complete(figures: &mut Figures, stage: &Stage, name: &str, since: Instant) -> bool {
    let report = &stage.crowd.report;
    let whole = || {
        let all = stage.size.ingresses;
        report.settled.load(Ordering::Relaxed) == all && report.complete.load(Ordering::Relaxed) == all
    };
    let came = until(LONGEST, whole);
    if came {
        figures.set(&format!("{name}.complete_s"), since.elapsed().as_secs_f64());
    } else {
        let (settled, complete) =
            (report.settled.load(Ordering::Relaxed), report.complete.load(Ordering::Relaxed));
        let all = stage.size.ingresses;
        figures.failed(format!("{name}: of {all}, {settled} settled and {complete} know all in 40 s"));
    }
    came
}

fn quiet(figures: &mut Figures, stage: &Stage) {
    let before = stage.look();
    std::thread::sleep(QUIET);
    let after = stage.look();
    let seconds = (after.at - before.at).as_secs_f64();
    for role in ["registry", "store", "proxy"] {
        let cpu = after.cpu_since(&before, role) * 1000.0 / seconds;
        figures.set_quiet(role, cpu);
        let of = if role == "proxy" { stage.size.proxies.max(1) as f64 } else { 1.0 };
        figures.set(&format!("{role}.quiet.cpu_ms_per_s"), cpu / of);
    }
    figures.ingress_bytes("quiet_s", &before, &after, stage.size, seconds);
    figures.between("quiet_s", &before, &after, seconds);
}

/// Waits until all ingresses have taken a state that is newer than the first `known`, and says when they did.
pub fn taken<K: PartialEq>(
    seen: &Seen<K>,
    known: usize,
    all: usize,
    since: Instant,
) -> Result<Spread, usize> {
    until(LONGEST, || seen.took_newest(known) >= all);
    match seen.spread(since) {
        Some(spread) if seen.took_newest(known) >= all => Ok(spread),
        _ => Err(seen.took_newest(known)),
    }
}

fn changes(figures: &mut Figures, stage: &mut Stage) {
    let all = stage.size.ingresses;
    let (mut acknowledged, mut spreads) = (Vec::new(), Vec::new());
    let before = stage.look();
    for _ in 0..CHANGES {
        let known = stage.crowd.report.states.states();
        let since = Instant::now();
        match stage.change() {
            Ok(took) => acknowledged.push(took.as_secs_f64() * 1000.0),
            Err(error) => return figures.failed(error.to_string()),
        }
        match taken(&stage.crowd.report.states, known, all, since) {
            Ok(spread) => spreads.push(spread),
            Err(took) => return figures.failed(format!("change: {took} of {all} had it in 40 s")),
        }
        std::thread::sleep(BETWEEN_CHANGES);
    }
    let after = stage.look();
    let count = CHANGES as f64;
    let mean = |value: fn(&Spread) -> f64| spreads.iter().map(value).sum::<f64>() / count;
    let (p50_ms, p99_ms) = (mean(|it| it.p50_ms), mean(|it| it.p99_ms));
    let last_ms = spreads.iter().map(|it| it.last_ms).fold(0.0, f64::max);
    figures.spread("change", Spread { p50_ms, p99_ms, last_ms });
    figures.set("change.acknowledged_ms", acknowledged.iter().sum::<f64>() / count);
    for role in ["registry", "store"] {
        figures.set(&format!("{role}.change.cpu_ms"), figures.cpu_ms(&before, &after, role) / count);
    }
    let written = after.sum("store", |used| used.written_bytes as f64)
        - before.sum("store", |used| used.written_bytes as f64);
    figures.set("store.change.disk_bytes", written / count);
    let between = after.stores_written.0.saturating_sub(before.stores_written.0);
    figures.set("store.change.between_bytes", between as f64 / count);
    figures.ingress_bytes("change", &before, &after, stage.size, count);
    figures.messages("change", "poll", &before, &after, count);
}

fn adds(figures: &mut Figures, stage: &Stage) {
    let rate = (stage.size.ingresses * ADDS_OF_ONE).min(ADDS_OF_ALL);
    let of_a_tick = rate * ADD_TICK.as_millis() as usize / 1000;
    let of_a_thread = (of_a_tick / stage.crowd.threads()).max(1);
    let before = stage.look();
    let since = Instant::now();
    let mut ticks = 0;
    while since.elapsed() < ADDS {
        stage.crowd.adds(of_a_thread);
        ticks += 1;
        std::thread::sleep((ADD_TICK * ticks).saturating_sub(since.elapsed()));
    }
    std::thread::sleep(BETWEEN_CHANGES);
    let after = stage.look();
    let (sent, _) = after.messages_since(&before, "add");
    let (counted, _) = after.messages_since(&before, "counted");
    if sent == 0 || counted < sent {
        figures.failed(format!("adds: {counted} of {sent} were counted"));
    }
    if counted > 0 {
        figures.set(
            "registry.add.cpu_us",
            figures.cpu_ms(&before, &after, "registry") * 1000.0 / counted as f64,
        );
    }
}

fn resources(figures: &mut Figures, stage: &Stage) {
    let look = stage.look();
    for role in ["registry", "store", "proxy"] {
        figures.set(&format!("{role}.resident_mb"), look.most(role, |used| used.resident_mb));
        figures.set(&format!("{role}.sockets"), look.most(role, |used| used.sockets as f64));
    }
}
