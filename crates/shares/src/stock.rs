//! Something that there is only so much of, with a part of it guaranteed to each member and the rest shared by
//! whoever comes first. What is guaranteed to one is never lent to another: it must be there at once when a
//! rush begins, and neither a connection nor a body can be taken back from whom it was lent to.

use crate::Member;
use std::collections::BTreeMap;

/// Who has how much. Every call is O(log n) in members.
#[derive(Debug, Default)]
pub struct Stock {
    total: u64,
    members: BTreeMap<Member, Holding>,
    /// What is taken by each member or set aside for it, whichever is more, in sum.
    bound: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    guaranteed: u64,
    most: u64,
    used: u64,
}

impl Holding {
    fn bound(&self) -> u64 {
        self.used.max(self.guaranteed)
    }
}

impl Stock {
    pub fn new(total: u64) -> Stock {
        Stock { total, ..Stock::default() }
    }

    /// Changes the whole amount; what is taken beyond it stays taken until it is given back.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
    }

    /// Adds a member or changes its part: `guaranteed` is its own, and `most` what it may take in all. It keeps
    /// what it has taken.
    pub fn set(&mut self, member: Member, guaranteed: u64, most: u64) {
        self.change(member, |holding| (holding.guaranteed, holding.most) = (guaranteed, most));
    }

    /// Takes a member out. Its part is free for the others once what it took is given back, which
    /// [`Stock::give`] still takes.
    pub fn retire(&mut self, member: Member) {
        self.set(member, 0, 0);
    }

    pub fn used(&self, member: Member) -> u64 {
        self.members.get(&member).map_or(0, |holding| holding.used)
    }

    /// What `member` could take now.
    pub fn left(&self, member: Member) -> u64 {
        let Some(holding) = self.members.get(&member) else { return 0 };
        let others = self.bound - holding.bound();
        let free = self.total.saturating_sub(others).saturating_sub(holding.used);
        free.min(holding.most.saturating_sub(holding.used))
    }

    /// Takes `amount` for a member, whole or not at all.
    pub fn take(&mut self, member: Member, amount: u64) -> bool {
        let fits = amount <= self.left(member);
        if fits {
            self.force(member, amount);
        }
        fits
    }

    /// Counts `amount` for a member whether or not it fits: it is there already.
    pub fn force(&mut self, member: Member, amount: u64) {
        self.change(member, |holding| holding.used += amount);
    }

    pub fn give(&mut self, member: Member, amount: u64) {
        self.change(member, |holding| holding.used = holding.used.saturating_sub(amount));
    }

    fn change(&mut self, member: Member, change: impl FnOnce(&mut Holding)) {
        let holding = self.members.entry(member).or_default();
        self.bound -= holding.bound();
        change(holding);
        self.bound += holding.bound();
        if holding.used == 0 && holding.most == 0 {
            self.members.remove(&member);
        }
    }
}
