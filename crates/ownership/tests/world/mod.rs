//! The world of the model check. One tick is half of a lease's length; what may go wrong, and how often anybody
//! calls, is counted, so that the world is finite.

#![allow(unreachable_pub, reason = "support modules are public to the tests")]

mod state;

use state::{Message, State, LENGTH, TICK};
use stateright::{Model, Property};
use std::collections::BTreeMap;
use violetyoke_ownership::duty::{Duty, Kind};
use violetyoke_ownership::fence::Fence;
use violetyoke_ownership::grantor::Grantor;
use violetyoke_ownership::holder::{Holder, Weakness};
use violetyoke_ownership::{Name, Record};

/// Ticks, calls of each holder, and acts of each, in one life of the world.
const MOST_TICKS: u64 = 4;
const MOST_CALLS: u64 = 2;
const MOST_ACTS: u8 = 1;

#[derive(Clone, Debug)]
pub struct World {
    pub fenced: bool,
    pub weakness: Weakness,
    /// That a second owner acts is known: it is not looked for.
    pub settled: bool,
}

impl Default for World {
    fn default() -> World {
        World { fenced: true, weakness: Weakness::default(), settled: false }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Tick,
    Ask(usize),
    Look(usize),
    Act(usize),
    /// Of what is under way, the one at that place.
    Arrives(usize),
    ArrivesAndComesAgain(usize),
    IsLost(usize),
    Restart,
}

fn duty() -> Duty {
    Duty {
        name: "d".into(),
        kind: Kind::Report,
        shards: 1,
        length_ms: LENGTH / 1_000,
        most: 0,
        span_ms: 60_000,
        nodes: Vec::new(),
        every_ms: 1_000,
    }
}

impl Model for World {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let record = Record::new(Name::new("d", 0));
        let mut grantor = Grantor::new(vec![duty()], true, 0);
        grantor.words(BTreeMap::new());
        grantor.observe(&record, 0);
        let holder = |name: &str| Holder::new(name, vec!["d".into()]).weakened(self.weakness);
        let mut state = State {
            now: 0,
            grantor,
            record,
            epoch: 0,
            holders: [holder("a"), holder("b")],
            looked: [None, None],
            under_way: Vec::new(),
            fence: Fence::default(),
            newest: 0,
            first: 0,
            out_of_order: false,
            restarts: 0,
            doubled: 0,
            lost: 0,
            acts: [0, 0],
            calls: [0, 0],
        };
        // Both have called once, and have had their answer: from then on there is something to be had.
        for holder in 0..2 {
            let (number, ask) = state.holders[holder].ask(0);
            let answer = state.asked(&ask);
            state.answered(holder, number, answer);
        }
        vec![state]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < MOST_TICKS * TICK {
            steps.push(Step::Tick);
        }
        for holder in 0..2 {
            let calling = state.under_way.iter().any(|message| match message {
                Message::Ask { from: of, .. } | Message::Answer { to: of, .. } => *of == holder,
                Message::Act { .. } => false,
            });
            if !calling && state.calls[holder] < MOST_CALLS {
                steps.push(Step::Ask(holder));
            }
            match &state.looked[holder] {
                None if state.claim(holder).is_some() && state.acts[holder] < MOST_ACTS => {
                    steps.push(Step::Look(holder));
                }
                Some(_) => steps.push(Step::Act(holder)),
                None => {}
            }
        }
        for place in 0..state.under_way.len() {
            steps.push(Step::Arrives(place));
            if state.lost == 0 {
                steps.push(Step::IsLost(place));
            }
            if state.doubled == 0 {
                steps.push(Step::ArrivesAndComesAgain(place));
            }
        }
        if state.restarts == 0 && state.epoch > 0 {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, state: &State, step: Step) -> Option<State> {
        let mut state = state.clone();
        match step {
            Step::Tick => {
                state.now += TICK;
                state.pass();
                for holder in &mut state.holders {
                    holder.lapse(state.now);
                }
            }
            Step::Ask(holder) => {
                state.calls[holder] += 1;
                let (number, ask) = state.holders[holder].ask(state.now);
                state.under_way.push(Message::Ask { from: holder, number, ask });
            }
            Step::Look(holder) => state.looked[holder] = state.claim(holder),
            Step::Act(holder) => {
                let claim = state.looked[holder].take()?;
                state.acts[holder] += 1;
                state.holders[holder].moved(&claim, 1);
                state.under_way.push(Message::Act { claim });
            }
            Step::Arrives(place) => {
                let message = state.under_way.remove(place);
                state.arrives(message, self.fenced);
            }
            Step::ArrivesAndComesAgain(place) => {
                state.doubled += 1;
                let message = state.under_way[place].clone();
                state.arrives(message, self.fenced);
            }
            Step::IsLost(place) => {
                state.lost += 1;
                state.under_way.remove(place);
            }
            Step::Restart => {
                state.restarts += 1;
                state.grantor = Grantor::new(vec![duty()], false, state.now);
                let record = state.record.clone();
                state.grantor.observe(&record, state.now);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        let mut properties = vec![
            Property::always("one holder at a time", |_, state: &State| {
                state.claim(0).is_none() || state.claim(1).is_none()
            }),
            Property::always("acts in the order of epochs", |_, state: &State| !state.out_of_order),
            Property::always("a hung owner's shard goes to the other", |_, state: &State| {
                state.goes_to_the_other()
            }),
        ];
        if !self.settled {
            let second = |_: &World, state: &State| state.newest > state.first;
            properties.push(Property::sometimes("a second owner acts", second));
        }
        properties
    }
}
