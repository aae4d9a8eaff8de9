//! Which learners may get a vote: those that have all operation records.

use super::Replica;
use violetyoke_transport::messages::{StoreId, StoreNode};

/// Delays a change of voters until its new voters have all operation records.
///
/// Operation records are replicated to a majority of the voters, by [`crate::operations`]. If a learner got a vote
/// without them, some records might be at less than a majority of the voters.
#[derive(Clone, Debug, Default)]
pub(in crate::consensus) struct VoterGate {
    /// Learners that have all records; `None` if only the control state is replicated.
    complete: Option<Vec<StoreId>>,
    /// The new voters of the change that was checked last.
    awaited: Vec<StoreId>,
}

impl VoterGate {
    /// Whether the voters may change to `next_voters`; records the new voters as awaited.
    pub(super) fn admits(&mut self, voters: &[StoreNode], next_voters: &[StoreNode]) -> bool {
        let is_new = |voter: &&StoreNode| !voters.iter().any(|before| before.id == voter.id);
        self.awaited = next_voters.iter().filter(is_new).map(|voter| voter.id).collect();
        let Some(complete) = &self.complete else { return true };
        self.awaited.iter().all(|id| complete.contains(id))
    }
}

impl Replica {
    /// Sets which learners have all records now. The caller must not acknowledge a record before the next event.
    pub fn set_complete_learners(&mut self, complete: Vec<StoreId>) {
        self.voter_gate.complete = Some(complete);
    }

    /// Learners that the leader will give a vote once they have all records.
    #[must_use]
    pub fn awaited_learners(&self) -> &[StoreId] {
        if self.is_leader() {
            &self.voter_gate.awaited
        } else {
            &[]
        }
    }
}
