//! The records of open requests, attempts and counter calls.

use crate::port::Port;
use violetyoke_decision::interface::{BackendId, CustomerId, Micros};

/// A request that has been accepted and not yet answered.
pub(super) struct OpenRequest<P: Port> {
    pub(super) client: P::Client,
    pub(super) customer: CustomerId,
    /// The request only checks admission and is not sent to a backend.
    pub(super) is_admission_check: bool,
    /// The claim to which the decision on this request has not been added yet.
    pub(super) claim: Option<u64>,
    pub(super) deadline: Micros,
    /// Attempts that the decision module has requested so far.
    pub(super) attempts: u8,
    /// The limit on attempts at the time when the request was accepted.
    pub(super) max_attempts: u32,
    /// Whether an attempt that has ended may have been executed.
    pub(super) may_have_run: bool,
    pub(super) in_flight: Option<InFlight<P>>,
}

/// The attempt in flight for a request.
pub(super) struct InFlight<P: Port> {
    /// Number of the attempt among the request's attempts, from 0.
    pub(super) number: u8,
    pub(super) backend: BackendId,
    pub(super) started_at: Micros,
    pub(super) expires_at: Micros,
    pub(super) handle: P::Attempt,
}

/// A counter call that has not ended.
pub(super) struct PendingCall<P: Port> {
    pub(super) purpose: CallPurpose<P::ClaimWaiter>,
    pub(super) started_at: Micros,
    pub(super) handle: P::Call,
}

/// The purpose of a counter call.
pub(super) enum CallPurpose<W> {
    /// The decision module, which knows the call by the name of the count.
    Module { counter_id: u64 },
    /// A claim. A call that adds a decision to a claim has no waiter.
    Claim { waiter: Option<W> },
}
