//! Counters for tenant rate limits, without I/O and without a clock.
//!
//! A tenant's limit applies to all proxies together. One registry, the *owner* (determined by
//! [`ShardAssignment`]), counts the tenant's requests in a [`SlidingWindow`] and admits or denies each one
//! ([`OwnerCounters`], [`Admission`]). A single owner has two failure cases, both handled here:
//!
//! - The owner changes, and its counters are lost. Each proxy keeps counts of the requests that it forwarded
//!   ([`LocalUsage`]) and transfers them to the new owner, which rebuilds its counter from them.
//! - A proxy can't reach the owner. It then admits a bounded share of the limit locally ([`LocalUsage`]);
//!   owners reserve the shares of such proxies ([`PartitionedProxies`]).
//!
//! Sending increments, their time-outs and the distribution of the assignment are up to the proxy and the
//! registry.
//!
//! ```
//! use violetyoke_quota::{Admission, Limit, SlidingWindow};
//!
//! let limit = Limit::new(10.0, 5.0).unwrap();
//! let mut window = SlidingWindow::default();
//! let admitted = (0..20).filter(|_| window.try_increment(1_000, limit).is_admitted()).count();
//! assert_eq!(admitted, 5);
//! // Windows are 500 ms long. At the start of the next window, the previous one counts in full; a window later it
//! // no longer counts.
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

/// Milliseconds on a monotonic clock with an origin that the caller chooses.
pub type Millis = u64;

pub use admission::Admission;
pub use assignment::ShardAssignment;
pub use limit::Limit;
pub use local::LocalUsage;
pub use owner::{OwnerCounters, StaleFence};
pub use partitioned::PartitionedProxies;
pub use window::{SlidingWindow, WindowCounts};
