//! Runs the operation replica: updates its view of the consensus core, and carries out its effects.

use super::links::Links;
use super::operation_log_writer::OperationLogWriter;
use crate::consensus::Replica;
use crate::disk::operation_log::AppendError;
use crate::operations::{AppendNumber, ConsensusView, Effect, Event, Leadership, OperationReplica};
use slog::{info, warn, Logger};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use violetyoke_api::Settings;
use violetyoke_idempotency::TableOptions;
use violetyoke_transport::codec::encode;
use violetyoke_transport::messages::{
    OperationMessage, OperationRecord, StoreNode, StoreReply, StoreRequest,
};

/// The maximum memory for records (bytes): less than half of that of the smallest supported core machine.
const MAX_RECORD_BYTES: usize = 112 << 20;
/// The maximum size of the log of records on disk (bytes).
pub(super) const MAX_LOG_BYTES: u64 = 160 << 20;

/// The time that the replicas' clock shows when the store starts (ms).
pub(super) const STARTED_AT: u64 = 1;

/// The operation replica and its log.
pub(super) struct Operations {
    replica: OperationReplica,
    records: OperationLogWriter,
    /// The region of each zone.
    regions: BTreeMap<String, String>,
    log: Logger,
}

impl Operations {
    pub(super) fn new(
        core: &Replica,
        settings: &Settings,
        writer: OperationLogWriter,
        records: Vec<OperationRecord>,
        log: Logger,
    ) -> Operations {
        let window_ms = settings.terms.bounds.dedup_window_s.to_millis();
        let options = TableOptions { window_ms, max_bytes: MAX_RECORD_BYTES };
        let replica = OperationReplica::new(core.node().clone(), options, records, STARTED_AT);
        Operations { replica, records: writer, regions: settings.network.zones.clone(), log }
    }

    /// Whether the log completes its appends in time.
    pub(super) fn is_disk_healthy(&self) -> bool {
        self.records.is_healthy()
    }

    /// Reports complete learners and rejections to the consensus core. Has to be called before each of its ticks.
    pub(super) fn update_core(&self, core: &mut Replica) {
        core.set_complete_learners(self.replica.complete_learners());
        core.set_rejection(self.replica.rejection());
    }

    /// Updates the replica's view of the consensus core. Has to be called after each event of the core.
    pub(super) fn observe(&mut self, now: u64, core: &Replica, links: &mut Links) {
        let effects = self.replica.observe(now, self.consensus_view(core));
        self.carry_out(effects, core.node(), links);
    }

    /// Passes an event to the replica.
    pub(super) fn step(&mut self, now: u64, event: Event, local: &StoreNode, links: &mut Links) {
        let effects = self.replica.handle(now, event);
        self.carry_out(effects, local, links);
    }

    /// Records that all appends up to this one are on the disk; returns the event for the replica.
    pub(super) fn on_appended(&mut self, number: AppendNumber) -> Event {
        if self.records.on_appended(number) {
            info!(self.log, "appends to the log of operations succeed again");
        }
        Event::Appended(number)
    }

    /// Records that an append has failed. The log repeats it.
    pub(super) fn on_append_failed(&mut self, error: &AppendError) {
        if self.records.on_append_failed() {
            warn!(self.log, "appends to the log of operations fail"; "error" => #error);
        }
    }

    fn carry_out(&mut self, effects: Vec<Effect>, local: &StoreNode, links: &mut Links) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => send(&to, local, message, links),
                Effect::Append { number, records } => self.records.append(number, records),
                Effect::Reply { client, reply } => links
                    .accepted
                    .reply(client, |request_id| encode(&StoreReply::Operation { request_id, reply })),
            }
        }
    }

    /// The state of the consensus core that the replica needs.
    fn consensus_view(&self, core: &Replica) -> ConsensusView {
        let leadership = core.is_leader().then(|| Leadership {
            epoch: core.epoch(),
            voters: core.voters().to_vec(),
            voter_regions: self.regions_of(core.voters()),
            previous_voters: core.base_voters().to_vec(),
            live_peers: core.live_peers(),
            awaited_learners: core.awaited_learners().to_vec(),
        });
        ConsensusView { promised: core.promised(), leadership }
    }

    /// The regions of these stores. The region of a zone that the settings lack is the empty name, which matches none.
    fn regions_of(&self, stores: &[StoreNode]) -> Vec<String> {
        let region = |store: &StoreNode| self.regions.get(&store.zone).cloned().unwrap_or_default();
        let regions: BTreeSet<String> = stores.iter().map(region).collect();
        regions.into_iter().collect()
    }
}

/// Sends a message to other stores. Messages stay in order, because a store compares an offer with earlier batches.
fn send(to: &[Ipv4Addr], local: &StoreNode, message: OperationMessage, links: &Links) {
    if to.is_empty() {
        return;
    }
    let bytes = encode(&StoreRequest::Replication { from: local.clone(), message });
    for store in to {
        if let Some(sender) = links.sender_to(*store) {
            sender.send(bytes.clone());
        }
    }
}
