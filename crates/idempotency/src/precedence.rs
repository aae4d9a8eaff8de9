//! The order that decides which of two records of an operation replaces the other.

use violetyoke_transport::messages::{ClaimId, OperationRecord, OperationState};

/// The order of states under the same claim: the higher one replaces the lower one. Digests include the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Rank {
    Claimed = 0,
    Released = 1,
    Unknown = 2,
    Executed = 3,
}

impl Rank {
    pub(crate) fn of(state: OperationState) -> Rank {
        match state {
            OperationState::Claimed => Rank::Claimed,
            OperationState::Released => Rank::Released,
            OperationState::Unknown => Rank::Unknown,
            OperationState::Executed => Rank::Executed,
        }
    }
}

/// Of two records of an operation, the one with the higher precedence replaces the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Precedence {
    pub(crate) claim: ClaimId,
    pub(crate) rank: Rank,
}

impl Precedence {
    pub(crate) fn of(record: &OperationRecord) -> Precedence {
        Precedence { claim: record.claim, rank: Rank::of(record.state) }
    }
}
