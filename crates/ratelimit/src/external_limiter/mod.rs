//! Queries to an external rate limit server before a request is admitted: whether a query is sent, the time-out of its
//! reply, the decision without a reply, and the handling of late replies.
//!
//! A query has these states. It occupies a slot until its reply arrives or is no longer expected:
//!
//! ```text
//! AwaitingReply --reply in time--> Counted --end of the request--> removed
//!   |--time-out, or caller cancelled--> Abandoned --late reply, or late_reply_time has passed--> removed
//! ```
//!
//! When the external server replies OK, it has counted the units of the query. If the request is not admitted in the end
//! (rejected by the pool's own quota, rejected because the reply was late, or its client disconnected), the units become a
//! credit, which the next request with the same descriptor uses instead of a query. So counted units are used once at most.
//! Units are lost only if a credit expires or a reply never arrives; each such loss is the units of one query.

mod credits;
mod limiter;
mod protocol;
mod query;
mod settings;

pub use limiter::ExternalLimiter;
pub use protocol::{Counters, Decision, Reply, Start, Usage};
pub use settings::{FallbackPolicy, LimiterSettings};
