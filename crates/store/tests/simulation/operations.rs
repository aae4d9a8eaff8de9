//! The replication of operations, which runs beside the consensus replica of each store: messages, logs and the
//! requests of proxies.

use super::events::Scheduled;
use super::network::Link;
use super::operation_log::PendingAppend;
use super::{Cluster, Millis};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use violetyoke_idempotency::TableOptions;
use violetyoke_store::consensus::{ClientId, Replica};
use violetyoke_store::operations::{
    AppendNumber, ConsensusView, Effect, Event, Leadership, OperationReplica,
};
use violetyoke_transport::messages::{OperationMessage, OperationReply, OperationRequest};

const MAX_RECORD_BYTES: usize = 64 << 20;
/// One in this many messages may overtake earlier ones.
const REORDER_ONE_IN: u64 = 50;

/// Additional state of a cluster whose stores replicate operations.
pub struct Operations {
    /// How long records of operations are kept.
    pub window: Millis,
    /// Replies that proxies have received.
    pub replies: BTreeMap<ClientId, OperationReply>,
    /// Negative control: a leader answers before it has read a majority, because it sees itself as the only previous
    /// voter.
    pub leaders_skip_recovery: bool,
    /// Negative control: learners become voters before they have all records.
    pub learners_skip_records: bool,
    /// Negative control: a store accepts records of epochs below the one that it has promised.
    pub stores_skip_epochs: bool,
    /// Percentage of offers that are lost, so that stores receive missed records late or never.
    pub offer_loss_percent: u64,
    /// Factor on the sync duration of the logs; 1 is the normal speed.
    pub log_slowness: u64,
    last_arrival: BTreeMap<Link, Millis>,
}

impl Operations {
    pub fn new(window: Millis) -> Operations {
        Operations {
            window,
            replies: BTreeMap::new(),
            leaders_skip_recovery: false,
            learners_skip_records: false,
            stores_skip_epochs: false,
            offer_loss_percent: 0,
            log_slowness: 1,
            last_arrival: BTreeMap::new(),
        }
    }
}

impl Cluster {
    /// The same as [`Cluster::new`], with stores that replicate operations.
    pub fn with_operations(seed: u64, machines: usize, fault_tolerance: u32, window: Millis) -> Cluster {
        Cluster::start_new(seed, machines, fault_tolerance, Some(Operations::new(window)))
    }

    pub(super) fn start_operations(&mut self, n: usize) {
        let Some(operations) = &self.operations else { return };
        let options = TableOptions { window_ms: operations.window, max_bytes: MAX_RECORD_BYTES };
        let machine = &mut self.machines[n];
        let Some(replica) = &machine.replica else { return };
        let records = machine.operation_log.synced.clone();
        let engine = OperationReplica::new(replica.node().clone(), options, records, self.now);
        machine.operations = Some(engine);
    }

    /// Passes the state of the operation replica to the consensus replica, before each of its ticks.
    pub(super) fn update_consensus(&mut self, n: usize) {
        let Some(operations) = &self.operations else { return };
        let machine = &mut self.machines[n];
        let (Some(replica), Some(engine)) = (&mut machine.replica, &machine.operations) else { return };
        replica.set_rejection(engine.rejection());
        if !operations.learners_skip_records {
            replica.set_complete_learners(engine.complete_learners());
        }
    }

    /// Passes the state of the consensus replica to the operation replica, after each event of the former.
    pub(super) fn observe_consensus(&mut self, n: usize) {
        let Some(operations) = &self.operations else { return };
        let machine = &mut self.machines[n];
        let (Some(replica), Some(engine)) = (&machine.replica, &mut machine.operations) else { return };
        let mut view = view_of(replica);
        if operations.leaders_skip_recovery {
            let local = replica.node().clone();
            view.leadership
                .iter_mut()
                .for_each(|leadership| leadership.previous_voters = vec![vec![local.clone()]]);
        }
        let effects = engine.observe(self.now, view);
        self.carry_out_operations(n, effects);
    }

    pub(super) fn handle_operations(&mut self, n: usize, event: Event) {
        if self.now < self.machines[n].frozen_until {
            if !matches!(event, Event::Tick) {
                self.machines[n].deferred_operations.push(event);
            }
            return;
        }
        let mut events = std::mem::take(&mut self.machines[n].deferred_operations);
        events.push(event);
        for event in events {
            let Some(engine) = &mut self.machines[n].operations else { return };
            let event = with_forged_epoch(
                event,
                self.operations.as_ref().is_some_and(|o| o.stores_skip_epochs),
                engine,
            );
            let effects = engine.handle(self.now, event);
            self.carry_out_operations(n, effects);
        }
    }

    fn carry_out_operations(&mut self, n: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => {
                    to.iter().for_each(|ip| self.send_operation(n, *ip, message.clone()));
                }
                Effect::Append { number, records } => {
                    self.machines[n].operation_log.pending.push(PendingAppend { number, records });
                    self.begin_append(n);
                }
                Effect::Reply { client, reply } => {
                    if let Some(operations) = &mut self.operations {
                        assert!(
                            operations.replies.insert(client, reply).is_none(),
                            "a request gets at most one reply"
                        );
                    }
                }
            }
        }
    }

    fn send_operation(&mut self, from: usize, to: Ipv4Addr, message: OperationMessage) {
        let Some(to) = self.machines.iter().position(|machine| machine.ip == to) else { return };
        let Some(node) = self.machines[from].replica.as_ref().map(|replica| replica.node().clone()) else {
            return;
        };
        let link = Link { from, to };
        if !self.is_up(to) || self.network.is_blocked(link) {
            return;
        }
        let is_offer = matches!(message, OperationMessage::Offer { .. });
        let loss = self.operations.as_ref().map_or(0, |operations| operations.offer_loss_percent);
        if is_offer && self.random.below(100) < loss {
            return;
        }
        let mut at = self.now + self.random.below(4);
        let is_reordered = self.random.one_in(REORDER_ONE_IN);
        if let Some(operations) = self.operations.as_mut().filter(|_| !is_reordered) {
            let last = operations.last_arrival.entry(link).or_default();
            at = at.max(*last);
            *last = at;
        }
        let message = Box::new(message);
        self.schedule(at, Scheduled::DeliverOperation { to, from: Box::new(node), message });
    }

    fn begin_append(&mut self, n: usize) {
        let slowness = self.operations.as_ref().map_or(1, |operations| operations.log_slowness);
        let sync_time = (1 + self.random.below(6)) * slowness;
        let machine = &mut self.machines[n];
        let log = &mut machine.operation_log;
        let Some(last) = log.pending.last().filter(|_| !log.is_syncing) else { return };
        let (number, incarnation) = (last.number, machine.incarnation);
        log.is_syncing = true;
        self.schedule(self.now + sync_time, Scheduled::Appended { to: n, incarnation, number });
    }

    pub(super) fn on_log_synced(&mut self, n: usize, incarnation: u64, number: AppendNumber) {
        let machine = &mut self.machines[n];
        if machine.incarnation != incarnation || machine.replica.is_none() {
            return;
        }
        if self.now < machine.disk.stalled_until {
            let at = machine.disk.stalled_until + 1;
            return self.schedule(at, Scheduled::Appended { to: n, incarnation, number });
        }
        machine.operation_log.complete(number);
        self.handle_operations(n, Event::Appended(number));
        self.begin_append(n);
    }

    /// A proxy sends a request to a store.
    pub fn request(&mut self, n: usize, request: OperationRequest) -> ClientId {
        let client = self.next_client();
        self.handle_operations(n, Event::Request { client, request });
        client
    }

    /// Takes out the reply that a proxy has received, if any.
    pub fn take_operation_reply(&mut self, client: ClientId) -> Option<OperationReply> {
        self.operations.as_mut()?.replies.remove(&client)
    }

    /// The machine whose operation replica is active; the one with the highest epoch if there are several.
    pub fn active_store(&self) -> Option<usize> {
        let is_active =
            |n: &usize| self.machines[*n].operations.as_ref().is_some_and(OperationReplica::is_active);
        let epoch = |n: &usize| self.machines[*n].replica.as_ref().map(Replica::epoch);
        (0..self.machines.len()).filter(is_active).max_by_key(epoch)
    }
}

fn view_of(replica: &Replica) -> ConsensusView {
    let leadership = replica.is_leader().then(|| Leadership {
        epoch: replica.epoch(),
        voters: replica.voters().to_vec(),
        voter_regions: vec!["west".to_owned()],
        previous_voters: replica.base_voters().to_vec(),
        live_peers: replica.live_peers(),
        awaited_learners: replica.awaited_learners().to_vec(),
    });
    ConsensusView { promised: replica.promised(), leadership }
}

/// Disables the epoch check if `is_forged`: a batch gets the epoch that its receiver has promised, and the receiver's
/// answer gets the epoch of the leader, so that both pass the check.
fn with_forged_epoch(event: Event, is_forged: bool, engine: &OperationReplica) -> Event {
    match event {
        Event::Message { from, message: OperationMessage::Append { batch, records, .. } } if is_forged => {
            let epoch = engine.promised();
            Event::Message { from, message: OperationMessage::Append { epoch, batch, records } }
        }
        Event::Message { from, message: OperationMessage::Appended { batch, .. } } if is_forged => {
            let epoch = engine.led_epoch().unwrap_or_default();
            Event::Message { from, message: OperationMessage::Appended { epoch, batch } }
        }
        other => other,
    }
}
