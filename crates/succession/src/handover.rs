//! When the old process hands over its state, and when it takes the state back because no successor serves.

use crate::Micros;

/// How long a new process waits for the state that it has requested. The old process checks for requests ten times a
/// second.
pub const HANDOVER_TIMEOUT: Micros = 500_000;
/// How long after the handover a new process may take until it serves. One that takes longer has died, or will reject
/// the state as too old.
pub const TAKE_BACK_AFTER: Micros = 3_000_000;

/// How long a new process that serves assumes the old one to be alive if that does not report its end. The old process
/// is terminated within 6 s, and has been killed by this time at the latest.
pub const PREDECESSOR_TIMEOUT: Micros = 10_000_000;

/// The new process's view of the old one: whether it is still alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Predecessor {
    name: String,
    /// When the new process began to serve.
    serving_since: Micros,
}

impl Predecessor {
    /// `name`: the name that the old process gives itself; `serving_since`: when this process began to serve.
    #[must_use]
    pub fn new(name: String, serving_since: Micros) -> Predecessor {
        Predecessor { name, serving_since }
    }

    /// Whether the old process has ended. `last_ended`: the process that was the last to report its end.
    #[must_use]
    pub fn has_ended(&self, now: Micros, last_ended: Option<&str>) -> bool {
        last_ended == Some(&self.name) || now >= self.serving_since + PREDECESSOR_TIMEOUT
    }
}

/// What the old process has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HandoverAction {
    /// Nothing.
    None,
    /// Hand over its state to the process of this name.
    HandOver(String),
    /// Take its state back: the process that received it does not serve.
    TakeBack,
}

/// The handover from the old process's side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StateHandover {
    /// The process that last received the state.
    recipient: Option<String>,
    /// When the recipient got the state; `None`: the state was not handed over, or was taken back.
    handed_over_at: Option<Micros>,
    /// Whether a newer process serves.
    has_successor: bool,
}

impl StateHandover {
    /// `requested_by`: the process that had made the last request before this one began to serve. That request was
    /// meant for an earlier process.
    #[must_use]
    pub fn new(requested_by: Option<String>) -> StateHandover {
        StateHandover { recipient: requested_by, ..StateHandover::default() }
    }

    /// What to do now. `requested_by`: the process that made the last request, unless that was this process itself.
    /// `has_successor`: a newer process serves and is alive; the state is taken back only if that process dies.
    #[must_use]
    pub fn next_action(
        &mut self,
        now: Micros,
        requested_by: Option<&str>,
        has_successor: bool,
    ) -> HandoverAction {
        let successor_died = std::mem::replace(&mut self.has_successor, has_successor) && !has_successor;
        if has_successor {
            return HandoverAction::None;
        }
        let is_overdue = self
            .handed_over_at
            .is_some_and(|handed_over_at| successor_died || now >= handed_over_at + TAKE_BACK_AFTER);
        match requested_by.filter(|process| self.recipient.as_deref() != Some(process)) {
            // If a recipient died before it served and another process requests the state, the state is taken back
            // first.
            Some(_) if self.handed_over_at.is_some() => {
                self.handed_over_at = None;
                HandoverAction::TakeBack
            }
            Some(process) => {
                (self.recipient, self.handed_over_at) = (Some(process.to_string()), Some(now));
                HandoverAction::HandOver(process.to_string())
            }
            None if is_overdue => {
                self.handed_over_at = None;
                HandoverAction::TakeBack
            }
            None => HandoverAction::None,
        }
    }
}
