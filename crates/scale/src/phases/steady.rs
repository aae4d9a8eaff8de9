//! Phases in which nothing ends: quiet time, changes, increments of counts, and what processes hold.

use super::waiting::{wait_until_installed, NotInstalled};
use super::CHANGE_INTERVAL;
use crate::figures::{Figures, Interval};
use crate::installations::Spread;
use crate::testbed::{Role, Testbed};
use crate::traffic::MessageKind;
use std::time::{Duration, Instant};

const QUIET_TIME: Duration = Duration::from_secs(5);
const CHANGES: usize = 8;
const INCREMENT_TIME: Duration = Duration::from_secs(4);
/// Increments a second of each simulated proxy, and of all together at most.
const INCREMENTS_PER_PROXY: usize = 20;
const MAX_INCREMENTS: usize = 4000;
const INCREMENT_TICK: Duration = Duration::from_millis(20);

pub(super) fn measure_quiet(figures: &mut Figures, testbed: &Testbed) {
    let before = testbed.snapshot();
    std::thread::sleep(QUIET_TIME);
    let after = testbed.snapshot();
    let seconds = (after.at - before.at).as_secs_f64();
    let interval = Interval { before: &before, after: &after, events: seconds };
    for role in Role::ALL {
        let cpu_ms_per_s = after.cpu_since(&before, role) * 1000.0 / seconds;
        figures.set_quiet(role, cpu_ms_per_s);
        let processes = if role == Role::Proxy { testbed.size.proxies.max(1) as f64 } else { 1.0 };
        figures.set(&format!("{}.quiet.cpu_ms_per_s", role.figure_name()), cpu_ms_per_s / processes);
    }
    figures.set_proxy_bytes("quiet_s", interval, testbed.size);
    figures.set_bytes_between_registries("quiet_s", interval);
}

pub(super) fn measure_changes(figures: &mut Figures, testbed: &mut Testbed) {
    let all = testbed.size.simulated_proxies;
    let (mut acknowledged_ms, mut spreads) = (Vec::new(), Vec::new());
    let before = testbed.snapshot();
    for _ in 0..CHANGES {
        let known = testbed.load.observations().states.state_count();
        let since = Instant::now();
        match testbed.send_next_configuration() {
            Ok(time) => acknowledged_ms.push(time.as_secs_f64() * 1000.0),
            Err(error) => return figures.add_failure(error.to_string()),
        }
        match wait_until_installed(&testbed.load.observations().states, known, all, since) {
            Ok(spread) => spreads.push(spread),
            Err(NotInstalled(count)) => {
                return figures.add_failure(format!("change: {count} of {all} had it in 40 s"))
            }
        }
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let after = testbed.snapshot();
    let events = CHANGES as f64;
    let interval = Interval { before: &before, after: &after, events };
    figures.set_spread("change", mean_spread(&spreads));
    figures.set("change.acknowledged_ms", acknowledged_ms.iter().sum::<f64>() / events);
    for role in [Role::Registry, Role::Store] {
        let name = format!("{}.change.cpu_ms", role.figure_name());
        figures.set(&name, figures.cpu_ms(interval, role) / events);
    }
    let written = |snapshot: &crate::testbed::UsageSnapshot| {
        snapshot.sum(Role::Store, |used| used.written_bytes as f64)
    };
    figures.set("store.change.disk_bytes", (written(&after) - written(&before)) / events);
    let between = after.between_stores.sent.saturating_sub(before.between_stores.sent);
    figures.set("store.change.between_bytes", between as f64 / events);
    figures.set_proxy_bytes("change", interval, testbed.size);
    figures.set_messages("change", MessageKind::Poll, interval);
}

/// The means of the percentiles, and the last of all.
fn mean_spread(spreads: &[Spread]) -> Spread {
    let mean = |value: fn(&Spread) -> f64| spreads.iter().map(value).sum::<f64>() / CHANGES as f64;
    Spread {
        p50_ms: mean(|spread| spread.p50_ms),
        p99_ms: mean(|spread| spread.p99_ms),
        last_ms: spreads.iter().map(|spread| spread.last_ms).fold(0.0, f64::max),
    }
}

pub(super) fn measure_increments(figures: &mut Figures, testbed: &Testbed) {
    let per_s = (testbed.size.simulated_proxies * INCREMENTS_PER_PROXY).min(MAX_INCREMENTS);
    let per_tick = per_s * INCREMENT_TICK.as_millis() as usize / 1000;
    let per_thread = (per_tick / testbed.load.thread_count()).max(1);
    let before = testbed.snapshot();
    let since = Instant::now();
    let mut ticks = 0;
    while since.elapsed() < INCREMENT_TIME {
        testbed.load.increment(per_thread);
        ticks += 1;
        std::thread::sleep((INCREMENT_TICK * ticks).saturating_sub(since.elapsed()));
    }
    std::thread::sleep(CHANGE_INTERVAL);
    let after = testbed.snapshot();
    let sent = after.messages_since(&before, MessageKind::Increment).messages;
    let counted = after.messages_since(&before, MessageKind::Counted).messages;
    if sent == 0 || counted < sent {
        figures.add_failure(format!("adds: {counted} of {sent} were counted"));
    }
    if counted > 0 {
        let interval = Interval { before: &before, after: &after, events: counted as f64 };
        let cpu_us = figures.cpu_ms(interval, Role::Registry) * 1000.0;
        figures.set("registry.add.cpu_us", cpu_us / counted as f64);
    }
}

pub(super) fn measure_resources(figures: &mut Figures, testbed: &Testbed) {
    let snapshot = testbed.snapshot();
    for role in Role::ALL {
        let name = role.figure_name();
        figures.set(&format!("{name}.resident_mb"), snapshot.max(role, |used| used.resident_mb));
        figures.set(&format!("{name}.sockets"), snapshot.max(role, |used| used.sockets as f64));
    }
}
