//! One moment of some stores: what each process knows, what each disk has, which envelopes are on their way.

use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use violetyoke_store::consensus::{DurableState, Effect, Event, Replica, ReplicaOptions, WriteNumber};
use violetyoke_transport::messages::{Envelope, Outcome, PeerMessage};

#[derive(Clone, Debug)]
pub struct Store {
    /// None while its process is down.
    pub replica: Option<Replica>,
    pub kept: DurableState,
    /// What was asked to be kept, and is not yet.
    pub writing: Vec<(WriteNumber, DurableState)>,
}

/// All that there is at one moment. Beats are no envelopes here: silence and its end are steps of their own.
#[derive(Clone, Debug)]
pub struct Moment {
    pub now: u64,
    pub stores: Vec<Store>,
    pub envelopes: Vec<(usize, Envelope)>,
    pub sent: u64,
    pub acknowledged: u64,
    pub deaths: u32,
}

// Two moments with all alike in what they print are the same: replicas hold nothing that they don't print.
impl Hash for Moment {
    fn hash<H: Hasher>(&self, state: &mut H) {
        format!("{self:?}").hash(state);
    }
}

impl PartialEq for Moment {
    fn eq(&self, other: &Moment) -> bool {
        format!("{self:?}") == format!("{other:?}")
    }
}

pub fn ip(n: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n as u8 + 1)
}

pub fn begin(n: usize, kept: DurableState, now: u64) -> Replica {
    let zone = if n % 2 == 1 { "b" } else { "a" }.to_owned();
    let options = ReplicaOptions {
        ip: ip(n),
        zone,
        seeds: (0..3).map(ip).collect(),
        fault_tolerance: 1,
        durable: kept,
        new_disk_id: n as u64 + 1,
        is_bootstrap: true,
    };
    Replica::new(options, now)
}

impl Moment {
    pub fn handle(&mut self, n: usize, event: Event, heartbeats: bool) {
        let now = self.now;
        let Some(replica) = &mut self.stores[n].replica else { return };
        let effects = replica.handle(now, event);
        let from = replica.node().clone();
        for effect in effects {
            match effect {
                Effect::Send { message: PeerMessage::Heartbeat(_), .. } if !heartbeats => {}
                Effect::Send { to, message } => {
                    let Some(place) = (0..self.stores.len()).find(|place| ip(*place) == to) else { continue };
                    // The same message sent again while the first is on its way is one envelope.
                    let envelope = (place, Envelope { from: from.clone(), message });
                    if !self.envelopes.contains(&envelope) {
                        self.envelopes.push(envelope);
                    }
                }
                Effect::Persist { number, state } => self.stores[n].writing.push((number, state)),
                Effect::Reply { outcome: Outcome::Acknowledged, client } => {
                    self.acknowledged = self.acknowledged.max(client.0);
                }
                Effect::Reply { .. } | Effect::NotifyWatchers => {}
            }
        }
    }

    pub fn sync(&mut self, n: usize) {
        let Some((number, state)) = self.stores[n].writing.pop() else { return };
        self.stores[n].writing.clear();
        self.stores[n].kept = state;
        self.handle(n, Event::Persisted(number), false);
    }

    /// Beats of one store, as another hears them.
    pub fn heartbeat(&mut self, from: usize, to: usize) {
        let before = self.envelopes.len();
        self.handle(from, Event::Tick { disk_healthy: true }, true);
        let new = self.envelopes.split_off(before);
        for (place, envelope) in new {
            match envelope.message {
                PeerMessage::Heartbeat(_) if place == to => self.handle(to, Event::Message(envelope), false),
                PeerMessage::Heartbeat(_) => {}
                _ => self.envelopes.push((place, envelope)),
            }
        }
    }

    /// Everything that can happen without a fault, until the first epoch stands.
    pub fn settle(&mut self) {
        for _ in 0..60 {
            self.now += 50;
            for n in 0..self.stores.len() {
                self.handle(n, Event::Tick { disk_healthy: true }, true);
            }
            while !self.envelopes.is_empty() || self.stores.iter().any(|store| !store.writing.is_empty()) {
                for (to, envelope) in std::mem::take(&mut self.envelopes) {
                    self.handle(to, Event::Message(envelope), true);
                }
                (0..self.stores.len()).for_each(|n| self.sync(n));
            }
        }
    }

    /// All disks do what they were asked to.
    pub fn sync_all(&mut self) {
        while self.stores.iter().any(|store| !store.writing.is_empty()) {
            (0..self.stores.len()).for_each(|n| self.sync(n));
        }
    }

    /// A store hears nobody but one other for so long that it takes over, where it may.
    pub fn elect(&mut self, n: usize, heard: usize) {
        for step in [900, 450] {
            self.now += step;
            self.heartbeat(heard, n);
            self.handle(n, Event::Tick { disk_healthy: true }, false);
            self.sync_all();
        }
    }

    /// The store that leads under the highest epoch.
    pub fn leader(&self) -> Option<&Replica> {
        let replicas = self.stores.iter().filter_map(|store| store.replica.as_ref());
        replicas.filter(|replica| replica.is_leader()).max_by_key(|replica| replica.epoch())
    }
}
