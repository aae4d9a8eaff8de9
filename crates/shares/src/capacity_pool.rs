//! A bounded resource with a part of it guaranteed to each member, and the rest for whoever comes first.
//!
//! What is guaranteed to one member is never lent to another: it must be available at once when a burst begins, and
//! neither a connection nor a body can be taken back.

use crate::Member;
use std::collections::BTreeMap;

/// How much each member has acquired. Every call is O(log n) in members.
#[derive(Debug, Default)]
pub struct CapacityPool {
    total: u64,
    members: BTreeMap<Member, Allocation>,
    /// The sum over the members of what each uses or is guaranteed, whichever is more.
    committed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Allocation {
    guaranteed: u64,
    max: u64,
    used: u64,
}

impl Allocation {
    fn committed(&self) -> u64 {
        self.used.max(self.guaranteed)
    }
}

impl CapacityPool {
    /// A pool of `total` units, without members.
    #[must_use]
    pub fn new(total: u64) -> CapacityPool {
        CapacityPool { total, ..CapacityPool::default() }
    }

    /// Changes the total; what is in use beyond it stays in use until it is released.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
    }

    /// Adds a member or changes its limits: `guaranteed` is always available to it, and `max` what it may use in all.
    /// It keeps what it has acquired.
    pub fn set_limits(&mut self, member: Member, guaranteed: u64, max: u64) {
        self.change(member, |allocation| (allocation.guaranteed, allocation.max) = (guaranteed, max));
    }

    /// Removes a member. Its part is available to the others once it has released what it uses.
    pub fn retire(&mut self, member: Member) {
        self.set_limits(member, 0, 0);
    }

    /// What a member uses now.
    #[must_use]
    pub fn used(&self, member: Member) -> u64 {
        self.members.get(&member).map_or(0, |allocation| allocation.used)
    }

    /// What a member could acquire now.
    #[must_use]
    pub fn available(&self, member: Member) -> u64 {
        let Some(allocation) = self.members.get(&member) else { return 0 };
        let others = self.committed - allocation.committed();
        let free = self.total.saturating_sub(others).saturating_sub(allocation.used);
        free.min(allocation.max.saturating_sub(allocation.used))
    }

    /// Acquires `amount` for a member, all of it or nothing; whether it did.
    #[must_use]
    pub fn try_acquire(&mut self, member: Member, amount: u64) -> bool {
        let fits = amount <= self.available(member);
        if fits {
            self.acquire_unchecked(member, amount);
        }
        fits
    }

    /// Counts `amount` for a member whether or not it fits: it is in use already.
    pub fn acquire_unchecked(&mut self, member: Member, amount: u64) {
        self.change(member, |allocation| allocation.used += amount);
    }

    /// Gives back what a member has acquired.
    pub fn release(&mut self, member: Member, amount: u64) {
        self.change(member, |allocation| allocation.used = allocation.used.saturating_sub(amount));
    }

    fn change(&mut self, member: Member, change: impl FnOnce(&mut Allocation)) {
        let allocation = self.members.entry(member).or_default();
        self.committed -= allocation.committed();
        change(allocation);
        self.committed += allocation.committed();
        if allocation.used == 0 && allocation.max == 0 {
            self.members.remove(&member);
        }
    }
}
