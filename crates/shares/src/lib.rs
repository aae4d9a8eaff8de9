//! How several pools or tenants share one process, without I/O and without a clock.
//!
//! [`FairScheduler`] says whose turn on the core is next, by weight. [`CapacityPool`] says who may acquire more of a
//! bounded resource (descriptors, buffered bytes, open requests), with a guaranteed part for each.
//!
//! ```
//! use violetyoke_shares::CapacityPool;
//!
//! let mut descriptors = CapacityPool::new(100);
//! descriptors.set_limits(1, 20, 100);
//! descriptors.set_limits(2, 30, 100);
//! // What is guaranteed to the second member is not lent to the first.
//! assert!(descriptors.try_acquire(1, 70));
//! assert!(!descriptors.try_acquire(1, 1));
//! assert!(descriptors.try_acquire(2, 30));
//! ```

mod capacity_pool;
mod fair_scheduler;

pub use capacity_pool::CapacityPool;
pub use fair_scheduler::FairScheduler;

/// One of those who share. Numbers are given by the caller and may be given again once removed.
pub type Member = usize;
