//! The voter's side: what is promised, accepted and written here. Each answer waits for the disk.

use super::takeover::PHASE_TIMEOUT;
use super::{Register, Role};
use violetyoke_transport::messages::{
    ControlState, InitialState, PeerMessage, ReplicaConfig, Revision, StoreNode,
};

impl Register {
    fn refuse(&mut self, to: &StoreNode, epoch: u64) {
        let promised = self.durable.promised;
        self.send(to.ip, PeerMessage::Refuse { epoch, promised });
    }

    /// Raises the promise; whoever leads here under a lower epoch does so no more.
    fn raise(&mut self, epoch: u64) {
        self.durable.promised = epoch;
        self.highest = self.highest.max(epoch);
        if !matches!(self.role, Role::Follower) {
            self.step_down();
        }
    }

    /// Whoever asks gets the time that a phase takes: with a slow disk among the voters, stores that ask at every chance
    /// would overtake each other for as long as it is slow.
    fn leave_time_to_candidate(&mut self) {
        self.unled = Some(self.now);
        self.rest_until = self.rest_until.max(self.now + PHASE_TIMEOUT);
    }

    pub(super) fn prepare(&mut self, from: StoreNode, epoch: u64, has: Revision) {
        if epoch <= self.durable.promised {
            return self.refuse(&from, epoch);
        }
        self.raise(epoch);
        self.keep();
        let (config, revision) = (self.durable.config.clone(), self.durable.held.revision);
        let state = (revision > has).then(|| self.durable.held.clone());
        self.send(from.ip, PeerMessage::Promise { epoch, config, revision, state });
        self.leave_time_to_candidate();
    }

    pub(super) fn accept(&mut self, from: StoreNode, config: ReplicaConfig, state: Option<InitialState>) {
        let epoch = config.epoch;
        if epoch < self.durable.promised {
            return self.refuse(&from, epoch);
        }
        let now = self.durable.held.revision;
        match state {
            None => {}
            Some(InitialState::Full(state)) if state.revision > now => self.durable.held = state,
            Some(InitialState::Full(_)) => {}
            Some(InitialState::Promised { from, to }) if from == now || to == now => {
                self.durable.held.revision = to;
            }
            // Not the state that is meant: nothing is accepted, and the asker tries again.
            Some(InitialState::Promised { .. }) => return,
        }
        if epoch > self.durable.promised || !matches!(self.role, Role::Follower) {
            self.raise(epoch);
        }
        self.durable.config = config;
        self.durable.fresh = false;
        self.keep();
        self.send(from.ip, PeerMessage::Accepted { epoch });
        self.leave_time_to_candidate();
    }

    /// A primary says in its heartbeats which replica set is installed. A voter that accepted it drops the lists of voters
    /// before it; a store that missed it learns it, and whether it is still a voter. This holds under a higher promise
    /// too: what is installed is no vote any more, and whoever got the promise finds it at a majority.
    pub(super) fn learn_record(&mut self, config: &ReplicaConfig) {
        if config.epoch == self.durable.config.epoch {
            return self.installed();
        }
        // A holder has accepted the replica set, with the state, before it could be installed.
        let holder = config.data_replicas.contains(&self.me.id);
        if holder || config.epoch < self.durable.config.epoch || !config.previous_voters.is_empty() {
            return;
        }
        if !matches!(self.role, Role::Follower) {
            self.step_down();
        }
        self.durable.promised = self.durable.promised.max(config.epoch);
        self.durable.config = config.clone();
        self.durable.fresh = false;
        self.unled = None;
        self.keep();
    }

    /// The replica set accepted here is installed: the voters before it have no more say.
    pub(super) fn installed(&mut self) {
        if !self.durable.config.previous_voters.is_empty() {
            self.durable.config.previous_voters.clear();
            self.keep();
        }
    }

    pub(super) fn write(&mut self, from: StoreNode, epoch: u64, held: ControlState) {
        if epoch != self.durable.config.epoch || epoch != self.durable.promised {
            return self.refuse(&from, epoch);
        }
        let revision = held.revision;
        if revision > self.durable.held.revision {
            self.durable.held = held;
            self.keep();
        }
        self.send(from.ip, PeerMessage::Written { epoch, revision });
    }

    pub(super) fn confirm(&mut self, from: StoreNode, epoch: u64, nonce: u64) {
        if epoch != self.durable.config.epoch || epoch != self.durable.promised {
            return self.refuse(&from, epoch);
        }
        self.send(from.ip, PeerMessage::Confirmed { epoch, nonce });
    }
}
