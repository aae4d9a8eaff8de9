//! What every result is held against: an oracle that sees all state at once and decides greedily by it, and blind
//! chance. Both run on the same wires through the same world.

use crate::wires::{Command, Flying, Wires};
use crate::world::{Policy, World};
use std::collections::BTreeMap;
use violetyoke_decision::interface::*;
use violetyoke_exchange::{AttemptId, FinalResponse, Port, RequestSummary};

/// Part of what pushes a cold node over that the oracle gives it at most.
const SAFE_PRESSURE: f64 = 0.7;
/// Attempts of the oracle for one try at most.
const ATTEMPTS: u8 = 4;

/// A try that is open at a reference.
#[derive(Debug, Default)]
struct Open {
    attempts: u8,
    may_have_run: bool,
    out: Option<Flying>,
}

#[derive(Debug, Default)]
pub struct Reference {
    pub wires: Wires,
    open: BTreeMap<RequestId, Open>,
}

impl Reference {
    pub fn new(mut wires: Wires) -> Reference {
        wires.set_max_idle(10_000_000);
        Reference { wires, open: BTreeMap::new() }
    }

    fn answer(&mut self, request: RequestId, why: Option<RejectionReason>, response: FinalResponse<()>) {
        let attempts = self.open.remove(&request).map_or(0, |open| open.attempts);
        let summary = RequestSummary { request, attempts, reason: why, quota: None };
        self.wires.out.push(Command::Answer { summary, response });
    }

    pub fn abandoned(&mut self, request: RequestId) {
        if let Some(out) = self.open.remove(&request).and_then(|open| open.out) {
            self.wires.cancel_attempt(out);
        }
    }
}

impl World<'_> {
    pub(crate) fn reference_takes(&mut self, ingress: usize, request: RequestId) {
        let refused = |retry_after| FinalResponse::Refused { retry_after };
        let within = match self.policy() {
            Policy::Random(part) => self.coin(part),
            _ => self.oracle_has_room(request),
        };
        let node = if within { self.reference_node(ingress, request) } else { None };
        if node.is_some() {
            self.oracle_spends(request);
        }
        let now = self.now();
        let Some(reference) = self.reference(ingress) else { return };
        let Some(node) = node else {
            let why = if within { RejectionReason::Held } else { RejectionReason::Quota };
            return reference.answer(request, Some(why), refused(0));
        };
        reference.send(now, request, node);
    }

    /// An attempt of a reference has ended.
    pub(crate) fn reference_ended(&mut self, ingress: usize, id: AttemptId, outcome: Outcome) {
        let again = self.policy() == Policy::Oracle && outcome != Outcome::Ok;
        let effect = self.effect(id.request);
        let Some(reference) = self.reference(ingress) else { return };
        let Some(open) = reference.open.get_mut(&id.request) else { return };
        open.out = None;
        open.may_have_run |= !outcome.not_executed();
        let safe = !open.may_have_run || effect == Idempotency::Idempotent;
        let more = again && safe && open.attempts < ATTEMPTS;
        if outcome == Outcome::Ok {
            return reference.answer(id.request, None, FinalResponse::Served(()));
        }
        let node = if more { self.reference_node(ingress, id.request) } else { None };
        let now = self.now();
        let Some(reference) = self.reference(ingress) else { return };
        match node {
            Some(node) => reference.send(now, id.request, node),
            None if safe => {
                reference.answer(
                    id.request,
                    Some(RejectionReason::Attempt),
                    FinalResponse::Refused { retry_after: 0 },
                );
            }
            None => reference.answer(id.request, Some(RejectionReason::Attempt), FinalResponse::Failed),
        }
    }

    /// The node for a try; none: no node can serve it in time.
    fn reference_node(&mut self, ingress: usize, request: RequestId) -> Option<usize> {
        if self.policy() != Policy::Oracle {
            let reference = self.reference(ingress)?;
            let takes = |(place, line): (usize, &crate::wires::Line)| line.accepting.then_some(place);
            let nodes: Vec<usize> = reference.wires.lines.iter().enumerate().filter_map(takes).collect();
            return self.draw(&nodes);
        }
        let kept: Vec<bool> = {
            let reference = self.reference(ingress)?;
            reference.wires.lines.iter().map(|line| !line.idle.is_empty()).collect()
        };
        self.best_node(ingress, request, SAFE_PRESSURE, &kept)
    }
}

impl Reference {
    fn send(&mut self, now: Micros, request: RequestId, node: usize) {
        let open = self.open.entry(request).or_default();
        let id = AttemptId { request, number: open.attempts };
        open.attempts += 1;
        let out = self.wires.begin(now, id, node);
        self.open.entry(request).or_default().out = Some(out);
    }
}
