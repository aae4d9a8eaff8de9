//! Sends operators' commands to the leading store, and returns their outcomes to the callers.

use super::stores::LeaderConnection;
use crate::commands::{CommandDispatcher, CommandId, CommandRequest, CommandResponse, StoreConnection};
use crate::Millis;
use std::collections::BTreeMap;
use tokio::sync::oneshot;
use violetyoke_transport::codec::encode_deflated;
use violetyoke_transport::messages::{Command, Outcome, StoreRequest};

pub(super) struct CommandClient {
    dispatcher: CommandDispatcher,
    /// The channels to the callers. Dropping one tells the caller that the outcome of its command is unknown.
    waiters: BTreeMap<CommandId, oneshot::Sender<Outcome>>,
}

impl CommandClient {
    /// `incarnation` is a random number that no other process has.
    pub(super) fn new(incarnation: u64) -> CommandClient {
        CommandClient { dispatcher: CommandDispatcher::new(incarnation), waiters: BTreeMap::new() }
    }

    /// Sends a command to the leader, now or as soon as one is known. The receiver fails if the outcome stays
    /// unknown. If the receiver is dropped, the command is no longer sent.
    pub(super) fn submit(
        &mut self,
        now: Millis,
        command: Command,
        leader: Option<LeaderConnection<'_>>,
    ) -> oneshot::Receiver<Outcome> {
        let (waiter, outcome) = oneshot::channel();
        let id = self.dispatcher.submit(now, command);
        self.waiters.insert(id, waiter);
        self.dispatch(now, leader);
        outcome
    }

    /// Sends the commands that are due, and drops those that have timed out or whose callers no longer wait.
    pub(super) fn dispatch(&mut self, now: Millis, leader: Option<LeaderConnection<'_>>) {
        self.cancel_abandoned();
        let dispatch = self.dispatcher.dispatch(now, leader.as_ref().map(|leader| leader.id));
        for id in dispatch.timed_out {
            self.waiters.remove(&id);
        }
        let Some(leader) = leader else { return };
        for CommandRequest { request_id, command } in dispatch.requests {
            leader.sender.send(encode_deflated(&StoreRequest::Execute { request_id, command }));
        }
    }

    /// Handles a store's response.
    pub(super) fn complete(&mut self, now: Millis, response: CommandResponse) {
        let Some(completed) = self.dispatcher.complete(now, response) else { return };
        if let Some(waiter) = self.waiters.remove(&completed.id) {
            // Sending fails if the operator has closed its connection; the outcome is not needed then.
            drop(waiter.send(completed.outcome));
        }
    }

    pub(super) fn connection_lost(&mut self, connection: StoreConnection) {
        self.dispatcher.connection_lost(connection);
    }

    /// Whether no caller waits for the outcome of a command.
    pub(super) fn is_idle(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Cancels the commands whose operators have closed their connections.
    fn cancel_abandoned(&mut self) {
        let dispatcher = &mut self.dispatcher;
        self.waiters.retain(|id, waiter| {
            let is_abandoned = waiter.is_closed();
            if is_abandoned {
                dispatcher.cancel(*id);
            }
            !is_abandoned
        });
    }
}
