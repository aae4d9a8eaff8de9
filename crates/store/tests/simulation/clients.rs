//! Commands of clients, their replies, and the checks on replies and on states that stores show.

use super::{Cluster, Millis};
use violetyoke_store::consensus::{ClientId, Event};
use violetyoke_transport::messages::{Command, ControlState, Outcome};

/// A command that has no reply yet.
#[derive(Clone, Debug)]
pub struct OpenCommand {
    command: Command,
    /// The newest acknowledged version at the time of sending.
    acknowledged_before: u64,
    sent_at: Millis,
}

/// A reply as received by the client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub outcome: Outcome,
    pub received_at: Millis,
}

/// An older command without a reply doesn't count as in flight: its leader waits for a new epoch, or its store is down.
const MAX_IN_FLIGHT_AGE: Millis = 300;

impl Cluster {
    /// Sends a command to a store as a new client, whose id is returned.
    pub fn submit(&mut self, n: usize, command: Command) -> ClientId {
        let client = self.next_client();
        if let Command::Replace { version, text } = &command {
            let texts = self.sent_texts.entry(*version).or_default();
            if !texts.contains(text) {
                texts.push(text.clone());
            }
        }
        self.history.invoked(client, &command);
        let open = OpenCommand {
            command: command.clone(),
            acknowledged_before: self.acknowledged_version,
            sent_at: self.now,
        };
        self.open_commands.insert(client, open);
        self.handle(n, Event::Command { client, command });
        client
    }

    pub(super) fn next_client(&mut self) -> ClientId {
        self.last_client = ClientId(self.last_client.0 + 1);
        self.last_client
    }

    /// The reply that a client has received, if any.
    pub fn reply_to(&self, client: ClientId) -> Option<&Reply> {
        self.replies.get(&client)
    }

    /// Whether a command other than a read was sent within the last `MAX_IN_FLIGHT_AGE` and has no reply.
    pub fn has_command_in_flight(&self) -> bool {
        let is_in_flight = |open: &OpenCommand| {
            self.now <= open.sent_at + MAX_IN_FLIGHT_AGE && open.command != Command::Read
        };
        self.open_commands.values().rev().take(20).any(is_in_flight)
    }

    /// Whether the newest replica set changes the voters and is not yet known to be installed.
    pub fn is_reconfiguring(&self) -> bool {
        !self.newest_config.previous_voters.is_empty()
    }

    /// Records a violation if no operator has sent this state; `source` says how the state became visible.
    pub(super) fn check_was_sent(&mut self, state: &ControlState, source: &str) {
        let was_sent = self.sent_texts.get(&state.version).is_some_and(|texts| texts.contains(&state.text));
        if state.version > 0 && !was_sent {
            self.violations
                .push(format!("{source}: version {} has a text that no operator has sent", state.version));
        }
    }

    pub(super) fn on_reply(&mut self, client: ClientId, outcome: Outcome) {
        let open = self.open_commands.remove(&client).expect("a command gets at most one reply");
        if outcome == Outcome::Acknowledged {
            self.last_acknowledged_at = Some(self.now);
        }
        if self.random.below(100) < self.reply_loss_percent {
            return;
        }
        self.history.answered(client, &outcome);
        match (&open.command, &outcome) {
            (Command::Replace { version, .. }, Outcome::Acknowledged) => {
                self.acknowledged_count += 1;
                self.acknowledged_version = self.acknowledged_version.max(*version);
            }
            (Command::Read, Outcome::Read(state)) => self.on_read(&open, state),
            _ => {}
        }
        self.replies.insert(client, Reply { outcome, received_at: self.now });
    }

    /// Records a violation if a read returns an older version than was acknowledged before the read was sent.
    fn on_read(&mut self, open: &OpenCommand, state: &ControlState) {
        self.read_count += 1;
        self.check_was_sent(state, "read");
        if state.version < open.acknowledged_before {
            let (now, read, acknowledged) = (self.now, state.version, open.acknowledged_before);
            self.violations.push(format!("{now} ms: read {read} after {acknowledged} was acknowledged"));
        }
    }
}
