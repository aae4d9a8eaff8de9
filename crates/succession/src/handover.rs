//! When the older process hands its state over, and when it takes back what nobody has come to use.

use crate::Micros;

/// How long a new process waits for the state that it has requested. The older one looks ten times a second.
pub const HANDOVER_TIMEOUT: Micros = 500_000;
/// How long after the handover a new process may take to serve. One that does not by then has died, or will find the
/// state too old to be of use.
pub const TAKE_BACK_AFTER: Micros = 3_000_000;

/// How long after it has begun to serve a new process assumes the older one alive, if that does not report its end: it is
/// ended within 6 s, and killed by then at the latest.
pub const PREDECESSOR_TIMEOUT: Micros = 10_000_000;

/// The newer process's side: whether the older one is still alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    name: String,
    since: Micros,
}

impl Predecessor {
    /// `name`: what the process that served before calls itself; `since`: when this one began to serve.
    #[must_use]
    pub fn new(name: String, since: Micros) -> Predecessor {
        Predecessor { name, since }
    }

    /// Whether it has ended. `last_ended`: which process was the last to report its end.
    #[must_use]
    pub fn has_ended(&self, now: Micros, last_ended: Option<&str>) -> bool {
        last_ended == Some(&self.name) || now >= self.since + PREDECESSOR_TIMEOUT
    }
}

/// What the older process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverAction {
    /// Nothing.
    None,
    /// Hand its state over to the process that calls itself so.
    HandOver(String),
    /// Use its state again: the process that had it does not serve.
    TakeBack,
}

/// The older process's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateHandover {
    /// The process that it last handed its state to.
    to: Option<String>,
    /// Since when that process has the state; `None`: it was taken back.
    since: Option<Micros>,
    /// A newer process serves.
    has_successor: bool,
}

impl StateHandover {
    /// `requested_by`: which process had made the last request before this one served. That request was for another.
    #[must_use]
    pub fn new(requested_by: Option<String>) -> StateHandover {
        StateHandover { to: requested_by, ..StateHandover::default() }
    }

    /// What to do now. `requested_by`: which process has made the last request, if any but this one has; `has_successor`: a
    /// newer process serves, and is alive: its state comes back only if it dies.
    #[must_use]
    pub fn next_action(
        &mut self,
        now: Micros,
        requested_by: Option<&str>,
        has_successor: bool,
    ) -> HandoverAction {
        let has_successor_died = std::mem::replace(&mut self.has_successor, has_successor) && !has_successor;
        if has_successor {
            return HandoverAction::None;
        }
        let is_overdue = self.since.is_some_and(|since| has_successor_died || now >= since + TAKE_BACK_AFTER);
        match requested_by.filter(|process| self.to.as_deref() != Some(process)) {
            // One that died before it served may be followed by another: the state comes back first.
            Some(_) if self.since.is_some() => {
                self.since = None;
                HandoverAction::TakeBack
            }
            Some(process) => {
                (self.to, self.since) = (Some(process.to_string()), Some(now));
                HandoverAction::HandOver(process.to_string())
            }
            None if is_overdue => {
                self.since = None;
                HandoverAction::TakeBack
            }
            None => HandoverAction::None,
        }
    }
}
