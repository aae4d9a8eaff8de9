//! Asking an external rate limit server before a request is admitted: whether to ask at all, until when its reply
//! counts, what its silence means, and what is made of a reply that comes too late.
//!
//! A query goes through these states. Its slot is free again once its reply has come or is no longer waited for:
//!
//! ```text
//! Asked --reply in time--> Counted --end of the request--> removed
//!   |--time-out, or caller gone--> Abandoned --late reply, or late_reply_time has passed--> removed
//! ```
//!
//! An external server that replies OK has counted. Where the request was then not admitted (rejected by the pool's own
//! quota, rejected as the reply was late, its client gone before that), its units become a credit: the next request with
//! the same descriptor uses them in place of a query. So external counts are used once at most, and the loss is bounded:
//! the credits that nobody uses in time, and the replies that never come, one query's units each.

mod credits;
mod limiter;
mod protocol;
mod query;
mod settings;

pub use limiter::ExternalLimiter;
pub use protocol::{Counters, Decision, Reply, Start, Usage};
pub use settings::{FallbackPolicy, LimiterSettings};
