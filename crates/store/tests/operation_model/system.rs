//! The state of the modelled system: operation replicas, logs, messages in flight, proxies, and executions at backends.

use crate::proxy::Proxy;
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use violetyoke_idempotency::{Millis, TableOptions};
use violetyoke_store::operations::{
    AppendNumber, ConsensusView, Effect, Event, Leadership, OperationReplica,
};
use violetyoke_transport::messages::{
    ClaimHolder, Epoch, OperationMessage, OperationRecord, OperationRequest, StoreId, StoreNode,
};

pub const STORES: usize = 3;
pub const WINDOW: Millis = 60_000;
const MAX_RECORD_BYTES: usize = 1 << 20;

#[derive(Clone, Debug)]
pub struct Store {
    pub engine: OperationReplica,
    pub view: ConsensusView,
    log: Vec<OperationRecord>,
    pub unsynced: Vec<OperationRecord>,
    last_append: AppendNumber,
}

#[derive(Clone, Debug)]
pub struct Execution {
    pub at: Millis,
    pub holder: ClaimHolder,
}

#[derive(Clone, Debug)]
pub struct InFlight {
    from: usize,
    to: usize,
    message: OperationMessage,
}

#[derive(Clone, Debug)]
pub struct System {
    pub now: Millis,
    pub stores: Vec<Store>,
    /// Messages by their text, so that a repeated message is kept once. A message that is never delivered is lost.
    pub in_flight: BTreeMap<String, InFlight>,
    pub proxies: Vec<Proxy>,
    pub executions: Vec<Execution>,
    pub epoch: Epoch,
    pub repeats: u32,
    pub restarts: u32,
    pub waits: usize,
    /// Whether disks sync at once; otherwise each sync is a step.
    disks_sync_at_once: bool,
    /// Whether answers of followers arrive at once; otherwise they are messages in flight like others.
    answers_arrive_at_once: bool,
    /// Appends are reported as synced before they are (negative control).
    pub acknowledges_unsynced: bool,
}

// States are compared by their text, which contains the debug output with all fields of an operation replica.
impl Hash for System {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text().hash(state);
    }
}

impl PartialEq for System {
    fn eq(&self, other: &System) -> bool {
        self.text() == other.text()
    }
}

fn node(n: usize) -> StoreNode {
    let id = n as u8 + 1;
    StoreNode { id: StoreId(id.into()), ip: Ipv4Addr::new(10, 0, 0, id), zone: "a".to_owned() }
}

fn start(n: usize, log: Vec<OperationRecord>, view: ConsensusView, now: Millis) -> Store {
    let options = TableOptions { window_ms: WINDOW, max_bytes: MAX_RECORD_BYTES };
    let engine = OperationReplica::new(node(n), options, log.clone(), now);
    Store { engine, view, log, unsynced: Vec::new(), last_append: AppendNumber(0) }
}

fn is_answer(message: &OperationMessage) -> bool {
    use OperationMessage::{Appended, Buckets, Digests, Synced, Wanted};
    matches!(message, Appended { .. } | Digests { .. } | Buckets { .. } | Wanted { .. } | Synced { .. })
}

impl System {
    /// Everything that can differ between states. Views are part of the replicas, and a message's text is its key.
    fn text(&self) -> String {
        let stores: Vec<_> =
            self.stores.iter().map(|store| (&store.engine, &store.log, &store.unsynced)).collect();
        let messages: Vec<&String> = self.in_flight.keys().collect();
        let bounds = (self.epoch, self.repeats, self.restarts, self.waits);
        format!("{stores:?} {messages:?} {:?} {:?} {bounds:?} {}", self.proxies, self.executions, self.now)
    }

    /// Three stores of which the first one is the active leader.
    pub fn new(disks_sync_at_once: bool, answers_arrive_at_once: bool) -> System {
        let mut system = System {
            now: 1,
            stores: (0..STORES).map(|n| start(n, Vec::new(), ConsensusView::default(), 1)).collect(),
            in_flight: BTreeMap::new(),
            proxies: vec![Proxy::new(1), Proxy::new(2)],
            executions: Vec::new(),
            epoch: Epoch(0),
            repeats: 0,
            restarts: 0,
            waits: 0,
            disks_sync_at_once,
            answers_arrive_at_once,
            acknowledges_unsynced: false,
        };
        system.promise(2, Epoch(1));
        system.take_over(0, 1, true);
        while let Some(label) = system.in_flight.keys().next().cloned() {
            system.deliver(&label, true);
        }
        system
    }

    pub fn handle(&mut self, n: usize, event: Event) {
        let effects = self.stores[n].engine.handle(self.now, event);
        self.carry_out(n, effects);
    }

    fn carry_out(&mut self, n: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                // Only the consensus replica handles this message.
                Effect::Send { message: OperationMessage::Rejected { .. }, .. } => {}
                Effect::Send { to, message } => to.iter().for_each(|ip| self.send(n, *ip, message.clone())),
                Effect::Append { number, records } => {
                    self.stores[n].unsynced.extend(records);
                    self.stores[n].last_append = number;
                    if self.disks_sync_at_once {
                        self.sync(n);
                    } else if self.acknowledges_unsynced {
                        self.handle(n, Event::Appended(number));
                    }
                }
                Effect::Reply { client, reply } => {
                    let proxy = self.proxies.iter_mut().find(|proxy| proxy.client() == client);
                    proxy.into_iter().for_each(|proxy| proxy.on_reply(&reply));
                }
            }
        }
    }

    fn send(&mut self, from: usize, ip: Ipv4Addr, message: OperationMessage) {
        let Some(to) = (0..STORES).find(|to| node(*to).ip == ip) else { return };
        if self.answers_arrive_at_once && is_answer(&message) {
            return self.handle(to, Event::Message { from: node(from), message });
        }
        let label = format!("{from} to {to}: {message:?}");
        self.in_flight.insert(label, InFlight { from, to, message });
    }

    /// Delivers a message. Without the epoch check, the receiver sees its promised epoch as not above the message's.
    pub fn deliver(&mut self, label: &str, checks_epoch: bool) {
        let Some(InFlight { from, to, message }) = self.in_flight.remove(label) else { return };
        let promised = self.stores[to].view.promised;
        let visible_promise = match &message {
            OperationMessage::Append { epoch, .. } if !checks_epoch => promised.min(*epoch),
            _ => promised,
        };
        self.promise(to, visible_promise);
        self.handle(to, Event::Message { from: node(from), message });
        self.promise(to, promised);
    }

    /// A disk completes its pending writes.
    pub fn sync(&mut self, n: usize) {
        let store = &mut self.stores[n];
        store.log.append(&mut store.unsynced);
        let number = store.last_append;
        self.handle(n, Event::Appended(number));
    }

    /// A process dies, its connections are lost, and a new process starts from the log.
    pub fn restart(&mut self, n: usize) {
        self.restarts += 1;
        self.in_flight.retain(|_, message| message.from != n && message.to != n);
        let view = ConsensusView { promised: self.stores[n].view.promised, leadership: None };
        self.stores[n] = start(n, std::mem::take(&mut self.stores[n].log), view, self.now);
        self.observe(n);
    }

    /// A store promises an epoch and stops leading in lower ones.
    pub fn promise(&mut self, n: usize, promised: Epoch) {
        let view = &mut self.stores[n].view;
        if view.promised != promised {
            view.promised = promised;
            view.leadership.take_if(|leadership| leadership.epoch < promised);
            self.observe(n);
        }
    }

    /// A store leads in a new epoch with its own promise and that of another store. The third store may still lead in
    /// the old epoch.
    pub fn take_over(&mut self, n: usize, other: usize, reads_majority: bool) {
        self.epoch = self.epoch.next();
        self.promise(other, self.epoch);
        let voters: Vec<StoreNode> = (0..STORES).map(node).collect();
        let previous_voters = if reads_majority { voters.clone() } else { vec![node(n)] };
        let leadership = Leadership {
            epoch: self.epoch,
            live_peers: voters.iter().filter(|peer| **peer != node(n)).cloned().collect(),
            voters,
            previous_voters: vec![previous_voters],
            ..Leadership::default()
        };
        self.stores[n].view = ConsensusView { promised: self.epoch, leadership: Some(leadership) };
        self.observe(n);
    }

    fn observe(&mut self, n: usize) {
        let view = self.stores[n].view.clone();
        let effects = self.stores[n].engine.observe(self.now, view);
        self.carry_out(n, effects);
    }

    /// A proxy's request arrives at a store.
    pub fn request(&mut self, proxy: usize, store: usize, request: OperationRequest) {
        let client = self.proxies[proxy].client();
        self.handle(store, Event::Request { client, request });
    }

    pub fn has_executed(&self, holder: ClaimHolder) -> bool {
        self.executions.iter().any(|execution| execution.holder == holder)
    }

    /// The records of all stores.
    pub fn records(&self) -> impl Iterator<Item = OperationRecord> + '_ {
        self.stores.iter().map(|store| store.engine.table()).flat_map(|table| {
            let buckets = table.digests().into_iter().map(|digest| digest.bucket);
            buckets.flat_map(|bucket| table.bucket(self.now, bucket).records)
        })
    }
}
