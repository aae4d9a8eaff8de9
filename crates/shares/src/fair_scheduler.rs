//! Weighted fair queueing of turns whose cost is known only afterwards, by surplus round robin: a variant of deficit
//! round robin that charges after the turn.
//!
//! Source: H. Adiseshu, G. Parulkar, G. Varghese, "A Reliable and Scalable Striping Protocol", SIGCOMM 1996
//! (surplus round robin); M. Shreedhar, G. Varghese, "Efficient Fair Queuing using Deficit Round Robin",
//! SIGCOMM 1995.
//!
//! Bounds: let the quantum be `Q` per unit of weight, and let a turn cost at most `C`. A member that becomes ready
//! gets its turn after at most the sum over the other members of `Q * weight + C`. While two members are both always
//! ready, their costs per weight differ by at most the sum of `Q + C/weight` over both. Selecting a member is O(1) on
//! average while `Q >= C`; a member with negative credit costs one step in each round until the credit is positive
//! again.

use crate::Member;
use std::collections::{BTreeMap, VecDeque};

/// Selects the next member to run among those that are ready.
#[derive(Debug)]
pub struct FairScheduler {
    quantum: u64,
    members: BTreeMap<Member, Account>,
    /// The ready members in the order of their turns; the first one runs while its credit is positive.
    ready: VecDeque<Member>,
}

#[derive(Debug)]
struct Account {
    weight: u64,
    /// Cost that the member may still use before its turn ends; negative: cost used in excess of its share.
    credit: i64,
    is_ready: bool,
}

impl FairScheduler {
    /// Creates a scheduler without members. `quantum`: the cost that a member of weight 1 may use in a turn, at least
    /// 1.
    #[must_use]
    pub fn new(quantum: u64) -> FairScheduler {
        FairScheduler { quantum: quantum.max(1), members: BTreeMap::new(), ready: VecDeque::new() }
    }

    /// Adds a member, or changes the weight of an existing one, which keeps its credit. A weight of 0 counts as 1.
    pub fn set_weight(&mut self, member: Member, weight: u64) {
        let account = self.members.entry(member).or_insert(Account { weight, credit: 0, is_ready: false });
        account.weight = weight.max(1);
    }

    /// Removes a member together with its credit.
    pub fn remove(&mut self, member: Member) {
        if self.members.remove(&member).is_some() {
            self.ready.retain(|other| *other != member);
        }
    }

    /// Marks a member as ready to run.
    pub fn mark_ready(&mut self, member: Member) {
        let quantum = self.quantum;
        let Some(account) = self.members.get_mut(&member).filter(|account| !account.is_ready) else { return };
        account.is_ready = true;
        // Negative credit is kept and positive credit is dropped, so that a member gains nothing by being idle or by
        // becoming ready often.
        account.credit = account.credit.min(0);
        account.credit += (quantum * account.weight) as i64;
        self.ready.push_back(member);
    }

    /// Returns the member whose turn it is: the same one until [`FairScheduler::end_turn`] has used up its credit or it
    /// has no more work. `None`: no member is ready.
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

    /// Charges a member for work that was done outside its turns.
    pub fn charge(&mut self, member: Member, cost: u64) {
        if let Some(account) = self.members.get_mut(&member) {
            account.credit = account.credit.saturating_sub_unsigned(cost);
        }
    }

    /// Ends a turn and charges its cost to the member, which stays ready if it `has_more` work.
    pub fn end_turn(&mut self, member: Member, cost: u64, has_more: bool) {
        let Some(account) = self.members.get_mut(&member) else { return };
        account.credit = account.credit.saturating_sub_unsigned(cost);
        if account.is_ready && !has_more {
            account.is_ready = false;
            self.ready.retain(|other| *other != member);
        }
    }
}
