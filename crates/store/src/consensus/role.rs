//! The role of a store: follower, candidate in one of the two phases of Paxos, or leader.

use super::event::{Millis, WriteNumber};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{ControlState, Epoch, ReplicaConfig, Revision, StoreId, StoreNode};

/// How long a candidate waits for promises, and then for acceptances.
pub(super) const PHASE_TIMEOUT: Millis = 600;
/// How long after the start of the first phase a candidate that has a majority still waits for further promises.
const PROMISE_GRACE: Millis = 30;

/// The role of a store.
#[derive(Clone, Debug)]
pub(super) enum Role {
    /// Follows the leader, if there is one.
    Follower,
    /// Candidate in the first phase: collects promises for an epoch.
    Preparing(Preparing),
    /// Candidate in the second phase: collects acceptances of its replica set.
    Proposing(Proposing),
    /// Leader of an installed replica set.
    Leader,
}

/// The first phase of a candidate.
#[derive(Clone, Debug)]
pub(super) struct Preparing {
    pub(super) epoch: Epoch,
    pub(super) started_at: Millis,
    /// Whether the candidate was the leader when it started. Its replica set stays installed until it proposes another.
    pub(super) is_reconfiguration: bool,
    /// The voters that a reconfiguration changes to; `None` if the voters stay the same.
    pub(super) new_voters: Option<Vec<StoreNode>>,
    /// The promises received, by the id of the voter; the candidate's own is among them.
    pub(super) promises: BTreeMap<StoreId, Promise>,
}

/// A voter's promise, with what the voter had accepted when it promised.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    pub(super) from: StoreNode,
    pub(super) config: ReplicaConfig,
    pub(super) revision: Revision,
    /// The accepted state, if it is newer than the candidate's.
    pub(super) state: Option<ControlState>,
}

/// The second phase of a candidate.
#[derive(Clone, Debug)]
pub(super) struct Proposing {
    pub(super) config: ReplicaConfig,
    /// The write that makes this store's own acceptance durable.
    pub(super) write: WriteNumber,
    pub(super) started_at: Millis,
    /// Ids of the voters that have accepted.
    pub(super) accepted: BTreeSet<StoreId>,
}

impl Role {
    /// When a candidate started its current phase.
    pub(super) fn phase_started_at(&self) -> Option<Millis> {
        match self {
            Role::Preparing(preparing) => Some(preparing.started_at),
            Role::Proposing(proposing) => Some(proposing.started_at),
            Role::Follower | Role::Leader => None,
        }
    }
}

impl Preparing {
    pub(super) fn has_promise(&self, id: StoreId) -> bool {
        self.promises.contains_key(&id)
    }

    /// The newest replica set among the promises. Of two with the same epoch, the one with fewer lists of previous
    /// voters: these lists are removed once the replica set is known to be installed.
    pub(super) fn newest_config(&self) -> Option<&ReplicaConfig> {
        let configs = self.promises.values().map(|promise| &promise.config);
        configs.max_by_key(|config| (config.epoch, Reverse(config.previous_voters.len())))
    }

    /// The newest state among those in the promises and this store's own state.
    pub(super) fn newest_state<'a>(&'a self, own: &'a ControlState) -> &'a ControlState {
        let promised = self.promises.values().filter_map(|promise| promise.state.as_ref());
        promised.chain([own]).max_by_key(|state| state.revision).unwrap_or(own)
    }

    /// Ids of the voters whose state had this revision when they promised.
    pub(super) fn voters_at_revision(&self, revision: Revision) -> BTreeSet<StoreId> {
        let with_revision = self.promises.values().filter(|promise| promise.revision == revision);
        with_revision.map(|promise| promise.from.id).collect()
    }

    /// Whether all voters have promised, or the time to wait for further promises is over.
    pub(super) fn promise_wait_is_over(&self, voters: &[StoreNode], now: Millis) -> bool {
        voters.iter().all(|voter| self.has_promise(voter.id)) || now >= self.started_at + PROMISE_GRACE
    }
}
