//! What a store is doing: following, trying to lead in either phase of Paxos, or leading.

use super::event::{Millis, WriteNumber};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{ControlState, Epoch, ReplicaConfig, Revision, StoreId, StoreNode};

/// How long a candidate waits for promises, and then for acceptances.
pub(super) const PHASE_TIMEOUT: Millis = 600;
/// After a majority has promised, a candidate waits this long for the others.
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
    pub(super) since: Millis,
    /// It began as the leader of the replica set that it still has, which stays installed until the proposal.
    pub(super) is_reconfiguration: bool,
    /// The voters that a leader wants to have; `None` where the voters are to stay as they are.
    pub(super) new_voters: Option<Vec<StoreNode>>,
    /// By the id of the voter that gave it.
    pub(super) promises: BTreeMap<StoreId, Promise>,
}

/// What a voter had accepted when it promised.
#[derive(Clone, Debug)]
pub(super) struct Promise {
    pub(super) from: StoreNode,
    pub(super) config: ReplicaConfig,
    pub(super) revision: Revision,
    /// Present where it is newer than the candidate's.
    pub(super) state: Option<ControlState>,
}

/// The second phase of a candidate.
#[derive(Clone, Debug)]
pub(super) struct Proposing {
    pub(super) config: ReplicaConfig,
    /// The write that makes this store's own acceptance durable.
    pub(super) write: WriteNumber,
    pub(super) since: Millis,
    /// Ids of the voters that have accepted.
    pub(super) accepted: BTreeSet<StoreId>,
}

impl Role {
    /// Since when a candidate waits in its present phase.
    pub(super) fn phase_since(&self) -> Option<Millis> {
        match self {
            Role::Preparing(preparing) => Some(preparing.since),
            Role::Proposing(proposing) => Some(proposing.since),
            Role::Follower | Role::Leader => None,
        }
    }
}

impl Preparing {
    pub(super) fn has_promise(&self, id: StoreId) -> bool {
        self.promises.contains_key(&id)
    }

    /// The newest replica set among the promises; of two of one epoch, the one that is known to be installed.
    pub(super) fn newest_config(&self) -> Option<&ReplicaConfig> {
        let configs = self.promises.values().map(|promise| &promise.config);
        configs.max_by_key(|config| (config.epoch, Reverse(config.previous_voters.len())))
    }

    /// The newest state among the promises and this store's own.
    pub(super) fn newest_state<'a>(&'a self, own: &'a ControlState) -> &'a ControlState {
        let promised = self.promises.values().filter_map(|promise| promise.state.as_ref());
        promised.chain([own]).max_by_key(|state| state.revision).unwrap_or(own)
    }

    /// Ids of the voters that promised with a state of this revision.
    pub(super) fn ids_with(&self, revision: Revision) -> BTreeSet<StoreId> {
        let with_revision = self.promises.values().filter(|promise| promise.revision == revision);
        with_revision.map(|promise| promise.from.id).collect()
    }

    /// All voters have promised, or the others have had their time.
    pub(super) fn has_waited_enough(&self, voters: &[StoreNode], now: Millis) -> bool {
        voters.iter().all(|voter| self.has_promise(voter.id)) || now >= self.since + PROMISE_GRACE
    }
}
