//! The model. A tick is half of a lease duration. Faults, requests and operations are limited in number, so that the
//! model is finite.

mod state;

use state::{Message, State, TICK, TTL};
use stateright::{Model, Property};
use violetyoke_ownership::{
    Epoch, FencingGuard, InjectedFaults, LeaseHolder, LeaseManager, LeaseRecord, RoleKind, ShardId,
    SingletonRole,
};

/// Maximum number of ticks, and of requests and operations of each holder, in one run of the model.
const MAX_TICKS: u64 = 4;
const MAX_REQUESTS: u64 = 2;
const MAX_OPERATIONS: u8 = 1;

#[derive(Clone, Debug)]
pub(crate) struct World {
    /// Whether the receiver rejects operations of older epochs.
    pub(crate) is_fenced: bool,
    pub(crate) faults: InjectedFaults,
    /// Whether to look for operations of a second owner.
    pub(crate) expects_second_owner: bool,
}

impl Default for World {
    fn default() -> World {
        World { is_fenced: true, faults: InjectedFaults::default(), expects_second_owner: true }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Tick,
    SendRequest(usize),
    CheckLease(usize),
    Operate(usize),
    /// Delivers the message at this index of the messages in flight.
    Deliver(usize),
    DeliverAndDuplicate(usize),
    Drop(usize),
    RestartManager,
}

fn role() -> SingletonRole {
    SingletonRole { ttl_ms: TTL / 1_000, ..SingletonRole::new("d", RoleKind::Report) }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let record = LeaseRecord::new(ShardId::new("d", 0));
        let mut manager = LeaseManager::new(vec![role()], true, 0);
        manager.observe(&record, 0);
        let holder = |name: &str| LeaseHolder::new(name, vec!["d".into()]).with_faults(self.faults);
        let mut state = State {
            now: 0,
            manager,
            record,
            epoch: Epoch(0),
            holders: [holder("a"), holder("b")],
            checked: [None, None],
            in_flight: Vec::new(),
            guard: FencingGuard::default(),
            newest_operated: Epoch(0),
            first_operated: Epoch(0),
            is_out_of_order: false,
            restarts: 0,
            duplicates: 0,
            drops: 0,
            operations: [0, 0],
            requests: [0, 0],
        };
        // Both have called once and received a response: from now on leases can be granted.
        for holder in 0..2 {
            let (call, request) = state.holders[holder].next_request(0);
            let response = state.handle(&request);
            state.on_response(holder, call, response);
        }
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < MAX_TICKS * TICK {
            steps.push(Step::Tick);
        }
        for holder in 0..2 {
            let has_call_in_flight = state.in_flight.iter().any(|message| match message {
                Message::Request { from: caller, .. } | Message::Response { to: caller, .. } => {
                    *caller == holder
                }
                Message::Operation { .. } => false,
            });
            if !has_call_in_flight && state.requests[holder] < MAX_REQUESTS {
                steps.push(Step::SendRequest(holder));
            }
            match &state.checked[holder] {
                None if state.claim(holder).is_some() && state.operations[holder] < MAX_OPERATIONS => {
                    steps.push(Step::CheckLease(holder));
                }
                Some(_) => steps.push(Step::Operate(holder)),
                None => {}
            }
        }
        for index in 0..state.in_flight.len() {
            steps.push(Step::Deliver(index));
            if state.drops == 0 {
                steps.push(Step::Drop(index));
            }
            if state.duplicates == 0 {
                steps.push(Step::DeliverAndDuplicate(index));
            }
        }
        if state.restarts == 0 && state.epoch > Epoch(0) {
            steps.push(Step::RestartManager);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut state = state.clone();
        match step {
            Step::Tick => {
                state.now += TICK;
                state.expire_leases();
                for holder in &mut state.holders {
                    drop(holder.expire_leases(state.now)); // An operation in flight cannot be stopped.
                }
            }
            Step::SendRequest(holder) => {
                state.requests[holder] += 1;
                let (call, request) = state.holders[holder].next_request(state.now);
                state.in_flight.push(Message::Request { from: holder, call, request });
            }
            Step::CheckLease(holder) => state.checked[holder] = state.claim(holder),
            Step::Operate(holder) => {
                let claim = state.checked[holder].take()?;
                state.operations[holder] += 1;
                state.holders[holder].record_progress(&claim, 1);
                state.in_flight.push(Message::Operation { claim });
            }
            Step::Deliver(index) => {
                let message = state.in_flight.remove(index);
                state.deliver(message, self.is_fenced);
            }
            Step::DeliverAndDuplicate(index) => {
                state.duplicates += 1;
                let message = state.in_flight[index].clone();
                state.deliver(message, self.is_fenced);
            }
            Step::Drop(index) => {
                state.drops += 1;
                state.in_flight.remove(index);
            }
            Step::RestartManager => {
                state.restarts += 1;
                state.manager = LeaseManager::new(vec![role()], false, state.now);
                let record = state.record.clone();
                state.manager.observe(&record, state.now);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("one holder at a time", |_, state: &State| {
                state.claim(0).is_none() || state.claim(1).is_none()
            }),
            Property::always("operations in the order of epochs", |_, state: &State| !state.is_out_of_order),
            Property::always("a hung owner's shard goes to the other", |_, state: &State| {
                state.other_replaces_hung_owner()
            }),
        ];
        if self.expects_second_owner {
            let operates = |_: &World, state: &State| state.newest_operated > state.first_operated;
            properties.push(Property::sometimes("a second owner operates", operates));
        }
        properties
    }
}
