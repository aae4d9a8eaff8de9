//! Phases of a step in which something ends: ingresses restart, a backend leaves, a registry or all of the core is killed.

use crate::documents::{backend, backend_id};
use crate::figures::Figures;
use crate::run::{complete, taken, LONGEST};
use crate::stage::Stage;
use std::io;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use violetyoke_rig::until;

const RESTARTS: usize = 6;
const DOWN: Duration = Duration::from_millis(400);
const BACKENDS: usize = 4;
/// A state that was on its way has come by then.
const AFTERWARDS: Duration = Duration::from_secs(1);

/// Ingresses end and begin again, one after the other.
pub fn restarts(figures: &mut Figures, stage: &Stage) {
    let before = stage.look();
    let mut longest = Duration::ZERO;
    for number in 0..RESTARTS.min(stage.size.ingresses) {
        stage.crowd.end(number);
        std::thread::sleep(DOWN);
        let since = Instant::now();
        stage.crowd.begin(number);
        if !complete(figures, stage, "restart", since) {
            return;
        }
        longest = longest.max(since.elapsed());
        std::thread::sleep(DOWN);
    }
    let after = stage.look();
    let count = RESTARTS.min(stage.size.ingresses) as f64;
    figures.set("restart.complete_s", longest.as_secs_f64());
    figures.set("registry.restart.cpu_ms", figures.cpu_ms(&before, &after, "registry") / count);
    figures.set("proxy.restart.cpu_ms", figures.cpu_ms(&before, &after, "proxy") / count / proxies(stage));
    figures.ingress_bytes("restart", &before, &after, stage.size, count);
    figures.between("restart", &before, &after, count);
    figures.messages("restart", "members", &before, &after, count);
}

fn proxies(stage: &Stage) -> f64 {
    stage.size.proxies.max(1) as f64
}

/// Backends begin to drain, one after the other: until all ingresses know.
pub fn backend_leaves(figures: &mut Figures, stage: &Stage) {
    let (tables, all) = (stage.size.tables, stage.size.ingresses);
    let before = stage.look();
    let count = BACKENDS.min(tables.backends);
    let mut last_ms: f64 = 0.0;
    for number in 0..count {
        let known = stage.crowd.report.lists.states();
        let since = Instant::now();
        stage.platform.set(&backend_id(number), backend(tables, number, "draining"));
        match taken(&stage.crowd.report.lists, known, all, since) {
            Ok(spread) => last_ms = last_ms.max(spread.last_ms),
            Err(took) => return figures.failed(format!("backend leaves: {took} of {all} knew in 40 s")),
        }
    }
    let after = stage.look();
    let count = count as f64;
    figures.set("backend.last_ms", last_ms);
    figures.set("registry.backend.cpu_ms", figures.cpu_ms(&before, &after, "registry") / count);
    figures.ingress_bytes("backend", &before, &after, stage.size, count);
    figures.between("backend", &before, &after, count);
}

/// The first registry is killed and begins again.
pub fn registry_killed(figures: &mut Figures, stage: &mut Stage) {
    let killed = stage.system.cores.first_mut().map(|core| core.registry.kill());
    if !matches!(killed, Some(Ok(()))) {
        return figures.failed("no registry could be killed");
    }
    std::thread::sleep(DOWN);
    let since = Instant::now();
    if let Some(Err(error)) = stage.system.cores.first_mut().map(|core| core.registry.again()) {
        return figures.failed(format!("the registry does not begin again: {error}"));
    }
    until(Duration::from_secs(2), || settled(stage) < stage.size.ingresses);
    complete(figures, stage, "registry-killed", since);
}

fn settled(stage: &Stage) -> usize {
    stage.crowd.report.settled.load(Ordering::Relaxed)
}

/// All registries and stores are killed and begin again, and a change is sent at once.
pub fn all_killed(figures: &mut Figures, stage: &mut Stage) {
    let again = |stage: &mut Stage| -> io::Result<()> {
        for core in &mut stage.system.cores {
            core.registry.kill()?;
            core.store.kill()?;
        }
        until(LONGEST, || settled(stage) == 0);
        for core in &mut stage.system.cores {
            core.store.again()?;
            core.registry.again()?;
        }
        Ok(())
    };
    if let Err(error) = again(stage) {
        return figures.failed(format!("the core does not begin again: {error}"));
    }
    let since = Instant::now();
    let known = stage.crowd.report.states.states();
    complete(figures, stage, "all-killed", since);
    match stage.change() {
        Ok(_) => figures.set("all-killed.acknowledged_s", since.elapsed().as_secs_f64()),
        Err(error) => return figures.failed(format!("all killed: {error}")),
    }
    // The state from before is told under a new epoch first; the change comes after it.
    until(LONGEST, || stage.crowd.report.states.took_newest(known) >= stage.size.ingresses);
    std::thread::sleep(AFTERWARDS);
    match taken(&stage.crowd.report.states, known, stage.size.ingresses, since) {
        Ok(spread) => figures.set("all-killed.in_force_s", spread.last_ms / 1000.0),
        Err(took) => figures.failed(format!("all killed: {took} had the newest state in 40 s")),
    }
}
