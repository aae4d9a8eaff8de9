//! Proxies that claim operations, execute them at a backend and report the outcome, with the checks on executions and
//! replies.

use crate::simulation::random::Random;
use crate::simulation::{Cluster, Millis};
use std::collections::BTreeMap;
use violetyoke_store::consensus::ClientId;
use violetyoke_transport::messages::{ClaimHolder, OperationKey, OperationReply, OperationRequest};

/// A request without a reply is repeated after this time.
const RETRY_INTERVAL: Millis = 60;
/// A proxy gives up a claim after this time.
const CLAIM_TIMEOUT: Millis = 600;
/// Upper bound (exclusive) on the duration of an execution.
const MAX_EXECUTION: Millis = 400;
/// Holder time-out stated in each claim, in ms.
const HOLDER_TIMEOUT: u32 = 2_000;
/// A proxy repeats its report for this long.
const REPORT_TIMEOUT: Millis = 5_000;

/// The current step of an attempt to execute an operation.
#[derive(Clone, Debug)]
enum Step {
    Claiming { until: Millis },
    Executing { until: Millis, has_response: bool },
    Reporting { request: OperationRequest, until: Millis },
}

#[derive(Clone, Debug)]
struct Attempt {
    key: OperationKey,
    holder: ClaimHolder,
    step: Step,
    sent: Option<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    client: ClientId,
    at: Millis,
}

/// One execution at a backend.
#[derive(Clone, Copy, Debug)]
struct Execution {
    at: Millis,
    /// The holder that received the response; `None` if there was no response.
    response_holder: Option<ClaimHolder>,
}

/// The last execution of an operation at a backend.
#[derive(Clone, Debug, Default)]
struct Executions {
    last: Option<Execution>,
}

/// How often each event happened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub executed: u64,
    pub replayed: u64,
    pub rejected_in_progress: u64,
    pub unknown: u64,
    pub given_up: u64,
    pub released_after_grant: u64,
}

/// All proxies, clients and backends.
pub(crate) struct Proxies {
    random: Random,
    window: Millis,
    keys: u64,
    last_request: u64,
    attempts: Vec<Attempt>,
    executions: BTreeMap<OperationKey, Executions>,
    pub counts: Counts,
    pub violations: Vec<String>,
}

impl Proxies {
    pub(crate) fn new(seed: u64, window: Millis, keys: u64) -> Proxies {
        Proxies {
            random: Random(seed),
            window,
            keys,
            last_request: 0,
            attempts: Vec::new(),
            executions: BTreeMap::new(),
            counts: Counts::default(),
            violations: Vec::new(),
        }
    }

    /// Whether a claim is waiting for its grant.
    pub(crate) fn has_claim_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| matches!(attempt.step, Step::Claiming { .. }) && attempt.sent.is_some())
    }

    /// Whether an execution is running, or a report has not been confirmed yet.
    pub(crate) fn has_unconfirmed_outcome(&self) -> bool {
        self.attempts.iter().any(|attempt| !matches!(attempt.step, Step::Claiming { .. }))
    }

    /// A client sends an operation: a new one, or one that was sent before.
    pub(crate) fn send(&mut self, now: Millis) {
        self.last_request += 1;
        let key = format!("k-{}", self.random.below(self.keys));
        let holder = ClaimHolder { incarnation: 1 + self.random.below(3), request: self.last_request };
        let step = Step::Claiming { until: now + CLAIM_TIMEOUT };
        let key = OperationKey { tenant: "tenant".to_owned(), key };
        self.attempts.push(Attempt { key, holder, step, sent: None });
    }

    /// Advances each attempt.
    pub(crate) fn step(&mut self, cluster: &mut Cluster) {
        for mut attempt in std::mem::take(&mut self.attempts) {
            if self.step_attempt(cluster, &mut attempt) {
                self.attempts.push(attempt);
            }
        }
    }

    /// Advances an attempt. Returns whether it continues.
    fn step_attempt(&mut self, cluster: &mut Cluster, attempt: &mut Attempt) -> bool {
        let reply = attempt.sent.and_then(|sent| cluster.take_operation_reply(sent.client));
        if reply.is_some() {
            attempt.sent = None;
        }
        let now = cluster.now;
        match attempt.step.clone() {
            Step::Claiming { until } => self.on_claiming(cluster, attempt, until, reply.as_ref()),
            Step::Executing { until, has_response } if now >= until => {
                // A proxy that dies reports nothing.
                if self.random.one_in(12) {
                    return false;
                }
                let (key, holder) = (attempt.key.clone(), attempt.holder);
                let request = if has_response {
                    OperationRequest::Complete { key, holder }
                } else {
                    OperationRequest::Abandon { key, holder }
                };
                self.report(cluster, attempt, request);
                true
            }
            Step::Executing { .. } => true,
            Step::Reporting { until, .. } if now > until || reply == Some(OperationReply::Recorded) => false,
            Step::Reporting { request, .. } => {
                self.send_if_due(cluster, attempt, request);
                true
            }
        }
    }

    fn on_claiming(
        &mut self,
        cluster: &mut Cluster,
        attempt: &mut Attempt,
        until: Millis,
        reply: Option<&OperationReply>,
    ) -> bool {
        let (key, holder) = (attempt.key.clone(), attempt.holder);
        match reply {
            Some(OperationReply::Granted { .. }) if self.random.one_in(10) => {
                self.counts.released_after_grant += 1;
                self.report(cluster, attempt, OperationRequest::Release { key, holder });
            }
            Some(OperationReply::Granted { .. }) => self.execute(cluster.now, attempt),
            Some(OperationReply::Executed { holder }) => self.check_replay(cluster.now, &key, *holder),
            Some(OperationReply::InProgress { .. }) => self.counts.rejected_in_progress += 1,
            Some(OperationReply::Unknown) => self.counts.unknown += 1,
            Some(OperationReply::Recorded) => {
                self.violations.push("a claim was answered as a report".to_owned());
            }
            Some(OperationReply::Unavailable) | None if cluster.now > until => {
                self.counts.given_up += 1;
                self.report(cluster, attempt, OperationRequest::Release { key, holder });
            }
            Some(OperationReply::Unavailable) | None => {
                let is_self_deduplicating = false;
                let claim = OperationRequest::Claim {
                    key,
                    holder,
                    timeout_ms: HOLDER_TIMEOUT,
                    is_self_deduplicating,
                };
                self.send_if_due(cluster, attempt, claim);
            }
        }
        !matches!(attempt.step, Step::Claiming { .. }) || attempt.sent.is_some()
    }

    /// A backend executes an operation.
    fn execute(&mut self, now: Millis, attempt: &mut Attempt) {
        self.counts.executed += 1;
        let has_response = !self.random.one_in(8);
        let until = now + self.random.below(MAX_EXECUTION);
        attempt.step = Step::Executing { until, has_response };
        let executions = self.executions.entry(attempt.key.clone()).or_default();
        if let Some(first) = executions.last.filter(|first| now < first.at + self.window) {
            let (key, first) = (&attempt.key.key, first.at);
            self.violations.push(format!("{now} ms: {key} was executed again, after {first} ms"));
        }
        executions.last =
            Some(Execution { at: now, response_holder: has_response.then_some(attempt.holder) });
    }

    /// Checks the reply to a repeated operation, which names the holder whose response is replayed.
    fn check_replay(&mut self, now: Millis, key: &OperationKey, holder: ClaimHolder) {
        self.counts.replayed += 1;
        let executed = self.executions.get(key).and_then(|executions| executions.last);
        if executed.and_then(|execution| execution.response_holder) != Some(holder) {
            self.violations.push(format!("{now} ms: {} got another response than the first", key.key));
        }
    }

    fn report(&mut self, cluster: &mut Cluster, attempt: &mut Attempt, request: OperationRequest) {
        attempt.step = Step::Reporting { request: request.clone(), until: cluster.now + REPORT_TIMEOUT };
        attempt.sent = None;
        self.send_if_due(cluster, attempt, request);
    }

    /// Sends a request unless one is outstanding for less than `RETRY_INTERVAL`. It mostly goes to the active store,
    /// sometimes to a random one.
    fn send_if_due(&mut self, cluster: &mut Cluster, attempt: &mut Attempt, request: OperationRequest) {
        if attempt.sent.is_some_and(|sent| cluster.now < sent.at + RETRY_INTERVAL) {
            return;
        }
        let any = self.random.below(cluster.machines.len() as u64) as usize;
        let store = cluster.active_store().filter(|_| !self.random.one_in(5)).unwrap_or(any);
        let client = cluster.request(store, request);
        attempt.sent = Some(Sent { client, at: cluster.now });
    }
}
