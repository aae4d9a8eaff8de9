//! The sequential register that the stores must look like: a configuration under its version, and the evacuated zones.

use super::history::Answer;
use std::collections::BTreeSet;
use violetyoke_transport::messages::{Command, ControlState};

/// The state of the register; texts are borrowed from the history.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Register<'a> {
    pub version: u64,
    text: &'a str,
    evacuated: BTreeSet<&'a str>,
}

/// A change of one zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Evacuation<'a> {
    pub zone: &'a str,
    /// Whether the zone is to be emptied.
    pub empty: bool,
}

impl<'a> Register<'a> {
    /// The register after a command that got this answer; `None` if it can't have got it in this state.
    pub fn apply(&self, command: &'a Command, answer: &Answer) -> Option<Register<'a>> {
        match (command, answer) {
            (Command::Replace { version, text }, Answer::Acknowledged) if *version > self.version => {
                Some(self.replaced(*version, text))
            }
            // The version in force is acknowledged for its own text alone.
            (Command::Replace { version, text }, Answer::Acknowledged) => {
                (*version < self.version || *text == self.text).then(|| self.clone())
            }
            (Command::Replace { version, text }, Answer::Rejected) => {
                let is_in_force = *version == self.version && *text == self.text;
                (*version <= self.version && !is_in_force).then(|| self.clone())
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
