//! The first phase of a candidate: promises for a new epoch (phase 1 of Paxos).

use super::{Replica, Role};
use crate::consensus::event::Millis;
use crate::consensus::quorum::{all_voters, jitter};
use crate::consensus::role::{Preparing, Promise, PHASE_TIMEOUT};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{Epoch, PeerMessage, StoreNode};

/// After a failed attempt, a store waits at least this long before the next one, and up to `MAX_BACKOFF_JITTER` longer.
const MIN_BACKOFF: Millis = 100;
const MAX_BACKOFF_JITTER: Millis = 400;

impl Replica {
    /// Asks all voters to promise a new epoch. `new_voters` are the voters of a leader's reconfiguration.
    ///
    /// Invariant: a store prepares an epoch at most once. The epoch is higher than any that this store has promised,
    /// and the requests are sent only when this store's own promise is on the disk.
    pub(super) fn start_prepare(&mut self, new_voters: Option<Vec<StoreNode>>) {
        let epoch = self.highest_epoch.max(self.durable.promised).next();
        self.highest_epoch = epoch;
        self.durable.promised = epoch;
        self.persist();
        let newest = self.durable.state.revision;
        let own = Promise {
            from: self.settings.node.clone(),
            config: self.durable.config.clone(),
            revision: newest,
            state: None,
        };
        let promises = BTreeMap::from([(own.from.id, own)]);
        let is_reconfiguration = self.is_leader();
        self.role = Role::Preparing(Preparing {
            epoch,
            started_at: self.now,
            is_reconfiguration,
            new_voters,
            promises,
        });
        self.outbox.notify_watchers_now();
        let configs = [&self.durable.config, self.newest_config()];
        let mut voters: BTreeSet<StoreNode> = configs.into_iter().flat_map(all_voters).cloned().collect();
        voters.remove(&self.settings.node);
        for voter in voters {
            self.outbox.send_after_fsync(voter.ip, PeerMessage::Prepare { epoch, newest });
        }
        self.maybe_propose();
    }

    pub(super) fn on_promise(&mut self, epoch: Epoch, promise: Promise) {
        if let Role::Preparing(preparing) = &mut self.role {
            if preparing.epoch == epoch {
                preparing.promises.insert(promise.from.id, promise);
                self.maybe_propose();
            }
        }
    }

    /// Another store has promised the epoch `promised` and refuses a message of `epoch`. If this store leads or
    /// prepares `epoch`, it gives the epoch up, which can't succeed any more.
    pub(super) fn on_refuse(&mut self, epoch: Epoch, promised: Epoch) {
        self.highest_epoch = self.highest_epoch.max(promised);
        let own_epoch = match &self.role {
            Role::Preparing(preparing) => Some(preparing.epoch),
            Role::Proposing(proposing) => Some(proposing.config.epoch),
            Role::Leader => Some(self.durable.config.epoch),
            Role::Follower => None,
        };
        if own_epoch == Some(epoch) && promised > epoch {
            self.abandon_epoch();
        }
    }

    /// Handles a tick as a candidate.
    pub(super) fn continue_candidacy(&mut self) {
        if self.role.phase_started_at().is_some_and(|started_at| self.now > started_at + PHASE_TIMEOUT) {
            self.abandon_epoch();
        } else {
            self.maybe_propose();
        }
    }

    /// Steps down, and delays the next attempt so that other stores can try first.
    pub(super) fn abandon_epoch(&mut self) {
        self.step_down();
        let jitter = jitter(self.settings.node.id, self.highest_epoch, MAX_BACKOFF_JITTER);
        self.timers.set_backoff(self.now + MIN_BACKOFF + jitter);
    }
}
