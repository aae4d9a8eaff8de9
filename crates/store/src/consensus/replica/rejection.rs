//! How a leader handles the rejection of operation records, which are replicated separately from the control state.
//!
//! A voter that has promised a higher epoch rejects records of a lower one. The leader doesn't learn of the promise
//! from heartbeats: they carry the replica set that a store has accepted, not its promise. If the candidate of the
//! higher epoch has died, no other store ends the lower epoch, in which records may not reach a majority any more.

use super::reconfiguration::ATTEMPT_INTERVAL;
use super::Replica;
use crate::consensus::event::EpochRejection;

impl Replica {
    /// Sets whether another store has rejected records of the epoch that this store leads. To be set before each tick.
    pub fn set_rejection(&mut self, rejection: Option<EpochRejection>) {
        self.rejection = rejection;
    }

    /// Starts an epoch above the promised one. If a newer replica set is known, or this store's disk is unhealthy or
    /// the store is leaving, it steps down instead.
    pub(super) fn answer_rejection(&mut self) {
        let Some(EpochRejection { epoch, promised }) = self.rejection.take() else { return };
        if !self.is_leader() || epoch != self.durable.config.epoch || promised <= epoch {
            return;
        }
        self.highest_epoch = self.highest_epoch.max(promised);
        if self.timers.is_backing_off(self.now) {
            return;
        }
        let can_keep_leading = self.status.is_disk_healthy && !self.status.is_leaving;
        if can_keep_leading && self.newest_config().epoch == epoch {
            self.timers.set_backoff(self.now + ATTEMPT_INTERVAL);
            self.start_prepare(None);
        } else {
            self.abandon_epoch();
        }
    }
}
