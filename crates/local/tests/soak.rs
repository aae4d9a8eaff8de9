//! Operations that run once, with real processes under overlapping faults. Other seeds and longer runs by hand:
//! `violetyoke-local soak --seed N --seconds N`.

#![cfg(test)]

use std::path::PathBuf;
use std::time::Duration;
use violetyoke_api::configuration::RouteKind;
use violetyoke_local::soak::{run, SoakOptions, SoakReport};
use violetyoke_local::Programs;

fn soak(duration: Duration, route_kind: RouteKind) -> SoakReport {
    let programs = Programs::Single(PathBuf::from(env!("CARGO_BIN_EXE_violetyoke-local")));
    let options = SoakOptions { seed: 1, duration, route_kind };
    let report = run(&programs, options).expect("a system that can be soaked");
    println!("{report}");
    report
}

// Guards against an operation that runs twice, or whose repeat gets another response, when processes are lost around it.
#[test]
fn operations_run_once_while_processes_are_killed_frozen_and_restarted() {
    let report = soak(Duration::from_secs(30), RouteKind::Keyed);
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    // A run that serves little, or strikes beside all claims, shows nothing.
    assert!(report.executions > 200 && report.replays > 50, "{report}");
    assert!(report.faults_within_claims() > 10, "{report}");
    let spoiled = report.faults.get("backend SpoilsNumbers").map_or(0, |counts| counts.injected);
    assert!(spoiled > 5, "{report}");
}

// Guards against a soak that finds nothing whatever happens.
#[test]
fn operations_that_are_not_claimed_are_found_to_run_twice() {
    let report = soak(Duration::from_secs(2), RouteKind::Nonidempotent);
    assert!(report.violations.iter().any(|violation| violation.contains("times: [")), "{report}");
}
