//! Checks the rules on events in the emulated world, independently of the state of the decision module.

use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_decision::interface::{Idempotency, Micros, RequestId};

/// How long after its answer deadline a try is kept.
const FORGET_AFTER: Micros = 10_000_000;

/// How often each rule was violated.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Violations {
    /// Tries of a living ingress without an answer by their deadline and its slack.
    pub unanswered: u64,
    /// Answers beyond the first.
    pub answered_again: u64,
    /// Executions of unsafe tries beyond the first.
    pub ran_twice: u64,
    /// Attempts sent while another one of the same try was in flight.
    pub copies: u64,
    /// Attempts sent to a draining node after its grace period.
    pub after_drain: u64,
    /// Nodes that failed because of overload during their slow start.
    pub pushed_over: u64,
    /// Units beyond a hard limit including its slack.
    pub past_ceiling: f64,
}

impl Violations {
    /// Whether no rule was violated.
    pub fn is_none(&self) -> bool {
        *self == Violations::default()
    }
}

/// The observed state of a try.
#[derive(Clone, Debug)]
struct Try {
    effect: Idempotency,
    answer_deadline: Micros,
    answers: u32,
    executions: u32,
    /// Serials of attempts.
    in_flight: BTreeSet<u64>,
}

/// Checks one run.
#[derive(Debug, Default)]
pub struct RuleChecker {
    /// What was violated so far.
    pub violations: Violations,
    tries: BTreeMap<RequestId, Try>,
    /// Since when an ingress knows that a node drains, by ingress and node.
    drains: BTreeMap<(usize, usize), Micros>,
    drain_grace: Micros,
}

impl RuleChecker {
    /// A checker that allows attempts to draining nodes for this time.
    pub fn new(drain_grace: Micros) -> RuleChecker {
        RuleChecker { drain_grace, ..RuleChecker::default() }
    }

    /// An ingress has accepted a try.
    pub fn on_accepted(&mut self, request: RequestId, effect: Idempotency, answer_deadline: Micros) {
        let observed = Try { effect, answer_deadline, answers: 0, executions: 0, in_flight: BTreeSet::new() };
        self.tries.insert(request, observed);
    }

    /// An ingress has answered a try.
    pub fn on_answered(&mut self, now: Micros, request: RequestId) {
        let Some(observed) = self.tries.get_mut(&request) else { return };
        observed.answers += 1;
        if observed.answers > 1 {
            self.violations.answered_again += 1;
        } else if now > observed.answer_deadline {
            self.violations.unanswered += 1;
        }
    }

    /// The ingress of a try has died, so the try can't be answered any more.
    pub fn on_orphaned(&mut self, request: RequestId) {
        if let Some(observed) = self.tries.get_mut(&request) {
            observed.answers = observed.answers.max(1);
            observed.in_flight.clear();
        }
    }

    /// An ingress sends an attempt to a node.
    pub fn on_attempt_sent(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: u64,
        ingress: usize,
        node: usize,
    ) {
        if let Some(observed) = self.tries.get_mut(&request) {
            self.violations.copies += u64::from(!observed.in_flight.is_empty());
            observed.in_flight.insert(attempt);
        }
        let draining = self.drains.get(&(ingress, node));
        self.violations.after_drain +=
            u64::from(draining.is_some_and(|known_since| now > known_since + self.drain_grace));
    }

    /// An ingress knows the end of an attempt, or has closed its connection.
    pub fn on_attempt_ended(&mut self, request: RequestId, attempt: u64) {
        if let Some(observed) = self.tries.get_mut(&request) {
            observed.in_flight.remove(&attempt);
        }
    }

    /// A node begins to execute a try.
    pub fn on_executed(&mut self, request: RequestId) {
        if let Some(observed) = self.tries.get_mut(&request) {
            observed.executions += 1;
            self.violations.ran_twice +=
                u64::from(observed.effect == Idempotency::AtMostOnce && observed.executions > 1);
        }
    }

    /// An ingress receives a node's state.
    pub fn on_listed(&mut self, now: Micros, ingress: usize, node: usize, is_accepting: bool) {
        if is_accepting {
            self.drains.remove(&(ingress, node));
        } else {
            self.drains.entry((ingress, node)).or_insert(now);
        }
    }

    /// An ingress starts, and knows no node.
    pub fn on_ingress_started(&mut self, ingress: usize) {
        self.drains.retain(|(other, _), _| *other != ingress);
    }

    /// A node has failed because of overload during its slow start.
    pub fn on_pushed_over(&mut self) {
        self.violations.pushed_over += 1;
    }

    /// A try has used units beyond its hard limit.
    pub fn on_past_ceiling(&mut self, units: f64) {
        self.violations.past_ceiling += units;
    }

    /// Removes tries that can have no further events. One that was never answered is a violation.
    pub fn forget_expired(&mut self, now: Micros) {
        let violations = &mut self.violations;
        self.tries.retain(|_, observed| {
            let is_over = now > observed.answer_deadline + FORGET_AFTER;
            violations.unanswered += u64::from(is_over && observed.answers == 0);
            !is_over
        });
    }

    /// The run ends: a try that should have an answer by now and has none is a violation.
    pub fn finish(&mut self, now: Micros) {
        let late = |observed: &&Try| observed.answers == 0 && observed.answer_deadline < now;
        self.violations.unanswered += self.tries.values().filter(late).count() as u64;
        self.tries.clear();
    }
}
