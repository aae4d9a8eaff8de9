//! Turns by weight, where the cost of a turn is known only after it: surplus round robin, the form of deficit
//! round robin that charges afterwards.
//!
//! Source: H. Adiseshu, G. Parulkar, G. Varghese, "A Reliable and Scalable Striping Protocol", SIGCOMM 1996
//! (surplus round robin); M. Shreedhar, G. Varghese, "Efficient Fair Queuing using Deficit Round Robin",
//! SIGCOMM 1995.
//!
//! Bound: with a quantum of `Q` per weight and turns that cost at most `C`, one that becomes ready has its turn
//! after at most the sum over the others of `Q * weight + C`, and over any time in which two are always ready
//! their costs per weight differ by at most `Q + C/weight` of each. Choosing is O(1) on the average while
//! `Q >= C`; a member deep in debt costs one step a round until it has paid.

use crate::Member;
use std::collections::{BTreeMap, VecDeque};

/// Whose turn is next among the members that are ready.
#[derive(Debug)]
pub struct Turns {
    quantum: u64,
    members: BTreeMap<Member, Standing>,
    /// The ready ones, in their order; the first has the turn while its credit lasts.
    ring: VecDeque<Member>,
}

#[derive(Debug)]
struct Standing {
    weight: u64,
    /// What it may still use before the others' turns; below 0: what it used beyond its part.
    credit: i64,
    ready: bool,
}

impl Turns {
    /// `quantum`: what one member of weight 1 may use in a turn, in the unit of costs. Over 0.
    pub fn new(quantum: u64) -> Turns {
        Turns { quantum: quantum.max(1), members: BTreeMap::new(), ring: VecDeque::new() }
    }

    /// Adds a member, or changes the weight of one that is there; it keeps its standing. Weights are over 0.
    pub fn set(&mut self, member: Member, weight: u64) {
        let standing = self.members.entry(member).or_insert(Standing { weight, credit: 0, ready: false });
        standing.weight = weight.max(1);
    }

    pub fn remove(&mut self, member: Member) {
        if self.members.remove(&member).is_some() {
            self.ring.retain(|other| *other != member);
        }
    }

    /// Something is there for it to do.
    pub fn ready(&mut self, member: Member) {
        let quantum = self.quantum;
        let Some(standing) = self.members.get_mut(&member).filter(|standing| !standing.ready) else { return };
        standing.ready = true;
        // Debt is kept, credit is not: neither idling nor coming back often is of use to anyone.
        standing.credit = standing.credit.min(0);
        standing.credit += (quantum * standing.weight) as i64;
        self.ring.push_back(member);
    }

    /// Whose turn it is; it stays that one's until [`Turns::used`] has used up its credit or it has no more to
    /// do. None: nobody is ready.
    pub fn whose(&mut self) -> Option<Member> {
        loop {
            let member = *self.ring.front()?;
            let Some(standing) = self.members.get_mut(&member) else {
                self.ring.pop_front();
                continue;
            };
            if standing.credit > 0 {
                return Some(member);
            }
            standing.credit += (self.quantum * standing.weight) as i64;
            self.ring.rotate_left(1);
        }
    }

    /// Something has been done for a member outside of its turns, at such a cost.
    pub fn charge(&mut self, member: Member, cost: u64) {
        if let Some(standing) = self.members.get_mut(&member) {
            standing.credit = standing.credit.saturating_sub_unsigned(cost);
        }
    }

    /// A member's turn has cost so much; `more`: it still has something to do.
    pub fn used(&mut self, member: Member, cost: u64, more: bool) {
        let Some(standing) = self.members.get_mut(&member) else { return };
        standing.credit = standing.credit.saturating_sub_unsigned(cost);
        if standing.ready && !more {
            standing.ready = false;
            self.ring.retain(|other| *other != member);
        }
    }
}
