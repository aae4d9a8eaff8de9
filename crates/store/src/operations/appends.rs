//! Appends to the log, and the actions that wait for them.

use super::{AppendNumber, Effect, OperationReplica};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Epoch, OperationMessage, OperationRecord};

/// An action to take once an append is on the disk.
#[derive(Clone, Debug)]
pub(super) enum AfterAppend {
    /// Send a message to the leader.
    Send { to: Ipv4Addr, message: OperationMessage },
    /// Count a batch as appended by this store, the leader.
    OwnBatch { epoch: Epoch, batch: u64 },
}

#[derive(Clone, Debug)]
pub(super) struct WaitingForAppend {
    number: AppendNumber,
    then: AfterAppend,
}

impl OperationReplica {
    /// Requests an append of records, and takes the action `then`, if any, once they are on the disk.
    pub(super) fn append(&mut self, records: Vec<OperationRecord>, then: Option<AfterAppend>) {
        self.last_append = AppendNumber(self.last_append.0 + 1);
        self.effects.push(Effect::Append { number: self.last_append, records });
        if let Some(then) = then {
            self.after_appends(then);
        }
    }

    /// Takes the action `then` once all appends requested so far are on the disk.
    pub(super) fn after_appends(&mut self, then: AfterAppend) {
        self.awaiting_append.push_back(WaitingForAppend { number: self.last_append, then });
        self.run_after_appends();
    }

    pub(super) fn on_appended(&mut self, number: AppendNumber) {
        self.appended = self.appended.max(number);
        self.run_after_appends();
    }

    fn run_after_appends(&mut self) {
        while self.awaiting_append.front().is_some_and(|waiting| waiting.number <= self.appended) {
            match self.awaiting_append.pop_front().map(|waiting| waiting.then) {
                Some(AfterAppend::Send { to, message }) => self.send(to, message),
                Some(AfterAppend::OwnBatch { epoch, batch }) => {
                    self.on_batch_appended(self.local.id, epoch, batch);
                }
                None => {}
            }
        }
    }
}
