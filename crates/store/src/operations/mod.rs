//! Records of operations, replicated by the leading store.
//!
//! [`OperationReplica`] does no I/O, like [`crate::consensus::Replica`]: its owner passes it [`Event`]s and carries out
//! the [`Effect`]s that it returns. It has no election of its own, but uses the epochs of the consensus core, whose
//! state it gets by [`OperationReplica::observe`].
//!
//! Records are a set of entries that are merged in any order ([`OperationTable::merge`]), not an ordered log, so they
//! are replicated by quorum:
//!
//! - A claim is granted when a majority of the voters has it on disk. A store accepts records only of the epoch
//!   that it has promised.
//! - Before a new leader answers any request, it merges the records of a majority of the voters of each replica set
//!   that was reported in the promises for its epoch. These voters accept no records of a lower epoch any more, and any
//!   two majorities have a store in common, so the leader then has each claim that was granted.
//! - A learner gets a vote only when it has all records, and no claim is granted meanwhile. So after the change, too,
//!   each granted claim is at a majority of the voters.
//!
//! Modules: `appends` has the actions that wait for the disk, `leader` answers requests, `batches` replicates records,
//! `recovery` is the start of a leader, `peers` brings other stores up to date, and `follower` handles a leader's
//! messages.

mod appends;
mod batches;
mod event;
mod follower;
mod leader;
mod peers;
mod recovery;

pub use event::{AppendNumber, ConsensusView, Effect, Event, Leadership};

use crate::consensus::EpochRejection;
use appends::WaitingForAppend;
use batches::Batches;
use peers::PeerSync;
use recovery::Recovery;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use violetyoke_idempotency::{Millis, OperationTable, TableOptions};
use violetyoke_transport::messages::{Epoch, OperationMessage, OperationRecord, StoreId, StoreNode};

/// The role of a store in the replication of records.
#[derive(Clone, Debug)]
enum Role {
    /// Accepts the records that a leader sends.
    Follower,
    /// Leads, and merges the records of the voters.
    Recovering(Recovery),
    /// Leads, and answers requests.
    Active(Active),
}

/// The state of a leader that has each granted claim.
#[derive(Clone, Debug)]
struct Active {
    batches: Batches,
    peers: PeerSync,
}

/// The newest batch received from a leader, and its epoch.
#[derive(Clone, Copy, Debug, Default)]
struct NewestBatch {
    epoch: Epoch,
    batch: u64,
}

/// One replica of the records: a state machine that does no I/O itself.
#[derive(Clone, Debug)]
pub struct OperationReplica {
    local: StoreNode,
    /// The time of the event that is being handled.
    now: Millis,
    view: ConsensusView,
    table: OperationTable,
    newest_batch: NewestBatch,
    role: Role,
    /// The highest promise with which another store has rejected the epoch that this store leads.
    rejection: Option<EpochRejection>,
    last_append: AppendNumber,
    appended: AppendNumber,
    awaiting_append: VecDeque<WaitingForAppend>,
    effects: Vec<Effect>,
}

impl OperationReplica {
    /// Creates a replica with the records of its log. The age of each record counts from now.
    #[must_use]
    pub fn new(
        local: StoreNode,
        options: TableOptions,
        records: Vec<OperationRecord>,
        now: Millis,
    ) -> OperationReplica {
        let mut table = OperationTable::new(options);
        for record in records {
            table.merge(now, record);
        }
        OperationReplica {
            local,
            now,
            view: ConsensusView::default(),
            table,
            newest_batch: NewestBatch::default(),
            role: Role::Follower,
            rejection: None,
            last_append: AppendNumber::default(),
            appended: AppendNumber::default(),
            awaiting_append: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// Updates the replica's view of the consensus core. Has to be called after each event of the core, before the next
    /// event of this replica.
    #[must_use]
    pub fn observe(&mut self, now: Millis, view: ConsensusView) -> Vec<Effect> {
        self.now = now;
        let previous_epoch = self.view.leadership.as_ref().map(|leadership| leadership.epoch);
        let led_epoch = view.leadership.as_ref().map(|leadership| leadership.epoch);
        self.view = view;
        if previous_epoch != led_epoch {
            self.rejection = None;
            self.stop_leading();
            if led_epoch.is_some() {
                self.start_recovery();
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Handles one event; the caller has to carry out the effects in order. `now` must not decrease.
    #[must_use]
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Effect> {
        self.now = now;
        match event {
            Event::Request { client, request } => self.on_request(client, request),
            Event::Message { from, message } => self.on_message(&from, message),
            Event::Appended(number) => self.on_appended(number),
            Event::Tick => self.on_tick(),
        }
        std::mem::take(&mut self.effects)
    }

    /// The awaited learners, if all of them have all records now and no claim is granted; otherwise none.
    #[must_use]
    pub fn complete_learners(&self) -> Vec<StoreId> {
        match &self.role {
            Role::Active(active) => active.complete_learners(&self.view),
            Role::Recovering(_) | Role::Follower => Vec::new(),
        }
    }

    /// Set if another store rejects the records of the epoch that this store leads: the core has to start a higher
    /// epoch.
    #[must_use]
    pub fn rejection(&self) -> Option<EpochRejection> {
        self.rejection
    }

    /// Whether this store leads and answers requests.
    #[must_use]
    pub fn is_active(&self) -> bool {
        matches!(self.role, Role::Active(_))
    }

    /// The epoch that this store has promised: it accepts records only of this epoch.
    #[must_use]
    pub fn promised(&self) -> Epoch {
        self.view.promised
    }

    /// The epoch that this store leads.
    #[must_use]
    pub fn led_epoch(&self) -> Option<Epoch> {
        self.view.leadership.as_ref().map(|leadership| leadership.epoch)
    }

    /// The records of this store.
    #[must_use]
    pub fn table(&self) -> &OperationTable {
        &self.table
    }

    fn on_message(&mut self, from: &StoreNode, message: OperationMessage) {
        if from.ip == self.local.ip {
            return;
        }
        match message {
            OperationMessage::Append { epoch, batch, records } => self.on_append(from, epoch, batch, records),
            OperationMessage::ReadDigests { epoch } => self.on_read_digests(from, epoch),
            OperationMessage::ReadBuckets { epoch, buckets } => self.on_read_buckets(from, epoch, &buckets),
            OperationMessage::Offer { epoch, through, digests } => {
                self.on_offer(from, epoch, through, &digests);
            }
            OperationMessage::Fill { epoch, through, contents } => {
                self.on_fill(from, epoch, through, contents);
            }
            OperationMessage::Digests { epoch, digests } => self.on_digests(from, epoch, &digests),
            OperationMessage::Buckets { epoch, contents } => self.on_buckets(from, epoch, contents),
            OperationMessage::Appended { epoch, batch } => self.on_batch_appended(from.id, epoch, batch),
            OperationMessage::Wanted { epoch, buckets } => self.on_wanted(from, epoch, &buckets),
            OperationMessage::Synced { epoch, through } => self.on_synced(from.id, epoch, through),
            OperationMessage::Rejected { epoch, promised } => self.on_rejected(epoch, promised),
        }
    }

    fn on_tick(&mut self) {
        self.table.expire(self.now);
        match &self.role {
            Role::Follower => {}
            Role::Recovering(_) => self.continue_recovery(),
            Role::Active(_) => {
                self.sync_peers();
                self.start_next_batch();
            }
        }
    }

    fn send(&mut self, to: Ipv4Addr, message: OperationMessage) {
        self.effects.push(Effect::Send { to: vec![to], message });
    }
}
