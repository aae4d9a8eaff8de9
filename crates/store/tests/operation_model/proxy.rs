//! A proxy that claims the operation for a client's request, executes it and reports the outcome.

use violetyoke_idempotency::Millis;
use violetyoke_store::consensus::ClientId;
use violetyoke_transport::messages::{
    ClaimHolder, OperationKey, OperationReply, OperationRequest, OperationState,
};

/// Holder time-out stated in each claim, in ms.
pub const HOLDER_TIMEOUT: u32 = 2_000;

/// The stage of a proxy's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Idle,
    Claiming {
        until: Millis,
    },
    /// A store has granted the claim; the grant is in flight or has arrived.
    Granted {
        until: Millis,
    },
    Executed,
    /// The proxy gave up, possibly while the grant is in flight.
    Released,
    Replayed {
        holder: ClaimHolder,
    },
    OutcomeUnknown,
    Recorded,
}

#[derive(Clone, Debug)]
pub struct Proxy {
    pub holder: ClaimHolder,
    pub stage: Stage,
    /// Number of requests sent to stores.
    pub sent: u32,
}

fn key() -> OperationKey {
    OperationKey { tenant: "tenant".to_owned(), key: "key".to_owned() }
}

impl Proxy {
    pub fn new(incarnation: u64) -> Proxy {
        Proxy { holder: ClaimHolder { incarnation, request: 1 }, stage: Stage::Idle, sent: 0 }
    }

    pub fn client(&self) -> ClientId {
        ClientId(self.holder.incarnation)
    }

    pub fn claim(&mut self, now: Millis, is_self_deduplicating: bool) -> OperationRequest {
        self.sent += 1;
        if self.stage == Stage::Idle {
            self.stage = Stage::Claiming { until: now + Millis::from(HOLDER_TIMEOUT) };
        }
        let (key, holder, timeout_ms) = (key(), self.holder, HOLDER_TIMEOUT);
        OperationRequest::Claim { key, holder, timeout_ms, is_self_deduplicating }
    }

    pub fn report(&mut self, outcome: OperationState) -> OperationRequest {
        self.sent += 1;
        let (key, holder) = (key(), self.holder);
        match outcome {
            OperationState::Executed => OperationRequest::Complete { key, holder },
            OperationState::Unknown => OperationRequest::Abandon { key, holder },
            OperationState::Released | OperationState::Claimed => {
                self.stage = Stage::Released;
                OperationRequest::Release { key, holder }
            }
        }
    }

    pub fn on_reply(&mut self, reply: &OperationReply) {
        self.stage = match (self.stage, reply) {
            (Stage::Claiming { until }, OperationReply::Granted { .. }) => Stage::Granted { until },
            (Stage::Claiming { .. }, OperationReply::Executed { holder }) => {
                Stage::Replayed { holder: *holder }
            }
            (Stage::Claiming { .. }, OperationReply::Unknown) => Stage::OutcomeUnknown,
            (Stage::Executed, OperationReply::Recorded) => Stage::Recorded,
            (stage, _) => stage,
        };
    }
}
