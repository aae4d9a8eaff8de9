//! The history of client commands and their answers, in the order of occurrence. It is recorded by the clients, so it
//! doesn't depend on the state of any store.

use std::collections::{BTreeMap, BTreeSet};
use violetyoke_store::consensus::ClientId;
use violetyoke_transport::messages::{Command, ControlState, Outcome};

/// An answer that settles whether the command took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Acknowledged,
    Read(ControlState),
    /// Another text had been accepted under the version.
    Rejected,
}

/// An answer and the time of its arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Returned {
    pub at: u64,
    pub answer: Answer,
}

/// One command sent to one store; a retry is another operation. Times are positions in the history.
#[derive(Clone, Debug)]
pub struct Operation {
    pub command: Command,
    pub invoked_at: u64,
    /// `None` if there is no clear answer: the command may take effect at any later time, or never.
    pub returned: Option<Returned>,
}

/// All operations, in the order of their invocations.
#[derive(Default)]
pub struct History {
    last_position: u64,
    pub operations: Vec<Operation>,
    by_client: BTreeMap<ClientId, usize>,
}

impl History {
    pub fn invoked(&mut self, client: ClientId, command: &Command) {
        self.last_position += 1;
        self.by_client.insert(client, self.operations.len());
        let operation =
            Operation { command: command.clone(), invoked_at: self.last_position, returned: None };
        self.operations.push(operation);
    }

    pub fn answered(&mut self, client: ClientId, outcome: &Outcome) {
        let answer = match outcome {
            Outcome::Acknowledged => Answer::Acknowledged,
            Outcome::Read(state) => Answer::Read(state.clone()),
            Outcome::VersionTaken => Answer::Rejected,
            Outcome::NotLeader => return,
        };
        self.last_position += 1;
        if let Some(index) = self.by_client.remove(&client) {
            self.operations[index].returned = Some(Returned { at: self.last_position, answer });
        }
    }

    /// Versions under which two different texts were acknowledged or read.
    pub fn ambiguous_versions(&self) -> Vec<u64> {
        let mut texts: BTreeMap<u64, &str> = BTreeMap::new();
        let mut ambiguous = Vec::new();
        for operation in &self.operations {
            let Some((version, text)) = operation.confirmed_text() else { continue };
            if *texts.entry(version).or_insert(text) != text && !ambiguous.contains(&version) {
                ambiguous.push(version);
            }
        }
        ambiguous
    }

    /// Versions for which one request with a text was acknowledged and another with the same text was rejected.
    pub fn rejected_though_acknowledged(&self) -> Vec<u64> {
        let acknowledged: BTreeSet<(u64, &str)> = self.replaced(&Answer::Acknowledged).collect();
        let rejected = self.replaced(&Answer::Rejected);
        rejected
            .filter(|replacement| acknowledged.contains(replacement))
            .map(|(version, _)| version)
            .collect()
    }

    /// Version and text of each replacement with this answer.
    fn replaced<'a>(&'a self, wanted: &'a Answer) -> impl Iterator<Item = (u64, &'a str)> {
        self.operations.iter().filter_map(move |operation| match (&operation.command, &operation.returned) {
            (Command::Replace { version, text }, Some(returned)) if returned.answer == *wanted => {
                Some((*version, text.as_str()))
            }
            _ => None,
        })
    }
}

impl Operation {
    /// The version and the text that the answer confirms.
    fn confirmed_text(&self) -> Option<(u64, &str)> {
        match (&self.command, &self.returned.as_ref()?.answer) {
            (Command::Replace { version, text }, Answer::Acknowledged) => Some((*version, text.as_str())),
            (_, Answer::Read(state)) if state.version > 0 => Some((state.version, state.text.as_str())),
            _ => None,
        }
    }
}
