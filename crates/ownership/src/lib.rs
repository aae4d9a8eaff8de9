//! Leases that give each piece of the fleet's background work to one process at a time.
//!
//! A [`SingletonRole`] is such work (reporting, health probes, upkeep of the store), split into shards. The control
//! plane runs a [`LeaseManager`], which grants the lease on a shard to one process; that process tracks its leases in
//! a [`LeaseHolder`]. Every grant has an [`Epoch`] that is never used again. Receivers of the work check it in a
//! [`FencingGuard`], which rejects a holder that was paused between its last check of the lease and its operation.
//! [`Assignment`] decides which candidate a shard belongs to, and [`EpochAllocator`] allocates epochs.
//!
//! This crate does no I/O and reads no clock. Times are [`Micros`] of the caller's own monotonic clock; the clocks of
//! the manager and the holders are never compared with each other.

mod assignment;
mod candidates;
mod claim;
mod clock;
mod epoch;
mod event;
mod fencing;
mod injected_faults;
mod lease_holder;
mod lease_manager;
mod messages;
mod observed;
mod record;
mod role;

pub use assignment::{shard_of, Assignment};
pub use claim::{Claim, Renewal, ShardId};
pub use clock::Micros;
pub use epoch::{Epoch, EpochAllocator, MAX_EPOCH_LEAD, RESERVATION_BLOCK};
pub use event::{LeaseEvent, LossCause};
pub use fencing::{FencingGuard, StaleEpoch};
pub use injected_faults::InjectedFaults;
pub use lease_holder::{CallId, LeaseHolder, CLOCK_DRIFT_DIVISOR, MAX_PENDING_CALLS};
pub use lease_manager::LeaseManager;
pub use messages::{Grant, LossReason, RenewRequest, RenewResponse};
pub use observed::ShardOverride;
pub use record::{LeaseRecord, FORGIVE_AFTER_RENEWALS, MAX_CONSECUTIVE_FAILURES};
pub use role::{InvalidField, ProcessKind, RoleKind, SingletonRole, MAX_SHARDS, TTL_RANGE_MS};
