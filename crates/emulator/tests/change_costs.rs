//! The emulator's measurement of the cost of configuration changes.

#![cfg(test)]

use violetyoke_emulator::change_costs::measure;
use violetyoke_emulator::site::Site;

#[test]
fn each_change_is_measured_at_the_proxies_that_install_it() {
    let changes = 3;

    let costs = measure(&Site::rooms(1, 4.0), changes, 0, 1).expect("a runtime");

    assert_eq!(costs.acknowledgement_times.len(), changes);
    assert_eq!(
        costs.spreads.len(),
        changes,
        "the installation of each change is recognized by the proxies' log lines"
    );
    assert!(costs.late_proxies < changes * costs.edges, "{} of {} proxies", costs.late_proxies, costs.edges);
}
