//! Idempotency records, which prevent a second execution of an operation. Without I/O and without a clock.
//!
//! All requests of a tenant with the same idempotency key belong to one operation. A request is forwarded only under a
//! claim. The record of the claim, and later of its outcome, decides what every other request of the operation gets.
//! [`OperationTable`] contains the records of one store:
//!
//! - At the leader it decides on claims ([`OperationTable::claim`]) and records their outcomes
//!   ([`OperationTable::complete`], [`OperationTable::abandon`], [`OperationTable::release`]). Each returns a record,
//!   which takes effect once it is replicated to other stores.
//! - Records from other stores and from the disk are merged ([`OperationTable::merge`]). The records of an operation
//!   form a lattice: the higher claim wins, and under the same claim the higher state (claimed, released, unknown,
//!   executed). So the order in which stores receive records makes no difference, and the union of the records of a
//!   majority is complete. This requires that ids are never reused: a [`ClaimId`] identifies one holder, which has
//!   the response.
//! - Stores compare their records by digests of buckets ([`OperationTable::digests`]).
//!
//! A claim is not released by a time-out: an operation that was claimed and has no outcome may have been executed. A
//! record is kept for the window in which no second execution may start, measured from the last moment at which the
//! holder may have started the first. A table that has reached its maximum size refuses new claims; it evicts nothing
//! early.
//!
//! ```
//! use violetyoke_idempotency::{ClaimRequest, Decision, OperationTable, TableOptions};
//! use violetyoke_transport::messages::{ClaimHolder, ClaimId, Epoch, OperationKey};
//!
//! let mut table = OperationTable::new(TableOptions { window_ms: 60_000, max_bytes: 1 << 20 });
//! let key = OperationKey { tenant: "tenant".into(), key: "order-1".into() };
//! let claim_of = |request| ClaimRequest {
//!     key: key.clone(),
//!     holder: ClaimHolder { incarnation: 7, request },
//!     timeout_ms: 2_000,
//!     is_self_deduplicating: false,
//! };
//! let id = |sequence| ClaimId { epoch: Epoch(1), sequence };
//!
//! // The first request gets the claim once its record is replicated; a repeated one has to wait.
//! assert!(matches!(table.claim(1_000, id(1), &claim_of(1)), Decision::Replicate(_)));
//! assert_eq!(table.claim(1_500, id(2), &claim_of(2)), Decision::InProgress { retry_after_ms: 1_500 });
//!
//! // Once the first request has a response, each repeated one within the window learns which process has it.
//! let holder = claim_of(1).holder;
//! assert!(table.complete(1_600, &key, holder).is_some());
//! assert_eq!(table.claim(60_000, id(3), &claim_of(3)), Decision::Executed { holder });
//! ```
//!
//! [`ClaimId`]: violetyoke_transport::messages::ClaimId

mod bucket;
mod decision;
mod entry;
mod merge;
mod precedence;
mod records;
mod table;
mod totals;

/// Milliseconds of a monotonic clock of this process, with an arbitrary origin.
pub type Millis = u64;

pub use bucket::bucket_of;
pub use decision::{ClaimRequest, Decision};
pub use table::{OperationTable, TableOptions, EXPIRY_SLACK_MS};
pub use totals::StateCounts;
