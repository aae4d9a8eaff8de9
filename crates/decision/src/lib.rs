//! The decisions of a quota-keeping gateway for a shared API.
//!
//! [`Gateway`] is a state machine without input or output of its own: it is handed events with the time they
//! happened and appends the actions it wants carried out. Its limiter is the sliding tail: each request adds
//! its units to its customer's count of the current window on a shared counter service, the previous window
//! weighs in by its unelapsed fraction, and what goes past the limit is refused at once.

mod cold;
mod connections;
mod counter;
mod fleet;
pub mod interface;
mod peers;
mod plans;
mod quota;
mod requests;
pub mod view;

use interface::*;
use std::cell::Cell;
use {
    connections::Kept, counter::CounterHealth, fleet::Fleet, peers::News, quota::Quota, requests::Requests,
};

/// One gateway: `handle` takes each event and appends what to do about it.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    random: Cell<u64>,
    now: Micros,
    actions: Vec<Action>,
    quota: Quota,
    counter: CounterHealth,
    news: News,
    fleet: Fleet,
    kept: Kept,
    requests: Requests,
}

impl Gateway {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut fleet = Fleet { pace: 1.0, ..Fleet::default() };
        fleet.begin(&settings.classes);
        Gateway { random: Cell::new(seed), fleet, settings, ..Gateway::default() }
    }

    /// Takes one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Backends { kind, entries, .. } => self.backends_told(kind, entries),
            Event::Request(request) => self.arrive(request),
            Event::Timer { token } if self.requests.armed == Some(token) => self.requests.armed = None,
            Event::Abandoned { request } | Event::AnswerBegun { request, .. } => self.close(request),
            Event::Withdrawn { request } => self.refuse(request, 0, Why::Withdrawn),
            Event::Carried { unused, broke } => self.carried(unused, broke),
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::Counted { count, outcome, total, waited } => self.counted(count, outcome, total, waited),
            Event::PeerMessage { data, .. } => self.told_by_peer(&data),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
        self.fall_due();
        self.dispatch();
        self.spread_news();
        self.arm();
        actions.append(&mut self.actions);
    }

    /// A number between 0 and 1, by chance.
    pub(crate) fn chance(&self) -> f64 {
        self.random.set(mix(self.random.get()));
        self.random.get() as f64 / u64::MAX as f64
    }

    /// What is left of a figure that fades over `span` (us) and was taken at `since`.
    pub(crate) fn faded(&self, since: Micros, span: f64) -> f64 {
        (-((self.now - since) as f64) / span).exp()
    }
}

/// A well-mixed 64-bit value.
pub(crate) fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
