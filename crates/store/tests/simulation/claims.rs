//! A proxy that claims an operation until it is granted.

use super::{Cluster, Millis};
use violetyoke_store::consensus::ClientId;
use violetyoke_transport::messages::{ClaimHolder, OperationKey, OperationReply, OperationRequest};

/// Interval between repeated claims.
const RETRY_INTERVAL: Millis = 100;
/// Holder time-out stated in each claim, in ms.
const HOLDER_TIMEOUT: u32 = 2_000;

impl Cluster {
    /// Sends a claim to all stores repeatedly until one grants it. Returns whether that happened within the time-out.
    #[must_use]
    pub fn claim_until_granted(&mut self, key: &str, timeout: Millis) -> bool {
        let deadline = self.now + timeout;
        let mut sent: Vec<ClientId> = Vec::new();
        while self.now < deadline {
            for n in 0..self.machines.len() {
                sent.push(self.request(n, claim(key)));
            }
            self.run_for(RETRY_INTERVAL);
            let mut replies = sent.iter().filter_map(|client| self.take_operation_reply(*client));
            if replies.any(|reply| matches!(reply, OperationReply::Granted { .. })) {
                return true;
            }
        }
        false
    }
}

fn claim(key: &str) -> OperationRequest {
    OperationRequest::Claim {
        key: OperationKey { tenant: "tenant".to_owned(), key: key.to_owned() },
        holder: ClaimHolder { incarnation: u64::MAX, request: 1 },
        timeout_ms: HOLDER_TIMEOUT,
        is_self_deduplicating: false,
    }
}
