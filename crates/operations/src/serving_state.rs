//! The serving state of an ingress, and how it determines the treatment of clients' connections.
//!
//! ```text
//!   Serving --drain--> Draining --resume--> Serving
//!   Serving, Draining --a newer process takes over--> TakenOver --the newer process dies--> Serving
//!   any state --SIGTERM--> Ending
//! ```

use crate::Micros;

/// The time from the start of a drain until idle connections are closed. The load balancer in front checks readiness ten
/// times a second, and opens no new connections 0.2 s after the first failed check. It would replace connections that are
/// closed earlier by new connections to this ingress.
const DRAIN_NOTICED_AFTER: Micros = 400_000;
/// How long new connections are still accepted after SIGTERM.
const ACCEPT_AFTER_SIGTERM: Micros = 700_000;
/// How long an ingress keeps idle connections after SIGTERM if a newer process has taken over, for clients that are about to
/// send a request on them. Requests that arrive within this time are answered before the process is killed, which happens
/// 0.7 s after the longest request deadline.
const KEEP_IDLE_AFTER_SIGTERM: Micros = 500_000;

/// How connections without a request in flight are treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// They stay open.
    Keep,
    /// Those on which no byte of a next request has arrived are closed. Applies repeatedly, as further connections become
    /// idle.
    CloseWithoutInput,
    /// All of them are closed at once.
    CloseAll,
}

/// The serving state of an ingress process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingState {
    /// It serves clients.
    #[default]
    Serving,
    /// An operator drains it: readiness checks fail so that clients go elsewhere; requests that still arrive are served.
    Draining {
        /// The start of the drain.
        since: Micros,
    },
    /// A newer process accepts connections on the same listening socket; this one serves its open connections.
    TakenOver,
    /// It shuts down after SIGTERM.
    Ending {
        /// The time of the SIGTERM.
        since: Micros,
        /// Whether a newer process had taken over before.
        was_taken_over: bool,
    },
}

impl ServingState {
    /// An operator starts a drain. No effect unless the ingress is serving.
    pub fn drain(&mut self, now: Micros) {
        if *self == ServingState::Serving {
            *self = ServingState::Draining { since: now };
        }
    }

    /// An operator ends the drain. No effect unless the ingress is draining.
    pub fn resume(&mut self) {
        if matches!(self, ServingState::Draining { .. }) {
            *self = ServingState::Serving;
        }
    }

    /// A newer process has taken over the listening socket.
    pub fn on_taken_over(&mut self) {
        if !matches!(self, ServingState::Ending { .. }) {
            *self = ServingState::TakenOver;
        }
    }

    /// The newer process has died: this one serves again, unless it is shutting down.
    pub fn on_successor_lost(&mut self) {
        if *self == ServingState::TakenOver {
            *self = ServingState::Serving;
        }
    }

    /// The process has received SIGTERM. Further signals have no effect.
    pub fn shut_down(&mut self, now: Micros) {
        if !matches!(self, ServingState::Ending { .. }) {
            *self = ServingState::Ending { since: now, was_taken_over: *self == ServingState::TakenOver };
        }
    }

    /// The answer to readiness checks. A process that shuts down stays ready until its listener is closed. So does a process
    /// that was taken over, because the load balancer would take its answer for that of the newer process.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !matches!(self, ServingState::Draining { .. })
    }

    /// Whether the process has received SIGTERM.
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

    /// Whether a connection stays open for further requests after a response (HTTP keep-alive).
    #[must_use]
    pub fn keeps_connections(&self) -> bool {
        *self == ServingState::Serving
    }

    /// How idle connections are treated now.
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

    /// The time, after SIGTERM, from which only requests in flight are completed: no connections are accepted, and no idle
    /// ones are kept. `None` before SIGTERM.
    #[must_use]
    pub fn closes_at(&self) -> Option<Micros> {
        match self {
            ServingState::Ending { since, was_taken_over: true } => Some(since + KEEP_IDLE_AFTER_SIGTERM),
            ServingState::Ending { since, was_taken_over: false } => Some(since + ACCEPT_AFTER_SIGTERM),
            _ => None,
        }
    }
}
