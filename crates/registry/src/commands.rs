//! Forwards operators' commands to the leading store; without sockets and clocks.
//!
//! A command is sent once on each connection to a leader, until a leader answers or the command times out. Each
//! request has its own id. A response is accepted only if it has that id and arrived on the connection on which the
//! request was sent.

use crate::Millis;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Command, Outcome};

/// A command that no store answers within this time (ms) has an unknown outcome. Operators' clients try another
/// registry if they get no response for a second, so they would not receive a later response.
pub const RESPONSE_TIMEOUT: Millis = 900;
/// The longest time (ms) from the failure of a leader until the next one is known here. If no leader has been known
/// for longer, this registry or the core is partitioned.
pub const FAILOVER_TIMEOUT: Millis = 1_500;
/// Replaces [`RESPONSE_TIMEOUT`] (ms) while this registry or the core is partitioned.
pub const PARTITIONED_RESPONSE_TIMEOUT: Millis = 250;
/// Delay (ms) before a command is sent again after a store has answered that it is not the leader.
const NOT_LEADER_RETRY_DELAY: Millis = 40;

/// Identifies a command at this registry: ids ascend in the order of submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CommandId(u64);

/// One connection to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreConnection {
    /// The store's address.
    pub store: Ipv4Addr,
    /// The number of connections to that store so far, including this one.
    pub generation: u64,
}

/// A request to be sent to the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandRequest {
    /// Repeated by the store in its response.
    pub request_id: u64,
    /// What the store is to execute.
    pub command: Command,
}

/// A store's response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandResponse {
    /// The connection on which it came.
    pub from: StoreConnection,
    /// The id of the request.
    pub request_id: u64,
    /// The outcome of the command.
    pub outcome: Outcome,
}

/// A command that has an outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedCommand {
    /// The command's id.
    pub id: CommandId,
    /// The command's outcome.
    pub outcome: Outcome,
}

/// The requests and time-outs that are due.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use]
pub struct Dispatch {
    /// Requests to be sent to the leader.
    pub requests: Vec<CommandRequest>,
    /// Commands that have timed out. They may still take effect.
    pub timed_out: Vec<CommandId>,
}

/// One request that has been sent for a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentRequest {
    to: StoreConnection,
    request_id: u64,
}

#[derive(Clone, Debug)]
struct PendingCommand {
    command: Command,
    submitted_at: Millis,
    sent: Option<SentRequest>,
    not_before: Millis,
}

/// Tracks the commands that have no outcome yet, and decides when they are sent.
#[derive(Clone, Debug)]
pub struct CommandDispatcher {
    pending: BTreeMap<CommandId, PendingCommand>,
    last_command_id: u64,
    last_request_id: u64,
    leaderless_since: Option<Millis>,
}

impl CommandDispatcher {
    /// A dispatcher without commands. Request ids start at the random `incarnation`, so that successive incarnations
    /// of a registry do not use the same ids.
    pub fn new(incarnation: u64) -> CommandDispatcher {
        CommandDispatcher {
            pending: BTreeMap::new(),
            last_command_id: 0,
            last_request_id: incarnation,
            leaderless_since: None,
        }
    }

    /// Adds a command; it is sent at the next call of [`CommandDispatcher::dispatch`].
    #[must_use = "the id is needed to match the command with its outcome"]
    pub fn submit(&mut self, now: Millis, command: Command) -> CommandId {
        self.last_command_id += 1;
        let id = CommandId(self.last_command_id);
        self.pending.insert(id, PendingCommand { command, submitted_at: now, sent: None, not_before: 0 });
        id
    }

    /// Removes a command whose operator no longer waits for the outcome. The command may have been sent already.
    pub fn cancel(&mut self, id: CommandId) {
        self.pending.remove(&id);
    }

    /// Returns the requests and time-outs that are due at `now`. `leader` is the connection to the leading store, if
    /// one is known.
    pub fn dispatch(&mut self, now: Millis, leader: Option<StoreConnection>) -> Dispatch {
        let timed_out = self.expire(now, leader.is_some());
        let requests = leader.map(|leader| self.requests_to(now, leader)).unwrap_or_default();
        Dispatch { requests, timed_out }
    }

    /// Handles a store's response. Returns the command that it completes; `None` if the response is to an earlier
    /// request, came on another connection, or says that the store is not the leader.
    #[must_use = "the operator that submitted the command waits for its outcome"]
    pub fn complete(&mut self, now: Millis, response: CommandResponse) -> Option<CompletedCommand> {
        let answered = SentRequest { to: response.from, request_id: response.request_id };
        let (id, command) = self.pending.iter_mut().find(|(_, command)| command.sent == Some(answered))?;
        if response.outcome == Outcome::NotLeader {
            command.sent = None;
            command.not_before = now + NOT_LEADER_RETRY_DELAY;
            return None;
        }
        let id = *id;
        self.pending.remove(&id);
        Some(CompletedCommand { id, outcome: response.outcome })
    }

    /// Handles the end of a connection to a store: commands that were sent on it will be sent again.
    pub fn connection_lost(&mut self, connection: StoreConnection) {
        for command in self.pending.values_mut() {
            if command.sent.is_some_and(|sent| sent.to == connection) {
                command.sent = None;
            }
        }
    }

    fn requests_to(&mut self, now: Millis, leader: StoreConnection) -> Vec<CommandRequest> {
        let mut requests = Vec::new();
        for pending in self.pending.values_mut() {
            let is_sent = pending.sent.is_some_and(|sent| sent.to == leader);
            if is_sent || now < pending.not_before {
                continue;
            }
            self.last_request_id = self.last_request_id.wrapping_add(1);
            let request_id = self.last_request_id;
            pending.sent = Some(SentRequest { to: leader, request_id });
            requests.push(CommandRequest { request_id, command: pending.command.clone() });
        }
        requests
    }

    fn expire(&mut self, now: Millis, has_leader: bool) -> Vec<CommandId> {
        self.leaderless_since = if has_leader { None } else { self.leaderless_since.or(Some(now)) };
        let is_partitioned = self.leaderless_since.is_some_and(|since| now > since + FAILOVER_TIMEOUT);
        let timeout = if is_partitioned { PARTITIONED_RESPONSE_TIMEOUT } else { RESPONSE_TIMEOUT };
        let expired = self.pending.iter().filter(|(_, command)| now > command.submitted_at + timeout);
        let expired: Vec<CommandId> = expired.map(|(id, _)| *id).collect();
        self.pending.retain(|id, _| !expired.contains(id));
        expired
    }
}
