//! Load balancing decisions of one proxy: which backend gets a request, how many requests a backend gets at once, and
//! whether a request may be attempted again.
//!
//! Nothing here does I/O, reads a clock or holds a timer: callers pass the time and carry out what is decided. Random
//! choices come from a generator seeded with the proxy's id, so a simulation replays them.
//!
//! - [`BackendDirectory`] holds the backends of all services as the platform lists them, and what attempts have shown
//!   of
//!   each: latency, load, failures (outlier ejection) and recent requests (slow start).
//! - [`BackendDirectory::select`] picks a backend for one attempt.
//! - [`retry_policy::RetryPolicy`] bounds queueing, attempts and time-outs of one request, and
//!   [`retry_budget::RetryBudget`] the retries of all requests to a service.
//! - [`BackendDirectory::should_shed`] refuses a part of the requests while too much waits at backends.
//! - [`queue::PendingQueue`] orders the requests that wait until a backend has capacity.

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

/// Milliseconds of a monotonic clock of this process; its zero is arbitrary.
pub type Millis = u64;
