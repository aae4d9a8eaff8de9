//! Constructors of the values that the tests use.

use violetyoke_idempotency::{ClaimRequest, OperationTable, TableOptions};
use violetyoke_transport::messages::{ClaimHolder, ClaimId, Epoch, OperationKey};

pub const WINDOW: u64 = 60_000;
pub const TIMEOUT: u32 = 2_000;

pub fn table() -> OperationTable {
    table_of(usize::MAX)
}

pub fn table_of(max_bytes: usize) -> OperationTable {
    OperationTable::new(TableOptions { window_ms: WINDOW, max_bytes })
}

pub fn key(number: u64) -> OperationKey {
    OperationKey { tenant: "tenant".into(), key: format!("order-{number}") }
}

pub fn holder(request: u64) -> ClaimHolder {
    ClaimHolder { incarnation: 7, request }
}

pub fn id(sequence: u64) -> ClaimId {
    ClaimId { epoch: Epoch(1), sequence }
}

pub fn claim_of(key: OperationKey, request: u64) -> ClaimRequest {
    ClaimRequest { key, holder: holder(request), timeout_ms: TIMEOUT, is_self_deduplicating: false }
}
