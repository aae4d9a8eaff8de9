//! The steps of the modelled system and their bounds.

use crate::properties;
use crate::proxy::{Stage, HOLDER_TIMEOUT};
use crate::system::{Execution, System, STORES, WINDOW};
use stateright::{Model, Property};
use violetyoke_idempotency::{Millis, EXPIRY_SLACK_MS};
use violetyoke_store::operations::Event;
use violetyoke_transport::messages::OperationState;

/// Durations of the waiting steps. After the first one a claim is overdue and unacknowledged messages are repeated;
/// after the second one its record has expired.
const WAITS: [Millis; 2] =
    [HOLDER_TIMEOUT as Millis + 1, WINDOW + HOLDER_TIMEOUT as Millis + EXPIRY_SLACK_MS];

/// A guard of the protocol that a model can omit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// A claim is synced before it is granted.
    SyncBeforeGrant,
    /// A receiver rejects appends of old epochs.
    EpochCheckAtReceiver,
    /// A new leader reads the records of a majority.
    QuorumAfterTakeover,
    /// An operation with an unknown outcome is not executed again.
    KeepUnknownOutcome,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    Deliver(String),
    /// Delivers a message and keeps it in flight, to be delivered again.
    Repeat(String),
    /// A disk completes its writes.
    Sync(usize),
    /// A new or repeated claim arrives at a store, possibly after its release.
    Claim {
        proxy: usize,
        store: usize,
    },
    /// A holder's backend executes the operation.
    Execute {
        proxy: usize,
    },
    /// A report arrives at a store: executed, unknown, or released by a holder that never executes.
    Report {
        proxy: usize,
        store: usize,
        end: OperationState,
    },
    /// A store takes over with its own promise and that of another store.
    TakeOver {
        store: usize,
        other: usize,
    },
    /// A store learns of the newest epoch.
    Learn(usize),
    /// A process dies and starts again from its log.
    Restart(usize),
    /// Time passes, and all stores tick.
    Wait,
}

/// The model, with bounds on its steps: two proxies, three stores, one key.
#[derive(Clone, Copy, Debug)]
pub struct Operations {
    /// A disabled guard (negative control).
    pub omitted_guard: Option<Guard>,
    pub depth: usize,
    /// Number of requests of each proxy.
    pub requests: u32,
    pub repeats: u32,
    pub waits: usize,
    pub takeovers: u64,
    pub restarts: u32,
    /// Whether syncs are separate steps; otherwise disks sync at once.
    pub syncs_are_steps: bool,
    /// Whether answers of followers are separate steps; otherwise they arrive at once.
    pub answers_are_steps: bool,
}

impl Operations {
    pub const NONE: Operations = Operations {
        omitted_guard: None,
        depth: 0,
        requests: 0,
        repeats: 0,
        waits: 0,
        takeovers: 0,
        restarts: 0,
        syncs_are_steps: false,
        answers_are_steps: false,
    };

    fn omits(&self, guard: Guard) -> bool {
        self.omitted_guard == Some(guard)
    }

    fn proxy_steps(&self, system: &System, proxy: usize, steps: &mut Vec<Step>) {
        let stage = system.proxies[proxy].stage;
        if matches!(stage, Stage::Granted { until } if system.now < until) {
            steps.push(Step::Execute { proxy });
        }
        // The proxies are interchangeable, so only orders in which the first one claims first are explored.
        if system.proxies[proxy].sent == self.requests || (proxy > 0 && system.proxies[0].sent == 0) {
            return;
        }
        for store in (0..STORES).filter(|store| system.stores[*store].engine.is_active()) {
            let ends: &[OperationState] = match stage {
                // A release may overtake its claim only in the model without takeovers, which bounds the other models.
                Stage::Idle if self.takeovers > 0 => &[],
                Stage::Idle | Stage::Claiming { .. } | Stage::Granted { .. } | Stage::Released => {
                    &[OperationState::Released]
                }
                Stage::Executed => &[OperationState::Executed, OperationState::Unknown],
                Stage::Replayed { .. } | Stage::OutcomeUnknown | Stage::Recorded => continue,
            };
            steps.extend(ends.iter().map(|end| Step::Report { proxy, store, end: *end }));
            if stage != Stage::Executed {
                steps.push(Step::Claim { proxy, store });
            }
        }
    }

    fn store_steps(&self, system: &System, n: usize, steps: &mut Vec<Step>) {
        if !system.stores[n].unsynced.is_empty() {
            steps.push(Step::Sync(n));
        }
        if system.stores[n].view.promised < system.epoch {
            steps.push(Step::Learn(n));
        }
        if system.restarts < self.restarts {
            steps.push(Step::Restart(n));
        }
        // The followers are interchangeable, so it is always store 1 that takes over.
        if n != 1 && system.epoch.0 <= self.takeovers {
            steps.push(Step::TakeOver { store: 1, other: n });
        }
    }
}

impl Model for Operations {
    type State = System;
    type Action = Step;

    fn init_states(&self) -> Vec<System> {
        let mut system = System::new(!self.syncs_are_steps, !self.answers_are_steps);
        system.acknowledges_unsynced = self.omits(Guard::SyncBeforeGrant);
        vec![system]
    }

    fn actions(&self, system: &System, steps: &mut Vec<Step>) {
        steps.extend(system.in_flight.keys().cloned().map(Step::Deliver));
        if system.repeats < self.repeats {
            steps.extend(system.in_flight.keys().cloned().map(Step::Repeat));
        }
        (0..system.proxies.len()).for_each(|proxy| self.proxy_steps(system, proxy, steps));
        (0..STORES).for_each(|n| self.store_steps(system, n, steps));
        if system.waits < self.waits {
            steps.push(Step::Wait);
        }
    }

    fn next_state(&self, last: &System, step: Step) -> Option<System> {
        let mut system = last.clone();
        match step {
            Step::Deliver(label) => system.deliver(&label, !self.omits(Guard::EpochCheckAtReceiver)),
            Step::Repeat(label) => {
                system.repeats += 1;
                system.deliver(&label, !self.omits(Guard::EpochCheckAtReceiver));
                system.in_flight.insert(label.clone(), last.in_flight[&label].clone());
            }
            Step::Sync(n) => system.sync(n),
            Step::Claim { proxy, store } => {
                let request = system.proxies[proxy].claim(system.now, self.omits(Guard::KeepUnknownOutcome));
                system.request(proxy, store, request);
            }
            Step::Execute { proxy } => {
                system.proxies[proxy].stage = Stage::Executed;
                let holder = system.proxies[proxy].holder;
                system.executions.push(Execution { at: system.now, holder });
            }
            Step::Report { proxy, store, end } => {
                let request = system.proxies[proxy].report(end);
                system.request(proxy, store, request);
            }
            Step::TakeOver { store, other } => {
                system.take_over(store, other, !self.omits(Guard::QuorumAfterTakeover));
            }
            Step::Learn(n) => system.promise(n, system.epoch),
            Step::Restart(n) => system.restart(n),
            Step::Wait => {
                system.now += WAITS[system.waits];
                system.waits += 1;
                (0..STORES).for_each(|n| system.handle(n, Event::Tick));
            }
        }
        Some(system)
    }

    fn properties(&self) -> Vec<Property<Operations>> {
        if self.omitted_guard.is_some() {
            vec![properties::executed_once()]
        } else {
            properties::all()
        }
    }
}
