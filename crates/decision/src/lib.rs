//! The decisions of a quota-keeping gateway for a shared API.
//!
//! [`Gateway`] is a state machine without input or output of its own: it is handed events with the time they
//! happened and appends the actions it wants carried out. Its limiter is the sliding tail: each request adds
//! its units to its customer's count of the current window on a shared counter service, the previous window
//! weighs in by its unelapsed fraction, and what goes past the limit is refused at once.

mod cold;
mod counter;
mod figures;
mod fleet;
mod home;
mod idle;
pub mod interface;
mod peers;
mod plans;
mod quota;
mod records;
mod requests;
mod succession;
pub mod view;
mod word;

use figures::Chance;
use interface::*;
use records::{CounterHealth, Quota, Requests};
use std::collections::BTreeMap;
pub use succession::LearnedState;
use {fleet::Fleet, idle::Idle, peers::News};

/// One gateway: `handle` takes each event and appends what to do about it.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    chance: Chance,
    now: Micros,
    actions: Vec<Action>,
    quota: Quota,
    counter: CounterHealth,
    news: News,
    fleet: Fleet,
    idle: Idle,
    requests: Requests,
    /// Homes that let a request wait in vain, and until when they are passed over.
    silent: BTreeMap<u16, Micros>,
    /// Another process of this gateway lives: what may be sent on untold is halved between them.
    shared: bool,
}

impl Gateway {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut fleet = Fleet { pace: 1.0, ..Fleet::default() };
        fleet.begin(&settings.classes);
        Gateway { chance: Chance::new(seed), fleet, settings, ..Gateway::default() }
    }

    /// Takes one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Backends { kind, entries, .. } => self.backends_told(kind, entries),
            Event::Request(request) => self.arrive(request),
            Event::Timer { token } if self.requests.armed == Some(token) => self.requests.armed = None,
            Event::Abandoned { request } | Event::ResponseStarted { request, .. } => self.close(request),
            Event::Withdrawn { request } => self.refuse(request, 0, RejectionReason::Withdrawn),
            Event::ConnectionUsed { idle, broken } => {
                self.idle.carried(self.now, idle, broken, &mut self.actions)
            }
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::CounterAnswered { counter_id, outcome, total, elapsed } => {
                self.counted(counter_id, outcome, total, elapsed)
            }
            Event::PeerMessage { from, data } => self.told_by_peer(from, &data),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
        self.fall_due();
        self.dispatch();
        self.spread_news();
        self.arm();
        actions.append(&mut self.actions);
    }
}
