//! The second phase of a candidate: it chooses a replica set based on the promises, proposes and installs it (phase 2
//! of Paxos, and the activation of a configuration in Vertical Paxos).

use super::{Replica, Role};
use crate::consensus::quorum::{all_voters, data_replica_count, is_joint_majority, is_majority};
use crate::consensus::role::{Preparing, Proposing};
use std::collections::BTreeSet;
use violetyoke_transport::messages::{
    ControlState, Epoch, InitialState, PeerMessage, ReplicaConfig, Revision, StoreId, StoreNode,
};

/// A replica set to be proposed, with the state that its data replicas start from.
struct Proposal {
    config: ReplicaConfig,
    /// The newest state among the promises, with the first revision of the new epoch.
    state: ControlState,
    /// The revision that this state had in the promises.
    promised_revision: Revision,
    /// Ids of the voters that reported this revision in their promises.
    has_state: BTreeSet<StoreId>,
    /// The voters of the replica set that this one replaces, and of the earlier sets that may not be installed.
    base_voters: Vec<Vec<StoreNode>>,
}

impl Replica {
    /// Proposes a replica set once enough voters have promised.
    ///
    /// Invariants: a majority of the voters of the newest replica set among the promises has to promise, and the new
    /// epoch starts from the newest state among the promises. This state contains every acknowledged command, because a
    /// majority contains a data replica.
    pub(super) fn maybe_propose(&mut self) {
        let Role::Preparing(preparing) = &self.role else { return };
        let Some(base) = self.promised_base(preparing) else { return };
        // Data replicas have to be voters, or a majority might contain none of them. This can be checked only once a
        // majority has promised: until then, the accepted replica set may be older than the one that made this
        // store a voter.
        if self.settings.checks.data_replicas_vote && !base.has_voter(self.settings.node.id) {
            return self.abandon_epoch();
        }
        let Some(proposal) = self.choose_proposal(preparing, &base) else { return };
        self.reject_superseded_replies(proposal.promised_revision);
        self.propose(proposal);
    }

    /// The replica set that the new one replaces, once enough of its voters have promised.
    fn promised_base(&self, preparing: &Preparing) -> Option<ReplicaConfig> {
        let newest = preparing.newest_config()?;
        let base = if newest.epoch == Epoch::default() { &self.durable.config } else { newest };
        let is_promised = is_joint_majority(base, |id| preparing.has_promise(id));
        (is_promised && preparing.promise_wait_is_over(&base.voters, self.now)).then(|| base.clone())
    }

    fn choose_proposal(&self, preparing: &Preparing, base: &ReplicaConfig) -> Option<Proposal> {
        // Only the leader of an installed replica set may change its voters, so that there is one change at a time.
        let can_change_voters = base.epoch == self.durable.config.epoch && base.previous_voters.is_empty();
        let voters =
            preparing.new_voters.as_ref().filter(|_| can_change_voters).unwrap_or(&base.voters).clone();
        let data_replicas = self.choose_data_replicas(preparing, base, &voters)?;
        let mut previous_voters = vec![base.voters.clone()];
        previous_voters.extend(base.previous_voters.iter().cloned());
        previous_voters.retain(|previous| *previous != voters);
        previous_voters.dedup();
        let epoch = preparing.epoch;
        let mut state = preparing.newest_state(&self.durable.state).clone();
        let promised_revision = std::mem::replace(&mut state.revision, Revision { epoch, sequence: 0 });
        Some(Proposal {
            config: ReplicaConfig { epoch, voters, data_replicas, previous_voters },
            state,
            promised_revision,
            has_state: preparing.voters_at_revision(promised_revision),
            base_voters: base.previous_voters.iter().chain([&base.voters]).cloned().collect(),
        })
    }

    /// Chooses more than half of the voters as data replicas: this store, then stores that are not leaving, those in
    /// other zones first. A voter of the base replica set must have promised; a new voter gets the state with the
    /// replica set.
    fn choose_data_replicas(
        &self,
        preparing: &Preparing,
        base: &ReplicaConfig,
        voters: &[StoreNode],
    ) -> Option<Vec<StoreId>> {
        let local = &self.settings.node;
        let can_hold_data = |voter: &&StoreNode| {
            let is_ready = preparing.has_promise(voter.id) || !base.has_voter(voter.id);
            voter.id != local.id && is_ready && self.is_reachable(voter.id)
        };
        let mut others: Vec<&StoreNode> = voters.iter().filter(can_hold_data).collect();
        others.sort_by_key(|voter| (!self.is_eligible(voter.id), voter.zone == local.zone));
        let count = data_replica_count(voters);
        let ids: Vec<StoreId> =
            [local.id].into_iter().chain(others.iter().map(|voter| voter.id)).take(count).collect();
        (ids.len() == count).then_some(ids)
    }

    /// Accepts a proposal on this store, and sends it to all voters that it lists. A data replica that reported the
    /// same state in its promise gets only the new revision.
    fn propose(&mut self, proposal: Proposal) {
        let Proposal { config, state, promised_revision: from, has_state, base_voters } = proposal;
        self.base_voters = base_voters;
        self.durable.config = config.clone();
        self.durable.is_bootstrapping = false;
        self.durable.state = state.clone();
        self.persist();
        let write = self.outbox.last_requested();
        let initial_state = |id: StoreId| match (config.data_replicas.contains(&id), has_state.contains(&id))
        {
            (false, _) => None,
            (true, true) => Some(InitialState::Promised { from, to: state.revision }),
            (true, false) => Some(InitialState::Full(state.clone())),
        };
        let others: BTreeSet<&StoreNode> =
            all_voters(&config).filter(|voter| !self.is_local(voter.id)).collect();
        for voter in others {
            let message = PeerMessage::Accept { config: config.clone(), state: initial_state(voter.id) };
            self.outbox.send_after_fsync(voter.ip, message);
        }
        let accepted = BTreeSet::new();
        self.role = Role::Proposing(Proposing { config, write, started_at: self.now, accepted });
    }

    /// A voter has accepted the proposal, or this store's own acceptance is on its disk.
    ///
    /// Invariant: a replica set is installed only when a joint majority has accepted it and all its data replicas have
    /// the state on their disks. At most one store leads under an epoch.
    pub(super) fn on_accepted(&mut self, id: StoreId, epoch: Epoch) {
        let Role::Proposing(proposing) = &mut self.role else { return };
        let config = &proposing.config;
        if config.epoch != epoch {
            return;
        }
        proposing.accepted.insert(id);
        let has_accepted = |id| proposing.accepted.contains(&id);
        let is_agreed = if self.settings.checks.previous_majorities {
            is_joint_majority(config, has_accepted)
        } else {
            is_majority(&config.voters, has_accepted)
        };
        if is_agreed && config.data_replicas.iter().all(|id| has_accepted(*id)) {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.timers.on_installed(self.now);
        self.committed = self.durable.state.revision;
        self.snapshots.clear();
        self.clear_previous_voters();
        // Other stores learn from the leader's heartbeats that the replica set is installed.
        self.request_heartbeat();
        self.reply_to_committed();
        self.outbox.notify_watchers_after_fsync();
        self.start_next_batch();
    }
}
