//! What registries do for a wave of ingresses does not grow with what they hold: only what is sent is copied.

#![cfg(test)]

use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;
use violetyoke_rig::until;
use violetyoke_scale::documents::Tables;
use violetyoke_scale::stage::{Size, Stage};

const INGRESSES: usize = 30;
const LONG: Duration = Duration::from_secs(60);

/// Processor time of the registries until all ingresses are settled and know each other (s).
fn work_of_a_wave(backends: usize) -> f64 {
    let tables = Tables { routes: 20, tenants: 4, backends };
    let size = Size { ingresses: INGRESSES, proxies: 0, tables, threads: 2 };
    let stage = Stage::start(Path::new(env!("CARGO_BIN_EXE_violetyoke-scale")), size).expect("a system");
    let before = stage.look();
    (0..INGRESSES).for_each(|number| stage.crowd.begin(number));
    let report = &stage.crowd.report;
    let all = || {
        report.settled.load(Ordering::Relaxed) == INGRESSES
            && report.complete.load(Ordering::Relaxed) == INGRESSES
    };
    assert!(until(LONG, all), "{} of {INGRESSES} settled", report.settled.load(Ordering::Relaxed));
    stage.look().cpu_since(&before, "registry")
}

#[test]
fn a_long_list_of_backends_is_not_copied_for_each_message() {
    let (few, many) = (work_of_a_wave(30), work_of_a_wave(1500));
    // The list is read from the platform, told to registries and to ingresses, each a few times.
    assert!(many < few + 4.0, "{few:.2} s with 30 backends, {many:.2} s with 1,500");
}
