//! Phases in which something ends: proxies restart, backends drain, a registry or all of the core is killed.

use super::waiting::{wait_until_complete, wait_until_installed, NotInstalled, PHASE_TIMEOUT};
use crate::documents::{backend, backend_id};
use crate::figures::{Figures, Interval};
use crate::testbed::{Role, Testbed};
use crate::traffic::MessageKind;
use std::io;
use std::time::{Duration, Instant};
use violetyoke_rig::wait_until;

const RESTARTS: usize = 6;
const DOWN_TIME: Duration = Duration::from_millis(400);
const DRAINED_BACKENDS: usize = 4;
/// How long proxies may take to find that a registry has ended.
const DETECTION_TIME: Duration = Duration::from_secs(2);
/// A state that was in flight has come by then.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Simulated proxies end and start again, one after the other.
pub(super) fn restart_proxies(figures: &mut Figures, testbed: &Testbed) {
    let restarts = RESTARTS.min(testbed.size.simulated_proxies);
    let before = testbed.snapshot();
    let mut longest = Duration::ZERO;
    for number in 0..restarts {
        testbed.load.stop_proxy(number);
        std::thread::sleep(DOWN_TIME);
        let since = Instant::now();
        testbed.load.start_proxy(number);
        if !wait_until_complete(figures, testbed, "restart", since) {
            return;
        }
        longest = longest.max(since.elapsed());
        std::thread::sleep(DOWN_TIME);
    }
    let after = testbed.snapshot();
    let events = restarts as f64;
    let interval = Interval { before: &before, after: &after, events };
    let proxies = testbed.size.proxies.max(1) as f64;
    figures.set("restart.complete_s", longest.as_secs_f64());
    figures.set("registry.restart.cpu_ms", figures.cpu_ms(interval, Role::Registry) / events);
    figures.set("proxy.restart.cpu_ms", figures.cpu_ms(interval, Role::Proxy) / events / proxies);
    figures.set_proxy_bytes("restart", interval, testbed.size);
    figures.set_bytes_between_registries("restart", interval);
    figures.set_messages("restart", MessageKind::Membership, interval);
}

/// Backends begin to drain, one after the other: until all simulated proxies know.
pub(super) fn drain_backends(figures: &mut Figures, testbed: &Testbed) {
    let (tables, all) = (testbed.size.tables, testbed.size.simulated_proxies);
    let lists = &testbed.load.observations().lists;
    let before = testbed.snapshot();
    let count = DRAINED_BACKENDS.min(tables.backends);
    let mut last_ms: f64 = 0.0;
    for number in 0..count {
        let known = lists.state_count();
        let since = Instant::now();
        testbed.platform.set(&backend_id(number), backend(tables, number, "draining"));
        match wait_until_installed(lists, known, all, since) {
            Ok(spread) => last_ms = last_ms.max(spread.last_ms),
            Err(NotInstalled(count)) => {
                return figures.add_failure(format!("backend leaves: {count} of {all} knew in 40 s"))
            }
        }
    }
    let after = testbed.snapshot();
    let interval = Interval { before: &before, after: &after, events: count as f64 };
    figures.set("backend.last_ms", last_ms);
    let cpu_ms = figures.cpu_ms(interval, Role::Registry) / interval.events;
    figures.set("registry.backend.cpu_ms", cpu_ms);
    figures.set_proxy_bytes("backend", interval, testbed.size);
    figures.set_bytes_between_registries("backend", interval);
}

/// The first registry is killed and starts again.
pub(super) fn kill_registry(figures: &mut Figures, testbed: &mut Testbed) {
    let killed = testbed.system.cores.first_mut().map(|core| core.registry.kill());
    if !matches!(killed, Some(Ok(()))) {
        return figures.add_failure("no registry could be killed");
    }
    std::thread::sleep(DOWN_TIME);
    let since = Instant::now();
    if let Some(Err(error)) = testbed.system.cores.first_mut().map(|core| core.registry.restart()) {
        return figures.add_failure(format!("the registry does not begin again: {error}"));
    }
    let observations = testbed.load.observations();
    wait_until(DETECTION_TIME, || observations.settled() < testbed.size.simulated_proxies);
    wait_until_complete(figures, testbed, "registry-killed", since);
}

/// All registries and stores are killed and start again, and a change is sent at once.
pub(super) fn kill_core(figures: &mut Figures, testbed: &mut Testbed) {
    if let Err(error) = restart_core(testbed) {
        return figures.add_failure(format!("the core does not begin again: {error}"));
    }
    let (since, all) = (Instant::now(), testbed.size.simulated_proxies);
    let known = testbed.load.observations().states.state_count();
    wait_until_complete(figures, testbed, "all-killed", since);
    match testbed.send_next_configuration() {
        Ok(_) => figures.set("all-killed.acknowledged_s", since.elapsed().as_secs_f64()),
        Err(error) => return figures.add_failure(format!("all killed: {error}")),
    }
    // The state from before is sent under a new epoch first; the change comes after it.
    let states = &testbed.load.observations().states;
    wait_until(PHASE_TIMEOUT, || states.newest_count(known) >= all);
    std::thread::sleep(SETTLE_TIME);
    match wait_until_installed(states, known, all, since) {
        Ok(spread) => figures.set("all-killed.in_force_s", spread.last_ms / 1000.0),
        Err(NotInstalled(count)) => {
            figures.add_failure(format!("all killed: {count} had the newest state in 40 s"));
        }
    }
}

fn restart_core(testbed: &mut Testbed) -> io::Result<()> {
    for core in &mut testbed.system.cores {
        core.registry.kill()?;
        core.store.kill()?;
    }
    let observations = testbed.load.observations();
    wait_until(PHASE_TIMEOUT, || observations.settled() == 0);
    for core in &mut testbed.system.cores {
        core.store.restart()?;
        core.registry.restart()?;
    }
    Ok(())
}
