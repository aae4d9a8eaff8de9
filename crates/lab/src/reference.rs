//! The reference policies that results are compared with: an oracle that sees the whole state and decides greedily,
//! and a random policy. Both use the same adapter and world as the decision module.

use crate::adapter::{Adapter, AttemptHandle, Command};
use crate::world::{Policy, World};
use std::collections::BTreeMap;
use violetyoke_decision::interface::*;
use violetyoke_exchange::{AttemptId, FinalResponse, Port, RequestSummary};

/// Maximum load that the oracle gives a node in slow start, as a share of the load that overloads it.
const SAFE_PRESSURE: f64 = 0.7;
/// Maximum number of attempts of the oracle for a try.
const ATTEMPTS: u8 = 4;

/// An open try of a reference policy.
#[derive(Debug, Default)]
struct Open {
    attempts: u8,
    may_have_run: bool,
    in_flight: Option<AttemptHandle>,
}

#[derive(Debug, Default)]
pub struct Reference {
    pub adapter: Adapter,
    open: BTreeMap<RequestId, Open>,
}

impl Reference {
    pub fn new(mut adapter: Adapter) -> Reference {
        adapter.set_max_idle(10_000_000);
        Reference { adapter, open: BTreeMap::new() }
    }

    fn answer(&mut self, request: RequestId, why: Option<RejectionReason>, response: FinalResponse<()>) {
        let attempts = self.open.remove(&request).map_or(0, |open| open.attempts);
        let summary = RequestSummary { request, attempts, reason: why, quota: None };
        self.adapter.commands.push(Command::Answer { summary, response });
    }

    pub fn abandoned(&mut self, request: RequestId) {
        if let Some(in_flight) = self.open.remove(&request).and_then(|open| open.in_flight) {
            self.adapter.cancel_attempt(in_flight);
        }
    }
}

impl World<'_> {
    pub(crate) fn reference_takes(&mut self, ingress: usize, request: RequestId) {
        let refused = |retry_after| FinalResponse::Refused { retry_after };
        let is_admitted = match self.policy() {
            Policy::Random(part) => self.random_choice(part),
            _ => self.oracle_quota_allows(request),
        };
        let node = if is_admitted { self.reference_node(ingress, request) } else { None };
        if node.is_some() {
            self.oracle_takes_quota(request);
        }
        let now = self.now();
        let Some(reference) = self.reference(ingress) else { return };
        let Some(node) = node else {
            let why = if is_admitted { RejectionReason::Held } else { RejectionReason::Quota };
            return reference.answer(request, Some(why), refused(0));
        };
        reference.send(now, request, node);
    }

    /// An attempt of a reference policy has ended.
    pub(crate) fn reference_ended(&mut self, ingress: usize, id: AttemptId, outcome: Outcome) {
        let is_retriable = self.policy() == Policy::Oracle && outcome != Outcome::Ok;
        let effect = self.idempotency_of(id.request);
        let Some(reference) = self.reference(ingress) else { return };
        let Some(open) = reference.open.get_mut(&id.request) else { return };
        open.in_flight = None;
        open.may_have_run |= !outcome.not_executed();
        let is_safe = !open.may_have_run || effect == Idempotency::Idempotent;
        let may_retry = is_retriable && is_safe && open.attempts < ATTEMPTS;
        if outcome == Outcome::Ok {
            return reference.answer(id.request, None, FinalResponse::Served(()));
        }
        let node = if may_retry { self.reference_node(ingress, id.request) } else { None };
        let now = self.now();
        let Some(reference) = self.reference(ingress) else { return };
        match node {
            Some(node) => reference.send(now, id.request, node),
            None if is_safe => {
                reference.answer(
                    id.request,
                    Some(RejectionReason::Attempt),
                    FinalResponse::Refused { retry_after: 0 },
                );
            }
            None => reference.answer(id.request, Some(RejectionReason::Attempt), FinalResponse::Failed),
        }
    }

    /// The node for a try; `None` if no node can serve it in time.
    fn reference_node(&mut self, ingress: usize, request: RequestId) -> Option<usize> {
        if self.policy() != Policy::Oracle {
            let reference = self.reference(ingress)?;
            let takes = |(node_index, connections): (usize, &crate::adapter::NodeConnections)| {
                connections.accepting.then_some(node_index)
            };
            let nodes: Vec<usize> = reference.adapter.nodes.iter().enumerate().filter_map(takes).collect();
            return self.random_node(&nodes);
        }
        let kept: Vec<bool> = {
            let reference = self.reference(ingress)?;
            reference.adapter.nodes.iter().map(|connections| !connections.idle.is_empty()).collect()
        };
        self.best_node(ingress, request, SAFE_PRESSURE, &kept)
    }
}

impl Reference {
    fn send(&mut self, now: Micros, request: RequestId, node: usize) {
        let open = self.open.entry(request).or_default();
        let id = AttemptId { request, number: open.attempts };
        open.attempts += 1;
        let in_flight = self.adapter.begin(now, id, node);
        self.open.entry(request).or_default().in_flight = Some(in_flight);
    }
}
