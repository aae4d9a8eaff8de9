//! The sequential specification of the stores: a register with a versioned configuration and the evacuated zones.

use super::history::Answer;
use std::collections::BTreeSet;
use violetyoke_transport::messages::{Command, ControlState};

/// The state of the register. Texts are borrowed from the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Register<'a> {
    pub version: u64,
    text: &'a str,
    evacuated: BTreeSet<&'a str>,
}

/// An evacuation command for one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evacuation<'a> {
    pub zone: &'a str,
    /// Whether the zone is evacuated, or put into use again.
    pub empty: bool,
}

impl<'a> Register<'a> {
    /// The register after a command with this answer; `None` if the command can't get this answer in this state.
    pub fn apply(&self, command: &'a Command, answer: &Answer) -> Option<Register<'a>> {
        match (command, answer) {
            (Command::Replace { version, text }, Answer::Acknowledged) if *version > self.version => {
                Some(self.replaced(*version, text))
            }
            // The current version is acknowledged only for its own text.
            (Command::Replace { version, text }, Answer::Acknowledged) => {
                (*version < self.version || *text == self.text).then(|| self.clone())
            }
            (Command::Replace { version, text }, Answer::Rejected) => {
                let is_current = *version == self.version && *text == self.text;
                (*version <= self.version && !is_current).then(|| self.clone())
            }
            (Command::Evacuate { zone, empty }, Answer::Acknowledged) => {
                Some(self.evacuated(Evacuation { zone, empty: *empty }))
            }
            (Command::Read, Answer::Read(state)) => self.equals(state).then(|| self.clone()),
            _ => None,
        }
    }

    pub fn replaced(&self, version: u64, text: &'a str) -> Register<'a> {
        Register { version, text, evacuated: self.evacuated.clone() }
    }

    pub fn evacuated(&self, evacuation: Evacuation<'a>) -> Register<'a> {
        let mut register = self.clone();
        if evacuation.empty {
            register.evacuated.insert(evacuation.zone);
        } else {
            register.evacuated.remove(evacuation.zone);
        }
        register
    }

    fn equals(&self, state: &ControlState) -> bool {
        let evacuated = state.evacuated.iter().map(String::as_str);
        state.version == self.version
            && state.text == self.text
            && evacuated.eq(self.evacuated.iter().copied())
    }
}
