//! Events that a lease holder reports to the code that runs the work.

use crate::claim::Claim;
use crate::epoch::Epoch;
use crate::messages::LossReason;

/// A change of the leases of a [`LeaseHolder`](crate::LeaseHolder).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A lease was granted: work starts.
    Gained {
        /// The new lease.
        claim: Claim,
        /// The progress of the shard's work at the time of the grant.
        watermark: u64,
    },
    /// The work is to finish, after which [`LeaseHolder::finish`](crate::LeaseHolder::finish) is to be called.
    HandOverRequested(Claim),
    /// The lease is no longer held: work stops at once.
    Lost {
        /// The lost lease.
        claim: Claim,
        /// Why it was lost.
        cause: LossCause,
    },
}

/// Why a holder lost a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossCause {
    /// The lease manager reported the loss.
    Reported(LossReason),
    /// It expired by the holder's own clock.
    Expired,
    /// A receiver has accepted work of a newer epoch.
    Fenced {
        /// The newest epoch that the receiver has seen.
        newest: Epoch,
    },
}
