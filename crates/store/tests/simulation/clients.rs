//! What clients were answered, and what must hold of it.

use super::{Cluster, Millis};
use violetyoke_transport::messages::{Command, ControlState, Outcome};

/// What a client waits for, and what had been acknowledged when it asked.
#[derive(Clone, Debug)]
pub struct Asked {
    pub order: Command,
    pub acked: u64,
    pub at: Millis,
}

/// An order that waits longer than this waits for an epoch, or its store is gone.
const UNDER_WAY: Millis = 300;

impl Cluster {
    /// A change has been sent a short while ago, and is not answered.
    pub fn order_pending(&self) -> bool {
        let recent = |asked: &Asked| self.now <= asked.at + UNDER_WAY && asked.order != Command::Read;
        self.asked.values().rev().take(20).any(recent)
    }

    /// The newest replica set names other voters than the one before it, and is not known to be installed.
    pub fn voters_changing(&self) -> bool {
        !self.newest_config.previous_voters.is_empty()
    }

    /// A configuration that anybody is told must be one that was sent.
    pub(super) fn known(&mut self, held: &ControlState, how: &str) {
        let sent = self.sent.get(&held.version).is_some_and(|texts| texts.contains(&held.text));
        if held.version > 0 && !sent {
            self.broken.push(format!("{how}: version {} is not what was sent under it", held.version));
        }
    }

    pub(super) fn answered(&mut self, client: u64, outcome: Outcome) {
        let Some(asked) = self.asked.remove(&client) else { return };
        if outcome == Outcome::Acknowledged {
            self.acknowledged_at = Some(self.now);
        }
        if self.random.below(100) < self.answers_lost {
            return;
        }
        self.history.answered(client, &outcome);
        match (&asked.order, &outcome) {
            (Command::Replace { version, .. }, Outcome::Acknowledged) => {
                self.acks += 1;
                self.acked = self.acked.max(*version);
            }
            (Command::Read, Outcome::Read(held)) => {
                self.reads += 1;
                self.known(held, "read");
                if held.version < asked.acked {
                    let now = self.now;
                    self.broken.push(format!(
                        "{now} ms: read {} after {} was acknowledged",
                        held.version, asked.acked
                    ));
                }
            }
            _ => {}
        }
        self.answers.insert(client, outcome);
    }
}
