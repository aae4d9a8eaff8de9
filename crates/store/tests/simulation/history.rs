//! What clients asked and what they were answered, in the order in which it happened: the operators' side configurations.

use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{Command, ControlState, Outcome};

/// A clear answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Acknowledged,
    Read(ControlState),
    /// Another text was accepted under the number.
    Refused,
}

/// One sending of an order to one store. Its place in the history counts, not its time.
#[derive(Clone, Debug)]
pub struct Operation {
    pub order: Command,
    pub invoked: u64,
    /// When its answer came, and which; nothing: it has none that is clear, and may take effect at any later time.
    pub returned: Option<(u64, Answer)>,
}

#[derive(Default)]
pub struct History {
    events: u64,
    pub operations: Vec<Operation>,
    places: BTreeMap<u64, usize>,
}

impl History {
    pub fn invoked(&mut self, client: u64, order: &Command) {
        self.events += 1;
        self.places.insert(client, self.operations.len());
        self.operations.push(Operation { order: order.clone(), invoked: self.events, returned: None });
    }

    pub fn answered(&mut self, client: u64, outcome: &Outcome) {
        let answer = match outcome {
            Outcome::Acknowledged => Answer::Acknowledged,
            Outcome::Read(held) => Answer::Read(held.clone()),
            Outcome::VersionTaken => Answer::Refused,
            Outcome::NotLeader => return,
        };
        self.events += 1;
        if let Some(place) = self.places.remove(&client) {
            self.operations[place].returned = Some((self.events, answer));
        }
    }

    /// Numbers under which two different texts were acknowledged or read.
    pub fn ambiguous_numbers(&self) -> Vec<u64> {
        let mut texts: BTreeMap<u64, &str> = BTreeMap::new();
        let mut ambiguous = Vec::new();
        for operation in &self.operations {
            let (version, text) = match (&operation.order, &operation.returned) {
                (Command::Replace { version, text }, Some((_, Answer::Acknowledged))) => {
                    (*version, text.as_str())
                }
                (_, Some((_, Answer::Read(held)))) if held.version > 0 => (held.version, held.text.as_str()),
                _ => continue,
            };
            if *texts.entry(version).or_insert(text) != text && !ambiguous.contains(&version) {
                ambiguous.push(version);
            }
        }
        ambiguous
    }

    /// Numbers under which the same text was acknowledged to one sending and refused to another.
    pub fn refused_though_acknowledged(&self) -> Vec<u64> {
        let answered = |wanted: Answer| {
            self.operations.iter().filter_map(move |operation| {
                match (&operation.order, &operation.returned) {
                    (Command::Replace { version, text }, Some((_, answer))) if *answer == wanted => {
                        Some((*version, text.as_str()))
                    }
                    _ => None,
                }
            })
        };
        let acknowledged: BTreeSet<(u64, &str)> = answered(Answer::Acknowledged).collect();
        answered(Answer::Refused)
            .filter(|order| acknowledged.contains(order))
            .map(|(version, _)| version)
            .collect()
    }
}
