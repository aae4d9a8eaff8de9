//! When operators' commands are sent and confirmed.

#![cfg(test)]

use std::time::Duration;
use violetyoke_registry::operator_policy::{admission_delay, installation_timeout};
use violetyoke_transport::messages::Command;

#[test]
fn evacuations_are_delayed_and_versioned_commands_are_not() {
    let evacuate = Command::Evacuate { zone: "a1".into(), empty: true };
    let replace = Command::Replace { version: 1, text: String::new() };
    assert_eq!(admission_delay(&evacuate), Some(Duration::from_millis(60)));
    assert_eq!(admission_delay(&replace), None);
    assert_eq!(admission_delay(&Command::Read), None);
}

#[test]
fn confirmation_waits_for_proxies_within_the_time_that_an_operator_waits() {
    let timeout_after = |elapsed_ms| installation_timeout(Duration::from_millis(elapsed_ms));
    assert_eq!(timeout_after(0), Duration::from_millis(450));
    assert_eq!(timeout_after(500), Duration::from_millis(450));
    assert_eq!(timeout_after(600), Duration::from_millis(350));
    assert_eq!(timeout_after(1_000), Duration::ZERO);
}
