//! Grants leases: applies the lease manager's decisions, each in one transaction of the store.

mod refresh;
mod request;
mod transaction;

use super::epoch_file::EpochFile;
use super::{declarations, lease_store};
use crate::store::{Result, Store};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;
use violetyoke_duties::clock::boottime;
use violetyoke_ownership::{Epoch, EpochAllocator, LeaseManager, SingletonRole};

/// What a control plane has in memory.
struct State {
    manager: LeaseManager,
    epochs: EpochAllocator,
}

/// The lease manager of one control plane, on a store that it may share with others.
pub struct LeaseService {
    state: Mutex<State>,
    epoch_file: EpochFile,
    /// Counts the times when a lease may have become available.
    availability: watch::Sender<u64>,
}

impl LeaseService {
    /// A service that starts now. `wall_ms`, the Unix time, is a lower bound for epochs and nothing else.
    ///
    /// # Errors
    /// [`Error`](crate::store::Error) if the store or the epoch file cannot be read.
    pub fn open(store: &dyn Store, epoch_file: EpochFile, wall_ms: u64) -> Result<LeaseService> {
        let (mut roles, mut stored) = (Vec::new(), Epoch::default());
        store.view(&mut |read| {
            roles = declarations::in_force(read)?;
            stored = lease_store::newest_epoch(read)?;
            Ok(())
        })?;
        let reserved = epoch_file.read()?;
        let is_new_store = stored == Epoch::default() && reserved.is_none();
        let manager = LeaseManager::new(roles, is_new_store, boottime());
        let epochs = EpochAllocator::resume(stored, reserved.unwrap_or_default(), wall_ms);
        let state = Mutex::new(State { manager, epochs });
        let service = LeaseService { state, epoch_file, availability: watch::Sender::new(0) };
        service.refresh(store, wall_ms)?;
        Ok(service)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes whenever a lease may have become available.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.availability.subscribe()
    }

    fn announce_availability(&self) {
        self.availability.send_modify(|count| *count += 1);
    }

    /// The roles in force, in order of their names.
    pub fn roles(&self) -> Vec<SingletonRole> {
        self.lock().manager.roles().cloned().collect()
    }

    /// The candidates for a role's shards.
    pub(crate) fn candidates(&self, role: &str) -> Vec<String> {
        self.lock().manager.candidates(role).into_iter().map(String::from).collect()
    }

    /// Whether a request of this holder would get a lease.
    pub(crate) fn has_lease_for(&self, holder: &str) -> bool {
        !self.lock().manager.grantable_to(holder, boottime()).is_empty()
    }
}
