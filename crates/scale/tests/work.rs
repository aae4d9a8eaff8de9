//! What registries do for a wave of ingresses does not grow with what they hold: only what is sent is copied.

#![cfg(test)]

use std::path::Path;
use std::time::Duration;
use violetyoke_rig::wait_until;
use violetyoke_scale::documents::TableSizes;
use violetyoke_scale::testbed::{Role, Size, Testbed};

const PROXIES: usize = 30;
const LONG: Duration = Duration::from_secs(60);

/// Processor time of the registries until all ingresses are settled and know each other (s).
fn work_of_a_wave(backends: usize) -> f64 {
    let tables = TableSizes { routes: 20, tenants: 4, backends };
    let size = Size { simulated_proxies: PROXIES, proxies: 0, tables, threads: 2 };
    let testbed = Testbed::start(Path::new(env!("CARGO_BIN_EXE_violetyoke-scale")), size).expect("a system");
    let before = testbed.snapshot();
    (0..PROXIES).for_each(|number| testbed.load().start_proxy(number));
    let observations = testbed.load().observations();
    let all = || observations.settled() == PROXIES && observations.complete() == PROXIES;
    assert!(wait_until(LONG, all), "{} of {PROXIES} settled", observations.settled());
    testbed.snapshot().cpu_since(&before, Role::Registry)
}

#[test]
fn a_long_list_of_backends_is_not_copied_for_each_message() {
    let (few, many) = (work_of_a_wave(30), work_of_a_wave(1500));
    // The list is read from the platform, told to registries and to ingresses, each a few times.
    assert!(many < few + 4.0, "{few:.2} s with 30 backends, {many:.2} s with 1,500");
}
