//! Days played and checked, and a day that breaks a rule minimized until none of its events can be left out.

use crate::checker::{check, Violation};
use crate::day::Day;
use crate::figures::Figures;
use crate::simulation::simulate;
use crate::site::Site;
use slog::Logger;
use std::io;

/// A day with what came of it.
pub struct PlayedDay {
    /// The day.
    pub day: Day,
    /// What clients had of it.
    pub figures: Figures,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
}

/// Plays a day and checks the rules.
///
/// # Errors
/// When there can be no runtime for it.
pub fn play_and_check(site: &Site, day: Day, log: &Logger) -> io::Result<PlayedDay> {
    let outcome = simulate(site, &day, log)?;
    let violations = check(site, &outcome.records);
    Ok(PlayedDay { figures: Figures::of(site, &outcome.records), violations, day })
}

/// A shorter day that still breaks the same rule: each event is left out in turn, from the last to the first, and
/// stays out if the rule is broken without it.
///
/// # Errors
/// When there can be no runtime for it.
pub fn minimize(site: &Site, played: PlayedDay) -> io::Result<PlayedDay> {
    let Some(rule) = played.violations.first().map(|violation| violation.rule) else { return Ok(played) };
    let silent = Logger::root(slog::Discard, slog::o!());
    let mut shortest = played;
    for index in (0..shortest.day.events.len()).rev() {
        let shorter = play_and_check(site, shortest.day.without(index), &silent)?;
        if shorter.violations.iter().any(|violation| violation.rule == rule) {
            shortest = shorter;
        }
    }
    Ok(shortest)
}
