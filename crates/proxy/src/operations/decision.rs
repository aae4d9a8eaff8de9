//! Obtains the stores' decision on a claim. The claim is sent to one registry after another until a decision arrives or the
//! time for it is over.

use super::{Claim, OperationClient, State};
use crate::replies::RoundTripEstimate;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::future::Future;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout_at, Instant};
use violetyoke_balancing::Millis;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{ClaimHolder, OperationReply, ProxyRequest, RegistryRequest};

/// The delay before a claim is sent again after a reply without a decision, or while no registry can be reached.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// The fraction of a route's latency target that a claim may take, within the two limits below.
const TARGET_FRACTION: f64 = 0.25;
/// A claim may take at least this many usual round trips to the preferred registry.
const MIN_ROUND_TRIPS: u32 = 2;
/// A claim may take at most this fraction of the time until the deadline; this limit overrides the others.
const MAX_DEADLINE_FRACTION: f64 = 0.5;
/// The maximum fraction of the remaining time for a claim to wait for one registry, so that another one can be tried.
const MAX_FRACTION_PER_REGISTRY: f64 = 0.67;

/// The result of a claim.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClaimDecision {
    /// The request may be sent to a backend.
    Granted {
        /// The regions through which the response reaches a proxy that receives a repeat of the request.
        store_regions: Vec<String>,
    },
    /// Another request with the same key is being executed.
    InProgress {
        /// The time after which its claim has certainly ended (ms from now).
        retry_after_ms: Millis,
    },
    /// The operation was executed by an earlier request.
    Executed {
        /// The claim of that request.
        holder: ClaimHolder,
    },
    /// The operation may have been executed by an earlier request, and there is no response.
    Unknown,
    /// No decision arrived in time.
    Unavailable,
}

impl ClaimDecision {
    /// Converts a reply; `None` if the reply contains no decision.
    fn from_reply(reply: OperationReply) -> Option<ClaimDecision> {
        match reply {
            OperationReply::Granted { store_regions } => Some(ClaimDecision::Granted { store_regions }),
            OperationReply::InProgress { retry_after_ms } => {
                Some(ClaimDecision::InProgress { retry_after_ms: Millis::from(retry_after_ms) })
            }
            OperationReply::Executed { holder } => Some(ClaimDecision::Executed { holder }),
            OperationReply::Unknown => Some(ClaimDecision::Unknown),
            OperationReply::Recorded | OperationReply::Unavailable => None,
        }
    }
}

impl Claim {
    /// Requests the claim, and waits for a decision as long as the latency target permits. The same claim is sent to another
    /// registry when one does not reply, loses its connection, or is not connected to a leading store.
    pub(crate) async fn decide(&self, latency_target: Duration) -> ClaimDecision {
        let client = &*self.client;
        let give_up_at = client.give_up_at(self.deadline(), latency_target);
        let mut tried: Vec<Ipv4Addr> = Vec::new();
        let mut outstanding = FuturesUnordered::new();
        while Instant::now() < give_up_at {
            let Some(sent) = client.send_claim(self, &tried) else {
                sleep_until(give_up_at.min(Instant::now() + RETRY_DELAY)).await;
                continue;
            };
            let sent_id = sent.id();
            tried.push(sent_id.registry);
            let resend_at = client.resend_at(sent_id.registry, give_up_at);
            outstanding.push(sent.reply());
            if let Some(decision) = next_decision(&mut outstanding, resend_at).await {
                self.record_decision(&decision, tried.len());
                return decision;
            }
            client.record_timeout(sent_id);
        }
        client.metrics.claims_unavailable.inc();
        ClaimDecision::Unavailable
    }

    /// Counts the decision. If the claim was refused and had been sent only once, no store has it. If it was sent several
    /// times, a store may still grant another copy, so the claim must be released.
    fn record_decision(&self, decision: &ClaimDecision, times_sent: usize) {
        let metrics = &self.client.metrics;
        let counter = match decision {
            ClaimDecision::Granted { .. } => &metrics.claims_granted,
            ClaimDecision::InProgress { .. } => &metrics.claims_in_progress,
            ClaimDecision::Executed { .. } => &metrics.claims_replayed,
            ClaimDecision::Unknown => &metrics.claims_unknown,
            ClaimDecision::Unavailable => &metrics.claims_unavailable,
        };
        counter.inc();
        let is_refused = !matches!(decision, ClaimDecision::Granted { .. });
        if is_refused && times_sent == 1 {
            self.record_refusal();
        }
    }
}

/// Waits for a decision until `resend_at`. After a reply without a decision, waits at most [`RETRY_DELAY`] longer.
async fn next_decision(
    outstanding: &mut FuturesUnordered<impl Future<Output = Option<OperationReply>>>,
    mut resend_at: Instant,
) -> Option<ClaimDecision> {
    while let Ok(reply) = timeout_at(resend_at, outstanding.next()).await {
        let Some(reply) = reply else {
            sleep_until(resend_at).await;
            return None;
        };
        let decision = reply.and_then(ClaimDecision::from_reply);
        if decision.is_some() {
            return decision;
        }
        resend_at = resend_at.min(Instant::now() + RETRY_DELAY);
    }
    None
}

/// Identifies one copy of a claim that was sent to a registry.
#[derive(Clone, Copy)]
struct SentClaimId {
    registry: Ipv4Addr,
    request_id: u32,
}

/// A copy of a claim that was sent to a registry. Dropping it removes it from the outstanding requests.
struct SentClaim<'a> {
    client: &'a OperationClient,
    id: SentClaimId,
    sent_at: Instant,
    reply: oneshot::Receiver<OperationReply>,
}

impl SentClaim<'_> {
    fn id(&self) -> SentClaimId {
        self.id
    }

    /// Waits for the reply; `None` if the connection is lost.
    async fn reply(mut self) -> Option<OperationReply> {
        let reply = (&mut self.reply).await.ok()?;
        let state = &mut *self.client.state.borrow_mut();
        let registry = self.id.registry;
        match reply {
            OperationReply::Unavailable => state.registries.record_unavailable(registry, Instant::now()),
            _ => state.registries.record_decision(registry, self.sent_at.elapsed().as_millis() as Millis),
        }
        Some(reply)
    }
}

impl Drop for SentClaim<'_> {
    fn drop(&mut self) {
        self.client.state.borrow_mut().pending.cancel(self.id.request_id);
    }
}

impl OperationClient {
    /// Sends a claim to the registry that appears least often in `tried`. `None` while no registry is in contact with a
    /// majority of the registries.
    fn send_claim(&self, claim: &Claim, tried: &[Ipv4Addr]) -> Option<SentClaim<'_>> {
        let State { pending, registries, .. } = &mut *self.state.borrow_mut();
        let (connection, sender) = self.connection(registries, tried)?;
        let (request_id, reply) = pending.register(connection);
        let request = claim.request();
        // Urgent, so that the claim does not wait behind a large response that is being sent for a repeat.
        sender.send_urgent(encode(&RegistryRequest::Proxy(ProxyRequest::Operation { request_id, request })));
        let id = SentClaimId { registry: connection.registry, request_id };
        Some(SentClaim { client: self, id, sent_at: Instant::now(), reply })
    }

    /// The time at which a claim that is sent to a registry now is sent again if there is no reply.
    fn resend_at(&self, registry: Ipv4Addr, give_up_at: Instant) -> Instant {
        let now = Instant::now();
        let longest = give_up_at.saturating_duration_since(now).mul_f64(MAX_FRACTION_PER_REGISTRY);
        now + self.round_trip(registry).timeout().min(longest.max(RETRY_DELAY))
    }

    /// Records that a registry has not replied in time, unless a reply to this copy has arrived.
    fn record_timeout(&self, sent: SentClaimId) {
        let State { pending, registries, .. } = &mut *self.state.borrow_mut();
        if pending.is_outstanding(sent.request_id) {
            registries.record_timeout(sent.registry, Instant::now());
        }
    }

    fn round_trip(&self, registry: Ipv4Addr) -> RoundTripEstimate {
        self.state.borrow().registries.round_trip(registry)
    }

    /// The time at which a claim that is first sent now is given up.
    fn give_up_at(&self, deadline: Instant, latency_target: Duration) -> Instant {
        let now = Instant::now();
        let registry = self.connection(&self.state.borrow().registries, &[]).map(|(id, _)| id.registry);
        let round_trip = registry.map(|registry| self.round_trip(registry)).unwrap_or_default();
        let shortest = round_trip.mean() * MIN_ROUND_TRIPS;
        let longest = deadline.saturating_duration_since(now).mul_f64(MAX_DEADLINE_FRACTION);
        now + latency_target.mul_f64(TARGET_FRACTION).max(shortest).min(longest)
    }
}
