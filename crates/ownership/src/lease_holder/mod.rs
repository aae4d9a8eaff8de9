//! The lease holder: which leases this process has, and until when.
//!
//! A lease's duration counts from *before the request was sent* that brought it, less an allowance for clock drift.
//! The lease manager counts from when it received the request, so that it still has the lease on record when the
//! lease ends here. A response is used once, and counts from its own request in whatever order responses arrive, so
//! that late and duplicate responses extend no lease. A renewal is requested only if the work has made progress since
//! the last one, so that a worker that hangs loses its lease while the rest of its process goes on.

mod calls;

pub use calls::{CallId, MAX_PENDING_CALLS};

use crate::claim::{Claim, ShardId};
use crate::clock::Micros;
use crate::epoch::Epoch;
use crate::event::{LeaseEvent, LossCause};
use crate::injected_faults::InjectedFaults;
use calls::PendingCall;
use std::collections::BTreeMap;

/// A holder stops this fraction (1/50) of a lease's duration early, so that the speeds of two clocks may differ by
/// that much without two processes holding the lease at once.
pub const CLOCK_DRIFT_DIVISOR: u64 = 50;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    epoch: Epoch,
    expires_at: Micros,
    operations: u64,
    /// The work has made progress since the last renewal was sent.
    has_progress: bool,
    /// A hand-over was requested: no new work starts.
    is_handing_over: bool,
    /// The work has finished: the lease is to be released.
    is_finished: bool,
}

/// The leases of one process.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    name: String,
    roles: Vec<String>,
    leases: BTreeMap<ShardId, HeldLease>,
    /// Leases that expired by this holder's clock and that the lease manager has not taken back yet. They are
    /// reported to the manager, which can then grant them without waiting.
    expired: Vec<Claim>,
    /// The newest epoch of each shard that was ever held here. Grants of this epoch or older ones are not accepted
    /// again once the lease has ended.
    newest_held: BTreeMap<ShardId, Epoch>,
    pending_calls: BTreeMap<CallId, PendingCall>,
    next_call: CallId,
    observed_epoch: Epoch,
    echo: u64,
    is_leaving: bool,
    faults: InjectedFaults,
}

impl LeaseHolder {
    /// A holder without leases. No other process and no earlier incarnation may have the same name. `roles` are the
    /// names of the roles that the process can run.
    pub fn new(name: impl Into<String>, roles: Vec<String>) -> LeaseHolder {
        LeaseHolder {
            name: name.into(),
            roles,
            leases: BTreeMap::new(),
            expired: Vec::new(),
            newest_held: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            next_call: CallId::FIRST,
            observed_epoch: Epoch::default(),
            echo: 0,
            is_leaving: false,
            faults: InjectedFaults::default(),
        }
    }

    /// The same holder with injected faults, for tests which prove that checks detect the faults.
    #[cfg(feature = "test-faults")]
    #[must_use]
    pub fn with_faults(self, faults: InjectedFaults) -> LeaseHolder {
        LeaseHolder { faults, ..self }
    }

    /// The holder's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The leases that are held, expired or not.
    pub fn claims(&self) -> impl Iterator<Item = Claim> + '_ {
        self.leases.iter().map(|(shard, lease)| Claim { shard: shard.clone(), epoch: lease.epoch })
    }

    /// Whether a request is due at once: work has finished, or a lease has expired.
    pub fn has_urgent_request(&self) -> bool {
        !self.expired.is_empty() || self.leases.values().any(|lease| lease.is_finished)
    }

    /// Ends leases that have expired. To be called before any other method at the same time.
    #[must_use]
    pub fn expire_leases(&mut self, now: Micros) -> Vec<LeaseEvent> {
        let is_expired = |lease: &HeldLease| lease.expires_at <= now;
        let expired: Vec<Claim> = (self.leases.iter())
            .filter(|(_, lease)| is_expired(lease))
            .map(|(shard, lease)| Claim { shard: shard.clone(), epoch: lease.epoch })
            .collect();
        let mut events = Vec::new();
        for claim in expired {
            events.extend(self.drop_lease(&claim, LossCause::Expired));
            self.expired.push(claim);
        }
        events
    }

    /// Whether an operation may start now under this lease. To be checked directly before each operation.
    pub fn is_valid(&self, claim: &Claim, now: Micros) -> bool {
        let lease = self.leases.get(&claim.shard).filter(|lease| lease.epoch == claim.epoch);
        lease.is_some_and(|lease| now < lease.expires_at && !lease.is_finished)
    }

    /// Records that the work made progress: operations were completed, or there was nothing to do (0).
    pub fn record_progress(&mut self, claim: &Claim, operations: u64) {
        if let Some(lease) = self.lease_mut(claim) {
            lease.has_progress = true;
            lease.operations += operations;
        }
    }

    /// Records that the work has finished: the lease is released with the next request.
    pub fn finish(&mut self, claim: &Claim) {
        if let Some(lease) = self.lease_mut(claim) {
            lease.is_finished = true;
        }
    }

    /// Handles a receiver's rejection of an operation: it has seen a newer epoch.
    pub fn on_fenced(&mut self, claim: &Claim, newest: Epoch) -> Option<LeaseEvent> {
        self.observe_epoch(newest);
        self.drop_lease(claim, LossCause::Fenced { newest })
    }

    /// Starts the shutdown of the process: all leases are to be handed over, and none are accepted.
    #[must_use]
    pub fn start_shutdown(&mut self) -> Vec<LeaseEvent> {
        self.is_leaving = true;
        let mut events = Vec::new();
        for (shard, lease) in self.leases.iter_mut().filter(|(_, lease)| !lease.is_handing_over) {
            lease.is_handing_over = true;
            events.push(LeaseEvent::HandOverRequested(Claim { shard: shard.clone(), epoch: lease.epoch }));
        }
        events
    }

    fn lease_mut(&mut self, claim: &Claim) -> Option<&mut HeldLease> {
        self.leases.get_mut(&claim.shard).filter(|lease| lease.epoch == claim.epoch)
    }

    /// Drops a lease if it is held. The end of a lease whose work has finished is not reported as an event.
    fn drop_lease(&mut self, claim: &Claim, cause: LossCause) -> Option<LeaseEvent> {
        let is_finished = self.lease_mut(claim)?.is_finished;
        self.leases.remove(&claim.shard);
        (!is_finished).then(|| LeaseEvent::Lost { claim: claim.clone(), cause })
    }

    fn observe_epoch(&mut self, epoch: Epoch) {
        self.observed_epoch = self.observed_epoch.max(epoch);
    }
}
