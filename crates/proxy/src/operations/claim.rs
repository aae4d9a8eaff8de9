//! The claim that a request has on its operation.

use super::OperationClient;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_transport::messages::{ClaimHolder, OperationKey, OperationRequest, RecordedResponse};

/// The stores keep a claim until this long after the deadline of its request.
const TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// The operation that is claimed, and the deadline of the request.
#[derive(Debug)]
pub(crate) struct ClaimTerms {
    /// The key of the operation.
    pub(crate) key: OperationKey,
    /// Whether the service itself records keys, and so detects repeats.
    pub(crate) is_self_deduplicating: bool,
    /// The request is not sent to a backend after this time.
    pub(crate) deadline: Instant,
}

/// What is reported to the stores when a claim is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportOnDrop {
    /// Nothing: no store has the claim, or the end of the operation has been reported.
    None,
    /// The request was not executed and never will be: the claim is released.
    Released,
    /// The request may have been executed: the operation is reported as abandoned, and its claim is not released.
    Unknown,
}

/// A claim of an operation, granted or not. Dropping it reports the end of the operation, also when the task of the request
/// panics or is dropped at an await point.
#[derive(Debug)]
#[must_use = "dropping it reports the end of the operation"]
pub(crate) struct Claim {
    pub(super) client: Rc<OperationClient>,
    pub(super) holder: ClaimHolder,
    terms: ClaimTerms,
    report_on_drop: Cell<ReportOnDrop>,
}

impl Claim {
    /// Creates a claim that has not been sent to any store.
    pub(crate) fn new(client: &Rc<OperationClient>, terms: ClaimTerms) -> Claim {
        client.open_claims.set(client.open_claims.get() + 1);
        let holder = client.next_holder();
        Claim { client: client.clone(), holder, terms, report_on_drop: Cell::new(ReportOnDrop::None) }
    }

    /// The message that requests the claim from the stores. From now on a store may have the claim, so it must be released.
    pub(super) fn request(&self) -> OperationRequest {
        self.report_on_drop.set(ReportOnDrop::Released);
        let timeout = self.terms.deadline.saturating_duration_since(Instant::now()) + TIMEOUT_MARGIN;
        OperationRequest::Claim {
            key: self.terms.key.clone(),
            holder: self.holder,
            timeout_ms: u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX),
            is_self_deduplicating: self.terms.is_self_deduplicating,
        }
    }

    /// The time after which the request is not sent to a backend.
    pub(super) fn deadline(&self) -> Instant {
        self.terms.deadline
    }

    /// The stores have refused the claim, as another request has or had the operation. No store has this claim.
    pub(super) fn record_refusal(&self) {
        self.report_on_drop.set(ReportOnDrop::None);
    }

    /// The request is about to be written to a backend.
    pub(crate) fn record_write(&self) {
        self.report_on_drop.set(ReportOnDrop::Unknown);
    }

    /// It is certain that none of the backends that the request was written to has executed it.
    pub(crate) fn record_not_executed(&self) {
        self.report_on_drop.set(ReportOnDrop::Released);
    }

    /// A backend has executed the request. Reports that, and records the response, unless it may not be recorded (`None`).
    pub(crate) fn complete(&self, response: Option<RecordedResponse>) {
        self.report_on_drop.set(ReportOnDrop::None);
        if let Some(response) = response {
            self.client.record_response(self.holder, response);
        }
        let (key, holder) = (self.terms.key.clone(), self.holder);
        self.client.report(OperationRequest::Complete { key, holder });
    }

    fn abandon(&self) {
        let (key, holder) = (self.terms.key.clone(), self.holder);
        self.client.report(OperationRequest::Abandon { key, holder });
    }

    fn release(&self) {
        self.client.metrics.claims_released.inc();
        let (key, holder) = (self.terms.key.clone(), self.holder);
        self.client.report(OperationRequest::Release { key, holder });
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        match self.report_on_drop.get() {
            ReportOnDrop::None => {}
            ReportOnDrop::Released => self.release(),
            ReportOnDrop::Unknown => self.abandon(),
        }
        self.client.open_claims.set(self.client.open_claims.get() - 1);
    }
}
