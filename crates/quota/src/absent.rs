//! Ingresses that may pass requests without asking: those whose session has ended may be cut off and alive. What they have of
//! their own is kept back by the holders, as far as the rule's own slack does not bear it.

use crate::own::{LENGTH, PART};
use crate::Millis;
use std::collections::BTreeMap;

/// One that has been away for so long has gone for good.
const FORGOTTEN: Millis = 60_000;

#[derive(Clone, Copy, Debug)]
struct Known {
    seen: Millis,
    away: bool,
    /// When it was last back from being away.
    back: Option<Millis>,
}

/// All ingresses that were members of late.
#[derive(Clone, Debug, Default)]
pub struct Absent {
    known: BTreeMap<u32, Known>,
}

impl Absent {
    /// These are members now, in order; those that `begin` are in a life that has passed nothing yet.
    pub fn see(&mut self, now: Millis, members: &[u32], begin: &[u32]) {
        let others_were = self.most_are_here();
        for member in members {
            let known = self.known.entry(*member).or_insert(Known { seen: now, away: false, back: None });
            if begin.contains(member) {
                known.back = None;
            } else if known.away {
                known.back = others_were.then_some(now);
            }
            (known.seen, known.away) = (now, false);
        }
        for (member, known) in &mut self.known {
            known.away |= members.binary_search(member).is_err();
        }
        self.known.retain(|_, known| !known.away || now < known.seen + FORGOTTEN);
    }

    /// Another registry knows these as away: one that has just begun never saw them.
    pub fn told(&mut self, now: Millis, away: &[u32]) {
        for member in away {
            self.known.entry(*member).or_insert(Known { seen: now, away: true, back: None });
        }
    }

    /// Those that are away now.
    pub fn away(&self) -> Vec<u32> {
        self.known.iter().filter(|(_, known)| known.away).map(|(member, _)| *member).collect()
    }

    /// Where most are away, it is this registry that is cut off: nobody passes anything beside what is counted here.
    fn most_are_here(&self) -> bool {
        self.known.values().filter(|known| known.away).count() * 2 <= self.known.len()
    }

    /// The part of each limit that is kept back for them; `slack`: the part by which a limit may be passed. What one passed
    /// while it was away counts for as long as the quota's span.
    pub fn reserve(&self, now: Millis, slack: f64) -> f64 {
        if !self.most_are_here() {
            return 0.0;
        }
        let alone = |known: &&Known| known.away || known.back.is_some_and(|at| now < at + LENGTH);
        let alone = self.known.values().filter(alone).count() as f64;
        (alone / self.known.len().max(1) as f64 * PART - slack).max(0.0)
    }
}
