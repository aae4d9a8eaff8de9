//! Weighted fair queueing of turns whose cost is known only afterwards: surplus round robin, the form of deficit round
//! robin that charges after the turn.
//!
//! Source: H. Adiseshu, G. Parulkar, G. Varghese, "A Reliable and Scalable Striping Protocol", SIGCOMM 1996
//! (surplus round robin); M. Shreedhar, G. Varghese, "Efficient Fair Queuing using Deficit Round Robin",
//! SIGCOMM 1995.
//!
//! Bound: with a quantum of `Q` per weight and turns that cost at most `C`, a member that becomes ready has its turn
//! after at most the sum over the others of `Q * weight + C`, and over any time in which two are always ready
//! their costs per weight differ by at most `Q + C/weight` of each. Choosing is O(1) on the average while
//! `Q >= C`; a member deep in debt costs one step a round until it has paid.

use crate::Member;
use std::collections::{BTreeMap, VecDeque};

/// Decides whose turn is next among the members that are ready.
#[derive(Debug)]
pub struct FairScheduler {
    quantum: u64,
    members: BTreeMap<Member, Account>,
    /// The ready members, in their order; the first has the turn while its credit lasts.
    ready: VecDeque<Member>,
}

#[derive(Debug)]
struct Account {
    weight: u64,
    /// What it may still use before the others' turns; below 0: what it has used beyond its part.
    credit: i64,
    is_ready: bool,
}

impl FairScheduler {
    /// `quantum`: what a member of weight 1 may use in a turn, in the unit of costs. Over 0.
    #[must_use]
    pub fn new(quantum: u64) -> FairScheduler {
        FairScheduler { quantum: quantum.max(1), members: BTreeMap::new(), ready: VecDeque::new() }
    }

    /// Adds a member, or changes the weight of one that is there; it keeps its credit. Weights are over 0.
    pub fn set_weight(&mut self, member: Member, weight: u64) {
        let account = self.members.entry(member).or_insert(Account { weight, credit: 0, is_ready: false });
        account.weight = weight.max(1);
    }

    /// Removes a member, whatever its credit.
    pub fn remove(&mut self, member: Member) {
        if self.members.remove(&member).is_some() {
            self.ready.retain(|other| *other != member);
        }
    }

    /// A member has something to do.
    pub fn mark_ready(&mut self, member: Member) {
        let quantum = self.quantum;
        let Some(account) = self.members.get_mut(&member).filter(|account| !account.is_ready) else { return };
        account.is_ready = true;
        // Debt is kept, credit is not: neither idling nor coming back often is an advantage.
        account.credit = account.credit.min(0);
        account.credit += (quantum * account.weight) as i64;
        self.ready.push_back(member);
    }

    /// Whose turn it is. It stays that member's until [`FairScheduler::end_turn`] has used up its credit, or it has no
    /// more to do. `None`: no member is ready.
    #[must_use]
    pub fn next_turn(&mut self) -> Option<Member> {
        loop {
            let member = *self.ready.front()?;
            let Some(account) = self.members.get_mut(&member) else {
                self.ready.pop_front();
                continue;
            };
            if account.credit > 0 {
                return Some(member);
            }
            account.credit += (self.quantum * account.weight) as i64;
            self.ready.rotate_left(1);
        }
    }

    /// Something was done for a member outside of its turns, at a cost.
    pub fn charge(&mut self, member: Member, cost: u64) {
        if let Some(account) = self.members.get_mut(&member) {
            account.credit = account.credit.saturating_sub_unsigned(cost);
        }
    }

    /// A member's turn has cost so much; it may still have something to do.
    pub fn end_turn(&mut self, member: Member, cost: u64, has_more: bool) {
        let Some(account) = self.members.get_mut(&member) else { return };
        account.credit = account.credit.saturating_sub_unsigned(cost);
        if account.is_ready && !has_more {
            account.is_ready = false;
            self.ready.retain(|other| *other != member);
        }
    }
}
