//! A worker's handle of its lease.

use crate::clock::boottime;
use crate::pause_point;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{watch, Notify};
use violetyoke_ownership::{Claim, Epoch, LeaseEvent, LeaseHolder};

/// The lease holder of a process, shared by its supervisor and its workers.
#[derive(Clone)]
pub(crate) struct SharedHolder {
    holder: Arc<Mutex<LeaseHolder>>,
    /// A request to the lease manager is due now.
    pub(crate) request_due: Arc<Notify>,
}

impl SharedHolder {
    pub(crate) fn new(holder: LeaseHolder) -> SharedHolder {
        SharedHolder { holder: Arc::new(Mutex::new(holder)), request_due: Arc::default() }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, LeaseHolder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The lease of one worker. When the lease is lost, the supervisor stops the worker.
pub struct LeaseHandle {
    /// The lease.
    pub claim: Claim,
    /// The watermark of the shard's work when the lease was granted.
    pub watermark: u64,
    pub(crate) holder: SharedHolder,
    pub(crate) ending: watch::Receiver<bool>,
}

/// The lease is no longer valid: no operation may start.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("the lease is no longer valid")]
pub struct LeaseInvalid;

impl LeaseHandle {
    /// The name of the process that holds the lease.
    pub fn holder_name(&self) -> String {
        self.holder.lock().name().to_string()
    }

    /// Checks the lease directly before an operation with the name `operation`.
    ///
    /// # Errors
    /// [`LeaseInvalid`] if the operation must not start.
    pub async fn check(&self, operation: &str) -> Result<(), LeaseInvalid> {
        if !self.holder.lock().is_valid(&self.claim, boottime()) {
            return Err(LeaseInvalid);
        }
        pause_point::reach(operation, &self.claim).await;
        Ok(())
    }

    /// Records progress: operations were completed, or there was nothing to do (0). Without progress the lease is not
    /// renewed.
    pub fn record_progress(&self, operations: u64) {
        self.holder.lock().record_progress(&self.claim, operations);
    }

    /// Gives up the lease after a receiver has rejected an operation, because it has seen a newer epoch.
    pub fn on_fenced(&self, newest: Epoch) {
        let event = self.holder.lock().on_fenced(&self.claim, newest);
        if let Some(LeaseEvent::Lost { cause, .. }) = event {
            tracing::warn!(lease = %self.claim.shard, epoch = %self.claim.epoch, ?cause, "rejected by fencing");
        }
    }

    /// Whether the lease is to be handed over: no new work is to start.
    pub fn is_ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Returns once the lease is to be handed over.
    pub async fn wait_until_ending(&mut self) {
        // An error means that the supervisor has ended, so that the lease can no longer be released.
        drop(self.ending.wait_for(|is_ending| *is_ending).await);
    }
}
