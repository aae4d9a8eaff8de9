//! Sharing of one process between several pools or tenants, without I/O and without a clock.
//!
//! [`FairScheduler`] selects the member that runs next on the CPU core, by weight. [`CapacityPool`] decides which
//! member may acquire more of a bounded resource (file descriptors, buffered bytes, open requests); each has a
//! guaranteed amount.
//!
//! ```
//! use violetyoke_shares::CapacityPool;
//!
//! let mut descriptors = CapacityPool::new(100);
//! descriptors.set_limits(1, 20, 100);
//! descriptors.set_limits(2, 30, 100);
//! // The first member can't use what is guaranteed to the second.
//! assert!(descriptors.try_acquire(1, 70));
//! assert!(!descriptors.try_acquire(1, 1));
//! assert!(descriptors.try_acquire(2, 30));
//! ```

mod capacity_pool;
mod fair_scheduler;

pub use capacity_pool::CapacityPool;
pub use fair_scheduler::FairScheduler;

/// A member of a pool or scheduler. The caller assigns the numbers and may reuse one after its member was removed.
pub type Member = usize;
