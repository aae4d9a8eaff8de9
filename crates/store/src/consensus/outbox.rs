//! The queue of effects, some of which wait for a write to the disk.

use super::durable::DurableState;
use super::event::{ClientId, Effect, WriteNumber};
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Outcome, PeerMessage};

/// An effect that must not be carried out before a write is on the disk.
#[derive(Clone, Debug)]
struct DelayedEffect {
    after: WriteNumber,
    effect: Effect,
}

/// Collects the effects of an event.
///
/// Invariant: an effect that depends on a state is not returned before that state is on this store's disk. Paxos
/// requires that an acceptor records its promise or acceptance in stable storage before it answers.
#[derive(Clone, Debug, Default)]
pub(super) struct Outbox {
    /// The last write that was requested.
    requested: WriteNumber,
    /// The last write that the disk has completed.
    persisted: WriteNumber,
    awaiting_fsync: VecDeque<DelayedEffect>,
    ready: Vec<Effect>,
}

impl Outbox {
    /// Requests that a state is persisted. Effects that the `_after_fsync` methods add from now on wait for this write.
    pub(super) fn persist(&mut self, state: DurableState) {
        self.requested = WriteNumber(self.requested.0 + 1);
        self.ready.push(Effect::Persist { number: self.requested, state });
    }

    /// Records that the disk has completed all writes up to this one.
    pub(super) fn on_persisted(&mut self, number: WriteNumber) {
        self.persisted = self.persisted.max(number);
    }

    /// The last write that was requested, for comparison with [`Outbox::is_persisted`].
    pub(super) fn last_requested(&self) -> WriteNumber {
        self.requested
    }

    pub(super) fn is_persisted(&self, number: WriteNumber) -> bool {
        number <= self.persisted
    }

    /// Whether all requested writes are on the disk.
    pub(super) fn is_all_persisted(&self) -> bool {
        self.persisted == self.requested
    }

    /// Sends a message that doesn't depend on any state being on this store's disk.
    pub(super) fn send_now(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.ready.push(Effect::Send { to, message });
    }

    /// Sends a message once all writes requested so far are on the disk.
    pub(super) fn send_after_fsync(&mut self, to: Ipv4Addr, message: PeerMessage) {
        self.push_after_fsync(Effect::Send { to, message });
    }

    /// Replies with an outcome that doesn't depend on the state of this store.
    pub(super) fn reply_now(&mut self, client: ClientId, outcome: Outcome) {
        self.ready.push(Effect::Reply { client, outcome });
    }

    /// Replies once all writes requested so far are on the disk.
    pub(super) fn reply_after_fsync(&mut self, client: ClientId, outcome: Outcome) {
        self.push_after_fsync(Effect::Reply { client, outcome });
    }

    pub(super) fn notify_watchers_now(&mut self) {
        self.ready.push(Effect::NotifyWatchers);
    }

    pub(super) fn notify_watchers_after_fsync(&mut self) {
        self.push_after_fsync(Effect::NotifyWatchers);
    }

    /// Takes the effects that wait for no write, or no longer do, in order.
    #[must_use]
    pub(super) fn take_ready(&mut self) -> Vec<Effect> {
        while self.awaiting_fsync.front().is_some_and(|waiting| waiting.after <= self.persisted) {
            self.ready.extend(self.awaiting_fsync.pop_front().map(|waiting| waiting.effect));
        }
        std::mem::take(&mut self.ready)
    }

    fn push_after_fsync(&mut self, effect: Effect) {
        self.awaiting_fsync.push_back(DelayedEffect { after: self.requested, effect });
    }
}
