//! For how long a connection to a backend may be kept unused: learned from those that broke.

use crate::interface::*;
use crate::Gateway;

/// Connections kept unused for longer are not used again where more of these break than of new ones: the
/// shortest time (us) and the doublings told apart, the margin (a broken request costs far more than a
/// handshake), how many requests count as no different, and the fading (us): then longer is tried again.
const SHORTEST_KEPT: Micros = 16_000;
const AGES: usize = 10;
const BREAK_MARGIN: f64 = 0.05;
const BREAK_PRIOR: f64 = 8.0;
const BREAK_FADE: f64 = 20e6;

#[derive(Default)]
pub(crate) struct Kept {
    /// Requests that a break ended and all, on new connections and on kept ones by their time unused.
    pub(crate) carried: [(f64, f64); AGES + 1],
    pub(crate) carried_at: Micros,
    pub(crate) keep_idle: Option<Micros>,
}

impl Gateway {
    /// Learns for how long connections may be kept.
    pub(crate) fn carried(&mut self, unused: Option<Micros>, broke: bool) {
        let faded = self.faded(self.kept.carried_at, BREAK_FADE);
        self.kept.carried_at = self.now;
        for (broken, all) in &mut self.kept.carried {
            (*broken, *all) = (*broken * faded, *all * faded);
        }
        let age = |unused: Micros| 1 + ((unused / SHORTEST_KEPT).max(1).ilog2() as usize).min(AGES - 1);
        let (broken, all) = &mut self.kept.carried[unused.map_or(0, age)];
        (*broken, *all) = (*broken + f64::from(u8::from(broke)), *all + 1.0);
        let usual = self.kept.carried[0].0 / (self.kept.carried[0].1 + BREAK_PRIOR);
        let dead = |(broken, all): &(f64, f64)| {
            (broken + BREAK_PRIOR * usual) / (all + BREAK_PRIOR) > usual + BREAK_MARGIN
        };
        let first = self.kept.carried[2..].iter().position(dead);
        let longest = first.map(|first| SHORTEST_KEPT << (first + 1));
        if std::mem::replace(&mut self.kept.keep_idle, longest) != longest {
            self.actions.push(Action::KeepIdle { longest: longest.unwrap_or(Micros::MAX) });
        }
    }
}
