//! Tenant rate limits: the counters behind them, without I/O and without a clock.
//!
//! A limit is enforced for a tenant over all proxies together. One registry, the *owner* ([`ShardAssignment`] says which),
//! counts the tenant's requests in a [`SlidingWindow`] and admits or denies each one ([`OwnerCounters`], [`Admission`]).
//! Two things go wrong with a single owner, and both are handled here:
//!
//! - The owner changes, and its counters are lost. Each proxy remembers what it has admitted ([`LocalUsage`]) and transfers
//!   that to the new owner, which rebuilds the counter from it.
//! - A proxy can't reach the owner. It then admits a bounded share of the limit on its own ([`LocalUsage`]); owners set
//!   aside what such proxies may admit ([`PartitionedProxies`]).
//!
//! Sending increments, timing them out and learning the assignment belong to the proxy and the registry.
//!
//! ```
//! use violetyoke_quota::{Admission, Limit, SlidingWindow};
//!
//! let limit = Limit::new(10.0, 5.0).unwrap();
//! let mut window = SlidingWindow::default();
//! let admitted = (0..20).filter(|_| window.try_increment(1_000, limit).is_admitted()).count();
//! assert_eq!(admitted, 5);
//! // Windows are 500 ms long. At the start of the next one the previous one still counts in full; a window later it
//! // is gone.
//! assert!(matches!(window.try_increment(1_501, limit), Admission::Denied { .. }));
//! assert_eq!(window.try_increment(2_001, limit), Admission::Admitted);
//! ```

mod admission;
mod assignment;
mod limit;
mod local;
mod owner;
mod partitioned;
mod reserve;
mod window;

/// Milliseconds of a monotonic clock; differences are what counts, the origin is the caller's.
pub type Millis = u64;

pub use admission::Admission;
pub use assignment::ShardAssignment;
pub use limit::Limit;
pub use local::LocalUsage;
pub use owner::{OwnerCounters, StaleFence};
pub use partitioned::PartitionedProxies;
pub use window::{SlidingWindow, WindowCounts};
