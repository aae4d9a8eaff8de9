//! Whether an ingress serves, drains, has been taken over or shuts down, and what that means for clients' connections.
//!
//! ```text
//!   Serving --drain--> Draining --resume--> Serving
//!   Serving, Draining --taken over--> TakenOver --the newer one dies--> Serving
//!   any --SIGTERM--> Ending
//! ```

use crate::Micros;

/// From a drain on, until the load balancer in front has asked for readiness once more (it asks ten times a second) and
/// opens nothing new (0.2 s after a no). Idle connections closed before would be opened here again.
const DRAIN_NOTICED_AFTER: Micros = 400_000;
/// How long new connections are still accepted after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Micros = 700_000;
/// How long an ingress that was taken over keeps idle connections after SIGTERM, for clients that are about to use them.
/// Requests that come by then are answered before the process is killed: that comes 0.7 s after the longest deadline.
const KEEP_IDLE_AFTER_SIGTERM: Micros = 500_000;

/// What becomes of connections on which no request is in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// They are kept.
    Keep,
    /// Those without a byte of a request are closed, a few at a time.
    CloseWithoutInput,
    /// All of them are closed at once.
    CloseAll,
}

/// Whether an ingress serves, and how it stops.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingState {
    /// It serves.
    #[default]
    Serving,
    /// It is to be left by its clients, and serves those that still come.
    Draining {
        /// Since when.
        since: Micros,
    },
    /// A newer process accepts on the same listening socket; this one completes what it has.
    TakenOver,
    /// It shuts down.
    Ending {
        /// Since when.
        since: Micros,
        /// A newer process has taken over before.
        was_taken_over: bool,
    },
}

impl ServingState {
    /// An operator drains it.
    pub fn drain(&mut self, now: Micros) {
        if *self == ServingState::Serving {
            *self = ServingState::Draining { since: now };
        }
    }

    /// An operator ends the drain.
    pub fn resume(&mut self) {
        if matches!(self, ServingState::Draining { .. }) {
            *self = ServingState::Serving;
        }
    }

    /// A newer process has taken over.
    pub fn on_taken_over(&mut self) {
        if !matches!(self, ServingState::Ending { .. }) {
            *self = ServingState::TakenOver;
        }
    }

    /// The newer process has died: this one serves again, unless it shuts down.
    pub fn on_successor_lost(&mut self) {
        if *self == ServingState::TakenOver {
            *self = ServingState::Serving;
        }
    }

    /// It has got a SIGTERM.
    pub fn shut_down(&mut self, now: Micros) {
        if !matches!(self, ServingState::Ending { .. }) {
            *self = ServingState::Ending { since: now, was_taken_over: *self == ServingState::TakenOver };
        }
    }

    /// What it answers to readiness checks. One that shuts down is ready until its listener is closed, and so is one that
    /// was taken over: its answer would be taken for its successor's.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !matches!(self, ServingState::Draining { .. })
    }

    /// Whether it has got a SIGTERM.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        matches!(self, ServingState::Ending { .. })
    }

    /// Whether new connections are accepted.
    #[must_use]
    pub fn accepts_connections(&self, now: Micros) -> bool {
        match self {
            ServingState::Serving | ServingState::Draining { .. } => true,
            ServingState::TakenOver => false,
            ServingState::Ending { since, was_taken_over } => {
                !was_taken_over && now < since + ACCEPT_AFTER_SIGTERM
            }
        }
    }

    /// Whether a connection is kept for another request.
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        *self == ServingState::Serving
    }

    /// What becomes of idle connections now.
    #[must_use]
    pub fn idle_policy(&self, now: Micros) -> IdlePolicy {
        match self {
            ServingState::Draining { since } if now >= since + DRAIN_NOTICED_AFTER => {
                IdlePolicy::CloseWithoutInput
            }
            ServingState::Ending { since, was_taken_over: true } if now < since + KEEP_IDLE_AFTER_SIGTERM => {
                IdlePolicy::Keep
            }
            ServingState::Ending { .. } => IdlePolicy::CloseAll,
            _ => IdlePolicy::Keep,
        }
    }

    /// After SIGTERM, when it accepts nothing more and only completes what is in flight.
    #[must_use]
    pub fn closes_at(&self) -> Option<Micros> {
        match self {
            ServingState::Ending { since, was_taken_over: true } => Some(since + KEEP_IDLE_AFTER_SIGTERM),
            ServingState::Ending { since, was_taken_over: false } => Some(since + ACCEPT_AFTER_SIGTERM),
            _ => None,
        }
    }
}
