//! Days by the seed: played, judged, and a day that breaks a rule shortened until nothing more can be left out of it.

use crate::day::Day;
use crate::figures::Figures;
use crate::judge::{judge, Broken};
use crate::site::Site;
use crate::world::play;
use slog::Logger;
use std::io;

/// A day with its end.
pub struct Told {
    pub day: Day,
    pub figures: Figures,
    pub broken: Vec<Broken>,
}

/// Plays and judges a day.
pub fn tell(site: &Site, day: Day, log: Logger) -> io::Result<Told> {
    let played = play(site, &day, log)?;
    let broken = judge(site, &played.records);
    Ok(Told { figures: Figures::of(site, &played.records), broken, day })
}

/// The shortest day found that still breaks the same rule: events are left out one at a time for as long as it does.
pub fn shorten(site: &Site, told: Told) -> io::Result<Told> {
    let Some(rule) = told.broken.first().map(|broken| broken.rule) else { return Ok(told) };
    let mut told = told;
    let mut place = told.day.events.len();
    while place > 0 {
        place -= 1;
        let shorter = tell(site, told.day.without(place), Logger::root(slog::Discard, slog::o!()))?;
        if shorter.broken.iter().any(|broken| broken.rule == rule) {
            told = shorter;
        }
    }
    Ok(told)
}
