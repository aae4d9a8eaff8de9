//! The decisions of a gateway for a shared API: quotas of customers, and selection of backends.
//!
//! [`Gateway`] is a state machine without I/O: it takes events with their times and returns actions to carry
//! out. Its rate limiter is a sliding window counter: each request adds its units to its customer's counter
//! of the current window at a shared service, the previous window counts by its unelapsed fraction, and a
//! request over the limit is rejected at once.

mod backends;
mod counter;
mod handover;
mod home_gateway;
mod idle_connections;
pub mod interface;
mod peer_message;
mod peer_updates;
mod primitives;
mod quota;
mod reconfigure;
mod requests;
mod slow_start;
mod state;
pub mod view;

pub use handover::LearnedState;
use interface::*;
use state::{CounterHealth, Quota, Requests};
use std::collections::BTreeMap;
use {backends::Fleet, idle_connections::IdleConnections, peer_updates::PeerUpdates, primitives::Rng};

/// One gateway, which [`Gateway::handle`] drives.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    rng: Rng,
    now: Micros,
    actions: Vec<Action>,
    quota: Quota,
    counter: CounterHealth,
    peer_updates: PeerUpdates,
    fleet: Fleet,
    idle_connections: IdleConnections,
    requests: Requests,
    /// Home gateways that did not respond, and until when they are not queried.
    unresponsive: BTreeMap<u16, Micros>,
    /// Another process of this gateway is running: each has half of the unconfirmed allowance.
    overlapping: bool,
}

impl Gateway {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut fleet = Fleet { latency: 1.0, ..Fleet::default() };
        fleet.add_classes(&settings.classes);
        Gateway { rng: Rng::new(seed), fleet, settings, ..Gateway::default() }
    }

    /// Handles an event and appends the actions that follow from it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Backends { kind, entries, .. } => self.update_backends(kind, entries),
            Event::Request(request) => self.on_request(request),
            Event::Timer { token } if self.requests.timer_at == Some(token) => self.requests.timer_at = None,
            Event::Abandoned { request } | Event::ResponseStarted { request, .. } => self.close(request),
            Event::Withdrawn { request } => self.reject(request, 0, RejectionReason::Withdrawn),
            Event::ConnectionUsed { idle, broken } => {
                self.idle_connections.record_request(self.now, idle, broken, &mut self.actions)
            }
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::CounterAnswered { counter_id, outcome, total, elapsed } => {
                self.call_ended(counter_id, outcome, total, elapsed)
            }
            Event::PeerMessage { from, data } => self.on_peer_message(from, &data),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
        self.process_deadlines();
        self.dispatch();
        self.send_peer_updates();
        self.set_timer();
        actions.append(&mut self.actions);
    }
}
