//! Load balancing decisions of one proxy: which backend gets a request, how many requests a backend gets at
//! once, and whether a request may be retried.
//!
//! This crate does no I/O, reads no clock and sets no timers: callers pass the current time and carry out the
//! decisions. The random number generator is seeded with the proxy's id, so that simulations are
//! reproducible.
//!
//! - [`BackendDirectory`] holds the backends of all services as the platform lists them, with each one's
//!   observed latency, load, failures (outlier ejection) and recent requests (slow start).
//! - [`BackendDirectory::select`] selects a backend for one attempt.
//! - [`retry_policy::RetryPolicy`] limits queueing, attempts and time-outs of one request;
//!   [`retry_budget::RetryBudget`] limits the retries of all requests to a service.
//! - [`BackendDirectory::should_shed`] rejects a fraction of the requests while the backends' queues are too
//!   long.
//! - [`queue::PendingQueue`] orders the requests that wait for a backend with free capacity.

mod admission;
mod backend;
mod candidates;
mod concurrency;
mod directory;
mod load;
mod membership;
mod observation;
mod outlier;
pub mod queue;
mod queue_estimate;
mod report;
pub mod retry_budget;
pub mod retry_policy;
mod rng;
mod selection;
pub mod slow_start;

pub use backend::{Backend, ListedBackend};
pub use candidates::Selection;
pub use concurrency::ServiceLimits;
pub use directory::BackendDirectory;
pub use membership::Locality;
pub use observation::{AttemptCounts, Observation, ReportedLoad};
pub use report::{BackendReport, BackendState};
pub use selection::SelectionCriteria;

/// Milliseconds on a monotonic clock of this process, with an arbitrary origin.
pub type Millis = u64;
