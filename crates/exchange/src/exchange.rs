//! The state of an exchange, and its settings.

use crate::port::{CallId, Port};
use crate::records::{OpenRequest, PendingCall};
use crate::timers::{Timer, TimerQueue};
use std::collections::{HashMap, VecDeque};
use violetyoke_decision::interface::{Action, Event, Limits, Micros, RequestId, Settings};
use violetyoke_decision::Gateway;

/// Interval of the periodic clean-up.
pub(super) const SWEEP_INTERVAL: Micros = 1_000_000;
/// A connection is reused only if it has been idle for less than the backend's idle time-out divided by this.
const IDLE_CLOSE_DIVISOR: u64 = 3;

/// The decision module with its open requests, attempts, calls and timers; see the documentation of the crate.
pub struct Exchange<P: Port> {
    /// The port. It is public because its owner keeps settings and state in it.
    pub port: P,
    pub(super) gateway: Gateway,
    pub(super) limits: Limits,
    pub(super) counter_timeout: Micros,
    /// The longest idle time after which a connection to a backend is still reused.
    pub(super) max_idle: Micros,
    pub(super) requests: HashMap<RequestId, OpenRequest<P>>,
    pub(super) calls: HashMap<CallId, PendingCall<P>>,
    pub(super) next_call: CallId,
    pub(super) timers: TimerQueue,
    /// Events for the decision module, in the order in which they occurred.
    pub(super) events: VecDeque<Event>,
    /// Reused buffer for the module's actions.
    pub(super) actions: Vec<Action>,
}

impl<P: Port> Exchange<P> {
    /// Creates an exchange without requests; `seed` is for the random choices of the decision module.
    pub fn new(now: Micros, settings: Settings, seed: u64, port: P) -> Exchange<P> {
        let mut exchange = Exchange {
            port,
            limits: settings.limits.clone(),
            counter_timeout: counter_timeout(&settings),
            max_idle: max_idle(&settings.limits),
            gateway: Gateway::new(settings, seed),
            requests: HashMap::new(),
            calls: HashMap::new(),
            next_call: 1,
            timers: TimerQueue::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        exchange.port.set_max_idle(exchange.max_idle);
        exchange.timers.set(now + SWEEP_INTERVAL, Timer::Sweep);
        exchange
    }

    /// Applies new settings. Open requests keep their limit on attempts, unless the new one is lower.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) {
        self.limits = settings.limits.clone();
        self.counter_timeout = counter_timeout(&settings);
        self.set_max_idle(self.max_idle.min(max_idle(&settings.limits)));
        self.gateway.reconfigure(now, settings);
    }

    /// Limits the idle time of reused connections to `requested` or the limit of the settings, whichever is
    /// less.
    pub(super) fn limit_idle(&mut self, requested: Micros) {
        self.set_max_idle(requested.min(max_idle(&self.limits)));
    }

    fn set_max_idle(&mut self, max_idle: Micros) {
        self.max_idle = max_idle;
        self.port.set_max_idle(max_idle);
    }

    /// The decision module.
    pub fn gateway(&self) -> &Gateway {
        &self.gateway
    }

    /// The decision module, for calls that are neither events nor changes of settings.
    pub fn gateway_mut(&mut self) -> &mut Gateway {
        &mut self.gateway
    }

    /// The time-out of a counter call; 0 without a counter service.
    pub fn counter_timeout(&self) -> Micros {
        self.counter_timeout
    }

    /// Whether no request and no counter call is open. A pending call may still return units.
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty() && self.calls.is_empty()
    }
}

fn counter_timeout(settings: &Settings) -> Micros {
    settings.counter.map_or(0, |counter| counter.timeout)
}

fn max_idle(limits: &Limits) -> Micros {
    limits.idle_timeout / IDLE_CLOSE_DIVISOR
}
