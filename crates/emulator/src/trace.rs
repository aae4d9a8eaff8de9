//! Simulates and checks days, and minimizes a day that violates a rule by removing events.

use crate::checker::{check, Violation};
use crate::day::Day;
use crate::figures::Figures;
use crate::simulation::simulate;
use crate::site::Site;
use slog::Logger;
use std::io;

/// A simulated day and its results.
pub struct SimulatedDay {
    /// The day.
    pub day: Day,
    /// The service quality that clients experienced.
    pub figures: Figures,
    /// The violations of rules.
    pub violations: Vec<Violation>,
}

/// Simulates a day and checks the rules.
///
/// # Errors
/// If the runtime can't be created.
pub fn simulate_and_check(site: &Site, day: Day, log: &Logger) -> io::Result<SimulatedDay> {
    let outcome = simulate(site, &day, log)?;
    let violations = check(site, &outcome.records);
    Ok(SimulatedDay { figures: Figures::of(site, &outcome.records), violations, day })
}

/// Minimizes a day that violates a rule: tries to remove each event in turn, from the last to the first, and keeps it
/// removed if the same rule is still violated.
///
/// # Errors
/// If the runtime can't be created.
pub fn minimize(site: &Site, failed: SimulatedDay) -> io::Result<SimulatedDay> {
    let Some(rule) = failed.violations.first().map(|violation| violation.rule) else { return Ok(failed) };
    let silent = Logger::root(slog::Discard, slog::o!());
    let mut shortest = failed;
    for index in (0..shortest.day.events.len()).rev() {
        let shorter = simulate_and_check(site, shortest.day.without(index), &silent)?;
        if shorter.violations.iter().any(|violation| violation.rule == rule) {
            shortest = shorter;
        }
    }
    Ok(shortest)
}
