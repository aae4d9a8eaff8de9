//! Effects on their way out, and which writes they wait for.

use super::durable::DurableState;
use super::event::{ClientId, Effect, WriteNumber};
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Outcome, PeerMessage};

/// An effect that may not leave before a write is on the disk.
#[derive(Clone, Debug)]
struct Waiting {
    after: WriteNumber,
    effect: Effect,
}

/// Collects the effects of an event.
///
/// Invariant: nothing that rests on a state leaves before that state is on this store's disk. Paxos demands that an
/// acceptor records its promise or acceptance in stable storage before it answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// The last write that the disk was asked for, and the last that it has completed.
    requested: WriteNumber,
    persisted: WriteNumber,
    awaiting_fsync: VecDeque<Waiting>,
    ready: Vec<Effect>,
}

impl Outbox {
    /// Asks for a state to be persisted; what is pushed by the `_after_fsync` methods from now on waits for it.
    pub(super) fn persist(&mut self, state: DurableState) {
        self.requested = WriteNumber(self.requested.0 + 1);
        self.ready.push(Effect::Persist { number: self.requested, state });
    }

    /// The disk has completed all writes up to this one.
    pub(super) fn on_persisted(&mut self, number: WriteNumber) {
        self.persisted = self.persisted.max(number);
    }

    /// The last write that was asked for.
    pub(super) fn last_requested(&self) -> WriteNumber {
        self.requested
    }

    pub(super) fn is_persisted(&self, number: WriteNumber) -> bool {
        number <= self.persisted
    }

    /// The disk has the state as it is in memory.
    pub(super) fn is_all_persisted(&self) -> bool {
        self.persisted == self.requested
    }

    /// Sends a message that promises nothing in the name of this store's disk.
    pub(super) fn send_now(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.ready.push(Effect::Send { to, message });
    }

    /// Sends a message once all that it may rest on is on the disk.
    pub(super) fn send_after_fsync(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.push_after_fsync(Effect::Send { to, message });
    }

    /// Replies with an outcome that rests on no state of this store.
    pub(super) fn reply_now(&mut self, client: ClientId, outcome: Outcome) {
        self.ready.push(Effect::Reply { client, outcome });
    }

    /// Replies once all that the outcome may rest on is on the disk.
    pub(super) fn reply_after_fsync(&mut self, client: ClientId, outcome: Outcome) {
        self.push_after_fsync(Effect::Reply { client, outcome });
    }

    pub(super) fn notify_watchers_now(&mut self) {
        self.ready.push(Effect::NotifyWatchers);
    }

    pub(super) fn notify_watchers_after_fsync(&mut self) {
        self.push_after_fsync(Effect::NotifyWatchers);
    }

    /// All effects that may leave by now, in order.
    #[must_use]
    pub(super) fn take_ready(&mut self) -> Vec<Effect> {
        while self.awaiting_fsync.front().is_some_and(|waiting| waiting.after <= self.persisted) {
            self.ready.extend(self.awaiting_fsync.pop_front().map(|waiting| waiting.effect));
        }
        std::mem::take(&mut self.ready)
    }

    fn push_after_fsync(&mut self, effect: Effect) {
        self.awaiting_fsync.push_back(Waiting { after: self.requested, effect });
    }
}
