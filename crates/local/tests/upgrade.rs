//! The rehearsal of a rolling upgrade, from this build to itself: `cargo xtask prove system-upgrade` takes two builds.

#![cfg(test)]

use std::path::PathBuf;
use violetyoke_local::upgrade::Rehearsal;
use violetyoke_local::{ProcessRef, Programs};

#[test]
fn orders_and_requests_go_on_while_each_kind_of_process_is_replaced() {
    let programs = Programs::Single(PathBuf::from(env!("CARGO_BIN_EXE_violetyoke-local")));
    let mut rehearsal = Rehearsal::start(&programs).expect("a system that serves");

    for process_ref in [ProcessRef::Store(0), ProcessRef::Registry(0), ProcessRef::Proxy(0)] {
        let step =
            rehearsal.step(process_ref, &programs, process_ref.to_string()).expect("a replaced process");
        assert_eq!(step.faults(), Vec::<String>::new(), "{process_ref}");
    }

    let report = rehearsal.finish();
    assert_eq!(report.order_faults, Vec::<String>::new());
    assert_eq!((report.searches_lost, report.bookings_repeated, report.bookings_missing), (0, 0, 0));
    assert!(report.limited_served as f64 <= report.limited_allowed, "{}", report.limited_served);
}
