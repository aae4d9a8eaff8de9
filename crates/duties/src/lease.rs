//! A lease in a worker's hands.

use crate::{clock::boottime, gate};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{watch, Notify};
use violetyoke_ownership::holder::{Change, Holder};
use violetyoke_ownership::{Claim, Epoch};

/// The holder of a process, shared by its office and its workers.
#[derive(Clone)]
pub(crate) struct Shared {
    holder: Arc<Mutex<Holder>>,
    /// There is something to tell the grantor now.
    pub urgent: Arc<Notify>,
}

impl Shared {
    pub fn new(holder: Holder) -> Shared {
        Shared { holder: Arc::new(Mutex::new(holder)), urgent: Arc::default() }
    }

    pub fn lock(&self) -> MutexGuard<'_, Holder> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a worker has of its lease. It goes with the worker, which is ended when the lease is lost.
pub struct Lease {
    pub claim: Claim,
    /// How far the work had come when it was given.
    pub mark: u64,
    pub(crate) shared: Shared,
    pub(crate) ending: watch::Receiver<bool>,
}

/// The lease is not good any more: nothing is to be done.
#[derive(Debug, PartialEq, Eq)]
pub struct Over;

impl Lease {
    pub fn holder(&self) -> String {
        self.shared.lock().name().to_string()
    }

    /// Asked directly before each effect; `act` names it.
    pub async fn check(&self, act: &str) -> Result<(), Over> {
        self.good()?;
        gate::pass(act, &self.claim).await;
        Ok(())
    }

    fn good(&self) -> Result<(), Over> {
        let good = self.shared.lock().may(&self.claim, boottime());
        good.then_some(()).ok_or(Over)
    }

    /// The work has gone on; without this the lease is not renewed.
    pub fn moved(&self, acts: u64) {
        self.shared.lock().moved(&self.claim, acts);
    }

    /// A receiver has refused an effect, for one of a newer epoch.
    pub fn fenced(&self, newest: Epoch) {
        let changes = self.shared.lock().fenced(&self.claim, newest);
        if let Some(Change::Lost { why, .. }) = changes.first() {
            tracing::warn!(lease = %self.claim.name, epoch = self.claim.epoch, ?why, "refused by a fence");
        }
    }

    /// Whether it is to be handed over: no new act is to be begun.
    pub fn is_ending(&self) -> bool {
        *self.ending.borrow()
    }

    /// Returns once the lease is to be handed over.
    pub async fn ends(&mut self) {
        // Without its office there is nobody to hand it to.
        let _ = self.ending.wait_for(|ending| *ending).await;
    }
}
