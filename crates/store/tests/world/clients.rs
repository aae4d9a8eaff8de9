//! What clients were answered, and what must hold of it.

use super::World;
use violetyoke_transport::messages::{ControlState, Order, Outcome};

/// What a client waits for, and what had been acknowledged when it asked.
#[derive(Clone, Debug)]
pub struct Asked {
    pub order: Order,
    pub acked: u64,
}

impl World {
    /// A configuration that anybody is told must be one that was sent.
    pub(super) fn known(&mut self, held: &ControlState, how: &str) {
        if held.version > 0 && self.sent.get(&held.version) != Some(&held.text) {
            self.broken.push(format!("{how}: version {} is not what was sent under it", held.version));
        }
    }

    pub(super) fn answered(&mut self, client: u64, outcome: Outcome) {
        let Some(asked) = self.asked.remove(&client) else { return };
        match (asked.order, outcome) {
            (Order::Replace { version, .. }, Outcome::Acknowledged) => {
                self.acks += 1;
                self.acked = self.acked.max(version);
            }
            (Order::Read, Outcome::Read(held)) => {
                self.reads += 1;
                self.known(&held, "read");
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
    }
}
