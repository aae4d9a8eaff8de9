//! Since when a proxy that asks another registry first has been behind the state, list and members that are known here.
//!
//! The other registry may be cut off and still tell lists all the time, so each kind of news has a time of its own, which
//! begins anew only when the proxy has got on with that kind.

use crate::Millis;

/// A proxy that asks another registry first is told so much later, and only if it has not heard by then (ms).
pub const SECOND: Millis = 600;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waits {
    pub state: Option<Millis>,
    pub list: Option<Millis>,
    pub members: Option<Millis>,
}

impl Waits {
    /// The proxy has asked again, with a newer state or another list than before.
    pub fn polled(&mut self, newer_state: bool, other_list: bool) {
        if newer_state {
            self.state = None;
        }
        if other_list {
            self.list = None;
        }
    }

    /// Notes of which kinds there is news for the proxy now.
    pub fn see(&mut self, now: Millis, state: bool, list: bool, members: bool) {
        self.state = state.then(|| self.state.unwrap_or(now));
        self.list = list.then(|| self.list.unwrap_or(now));
        self.members = members.then(|| self.members.unwrap_or(now));
    }

    pub fn state_is_due(&self, now: Millis) -> bool {
        is_due(now, self.state)
    }

    pub fn list_is_due(&self, now: Millis) -> bool {
        is_due(now, self.list)
    }

    pub fn members_are_due(&self, now: Millis) -> bool {
        is_due(now, self.members)
    }
}

fn is_due(now: Millis, since: Option<Millis>) -> bool {
    since.is_some_and(|since| now >= since + SECOND)
}
