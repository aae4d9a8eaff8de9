//! The stores' answer to a claim: registries are asked one after the other until there is one, or no time is left.

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

/// A claim on which nothing was decided is sent again after this.
const RETRY_DELAY: Duration = Duration::from_millis(30);
/// The part of a route's latency target that a claim may take, if that is no less than [`MIN_ROUND_TRIPS`] and no more than
/// [`MAX_FRACTION_LEFT`] of the time until the deadline.
const TARGET_FRACTION: f64 = 0.25;
const MIN_ROUND_TRIPS: u32 = 2;
const MAX_FRACTION_LEFT: f64 = 0.5;
/// The part of the time left for a claim for which one registry is waited for, so that another one can be asked.
const MAX_FRACTION_EACH: f64 = 0.67;

/// What became of a claim.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ClaimDecision {
    /// The request may be sent to a backend.
    Granted {
        /// The regions by which its response reaches the proxy of a repeat.
        store_regions: Vec<String>,
    },
    /// Another request is being executed.
    InProgress {
        /// When it ends at the latest (ms).
        retry_after_ms: Millis,
    },
    /// The operation was executed before.
    Executed {
        /// The claim under which it was executed.
        holder: ClaimHolder,
    },
    /// The operation may have been executed before, and there is no response.
    Unknown,
    /// Nothing was decided in time.
    Unavailable,
}

impl ClaimDecision {
    /// `None` where nothing was decided.
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
    /// Asks for the operation, for as long as a request with that latency target may wait. The same claim is sent again to
    /// another registry where one is silent, lost, or knows of no leading store.
    pub(crate) async fn decide(&self, latency_target: Duration) -> ClaimDecision {
        let client = &*self.client;
        let give_up_at = client.give_up_at(self.deadline(), latency_target);
        let mut asked: Vec<Ipv4Addr> = Vec::new();
        let mut outstanding = FuturesUnordered::new();
        while Instant::now() < give_up_at {
            let Some(sent) = client.send_claim(self, &asked) else {
                sleep_until(give_up_at.min(Instant::now() + RETRY_DELAY)).await;
                continue;
            };
            let copy = sent.id();
            asked.push(copy.registry);
            let until = client.resend_at(copy.registry, give_up_at);
            outstanding.push(sent.reply());
            if let Some(decision) = next_decision(&mut outstanding, until).await {
                self.record_decision(&decision, asked.len());
                return decision;
            }
            client.record_silence(copy);
        }
        client.metrics.claims_unavailable.inc();
        ClaimDecision::Unavailable
    }

    /// Where the claim was sent once alone, and refused, no store has it. Where it was sent more often, another copy may
    /// still be granted.
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

/// Waits for a decision until that moment, or for a little longer after the news that none will come.
async fn next_decision(
    outstanding: &mut FuturesUnordered<impl Future<Output = Option<OperationReply>>>,
    mut until: Instant,
) -> Option<ClaimDecision> {
    while let Ok(reply) = timeout_at(until, outstanding.next()).await {
        let Some(reply) = reply else {
            sleep_until(until).await;
            return None;
        };
        let decision = reply.and_then(ClaimDecision::from_reply);
        if decision.is_some() {
            return decision;
        }
        until = until.min(Instant::now() + RETRY_DELAY);
    }
    None
}

/// Which copy of a claim, and where it was sent.
#[derive(Clone, Copy)]
struct CopyId {
    registry: Ipv4Addr,
    request_id: u32,
}

/// A copy of a claim that was sent to a registry. Dropping it gives its place among the outstanding ones up.
struct SentClaim<'a> {
    client: &'a OperationClient,
    id: CopyId,
    sent_at: Instant,
    reply: oneshot::Receiver<OperationReply>,
}

impl SentClaim<'_> {
    fn id(&self) -> CopyId {
        self.id
    }

    /// The reply; `None` if the connection has ended.
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
    /// Sends a claim to a registry that was not `asked` yet, or to the one that was asked longest ago. `None` while no
    /// registry is in contact with the others.
    fn send_claim(&self, claim: &Claim, asked: &[Ipv4Addr]) -> Option<SentClaim<'_>> {
        let State { pending, registries, .. } = &mut *self.state.borrow_mut();
        let (connection, sender) = self.connection(registries, asked)?;
        let (request_id, reply) = pending.register(connection);
        let request = claim.request();
        // Not behind a large response that is read for a repeat.
        sender.send_urgent(encode(&RegistryRequest::Proxy(ProxyRequest::Operation { request_id, request })));
        let id = CopyId { registry: connection.registry, request_id };
        Some(SentClaim { client: self, id, sent_at: Instant::now(), reply })
    }

    /// When a claim that is sent now is sent again, if there is no reply.
    fn resend_at(&self, registry: Ipv4Addr, give_up_at: Instant) -> Instant {
        let now = Instant::now();
        let most = give_up_at.saturating_duration_since(now).mul_f64(MAX_FRACTION_EACH);
        now + self.round_trip(registry).timeout().min(most.max(RETRY_DELAY))
    }

    /// A copy was waited for in vain, if there is no reply to it yet.
    fn record_silence(&self, copy: CopyId) {
        let State { pending, registries, .. } = &mut *self.state.borrow_mut();
        if pending.is_outstanding(copy.request_id) {
            registries.record_silence(copy.registry, Instant::now());
        }
    }

    fn round_trip(&self, registry: Ipv4Addr) -> RoundTripEstimate {
        self.state.borrow().registries.round_trip(registry)
    }

    /// When a claim that begins now is given up.
    fn give_up_at(&self, deadline: Instant, latency_target: Duration) -> Instant {
        let now = Instant::now();
        let registry = self.connection(&self.state.borrow().registries, &[]).map(|(id, _)| id.registry);
        let round_trip = registry.map(|registry| self.round_trip(registry)).unwrap_or_default();
        let least = round_trip.mean() * MIN_ROUND_TRIPS;
        let most = deadline.saturating_duration_since(now).mul_f64(MAX_FRACTION_LEFT);
        now + latency_target.mul_f64(TARGET_FRACTION).max(least).min(most)
    }
}
