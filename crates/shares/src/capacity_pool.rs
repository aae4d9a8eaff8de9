//! A bounded resource with a guaranteed amount for each member; the rest is first come, first served.
//!
//! A member's guaranteed amount is never lent to another: it must be available at once when a burst begins, and
//! neither a connection nor a buffered body can be revoked.

use crate::Member;
use std::collections::BTreeMap;

/// The amounts that members have acquired. Every call is O(log n) in the number of members.
#[derive(Debug, Default)]
pub struct CapacityPool {
    total: u64,
    members: BTreeMap<Member, Allocation>,
    /// The sum over all members of the amount in use or the guaranteed amount, whichever is greater.
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
    /// Creates a pool of `total` units, without members.
    #[must_use]
    pub fn new(total: u64) -> CapacityPool {
        CapacityPool { total, ..CapacityPool::default() }
    }

    /// Changes the total. An excess that is in use stays in use until it is released.
    pub fn resize(&mut self, total: u64) {
        self.total = total;
    }

    /// Adds a member or changes its limits: `guaranteed` units are always available to it, and it may use at most
    /// `max`. The member keeps what it has acquired.
    pub fn set_limits(&mut self, member: Member, guaranteed: u64, max: u64) {
        self.change(member, |allocation| (allocation.guaranteed, allocation.max) = (guaranteed, max));
    }

    /// Removes a member. Its guaranteed amount is available to the others at once, what it uses after its release.
    pub fn retire(&mut self, member: Member) {
        self.set_limits(member, 0, 0);
    }

    /// The amount that a member uses now.
    #[must_use]
    pub fn used(&self, member: Member) -> u64 {
        self.members.get(&member).map_or(0, |allocation| allocation.used)
    }

    /// The amount that a member could acquire now.
    #[must_use]
    pub fn available(&self, member: Member) -> u64 {
        let Some(allocation) = self.members.get(&member) else { return 0 };
        let others = self.committed - allocation.committed();
        let free = self.total.saturating_sub(others).saturating_sub(allocation.used);
        free.min(allocation.max.saturating_sub(allocation.used))
    }

    /// Acquires `amount` for a member, either completely or not at all. Returns whether it was acquired.
    #[must_use]
    pub fn try_acquire(&mut self, member: Member, amount: u64) -> bool {
        let fits = amount <= self.available(member);
        if fits {
            self.acquire_unchecked(member, amount);
        }
        fits
    }

    /// Adds `amount` to a member's use even if it exceeds the limits, for what is in use already.
    pub fn acquire_unchecked(&mut self, member: Member, amount: u64) {
        self.change(member, |allocation| allocation.used += amount);
    }

    /// Releases `amount` of what a member has acquired.
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
