//! All backends that are known, as the platform's list tells of them.

use crate::backend::{Backend, Observation};
use crate::Millis;
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};

/// One line of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedBackend {
    pub id: String,
    pub service: String,
    pub address: std::net::SocketAddrV4,
    pub zone: String,
    pub region: String,
    pub slots: u32,
    pub draining: bool,
    pub slow_start_left_ms: Millis,
}

/// Where this ingress stands, and who the others are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    pub me: u32,
    pub zone: String,
    pub region: String,
    /// All ingresses in order, this one among them; none while no session stands.
    pub members: Vec<u32>,
}

/// What a service's operator says of its backends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    pub cold_ms: Millis,
    /// What a cold one bears a second, of all ingresses together.
    pub cold_rate: f64,
    /// Connections that one takes, of all ingresses together; 0: no bound is told.
    pub connections: u32,
}

#[derive(Debug, Default)]
pub struct Fleet {
    pub(crate) backends: HashMap<String, Backend>,
    pub(crate) by_service: HashMap<String, Vec<String>>,
    pub(crate) terms: HashMap<String, Terms>,
    /// Chance in the choice among equals.
    pub(crate) draws: Cell<u64>,
    pub(crate) evacuated: BTreeSet<String>,
    pub place: Place,
    /// How many ingresses there were when that was last known for certain.
    pub ingresses: usize,
    /// When the newest list was asked for.
    listed: Option<Millis>,
    /// A list that is here by now runs so far behind.
    lag: Millis,
    /// Lives that have ended never come back.
    ended: HashMap<String, Millis>,
}

/// A life that has ended is remembered for so long: no list lags by more.
const REMEMBERED: Millis = 60_000;

impl Fleet {
    pub fn new(place: Place) -> Fleet {
        let draws = Cell::new(u64::from(place.me) << 32);
        Fleet { place, draws, ..Fleet::default() }
    }

    /// A list that was asked for at `at`; an older one than is known changes nothing, and is not taken.
    pub fn replace_list(&mut self, now: Millis, at: Millis, lines: Vec<ListedBackend>) -> bool {
        if self.listed.is_some_and(|listed| at < listed) {
            return false;
        }
        self.listed = Some(at);
        self.ended.retain(|_, since| now < *since + REMEMBERED);
        let named: BTreeSet<&str> = lines.iter().map(|line| line.id.as_str()).collect();
        let gone: Vec<String> =
            self.backends.keys().filter(|id| !named.contains(id.as_str())).cloned().collect();
        self.end(now, gone);
        self.set(lines, at);
        true
    }

    fn end(&mut self, now: Millis, gone: Vec<String>) {
        for id in gone {
            self.ended.insert(id.clone(), now);
            match self.backends.get_mut(&id) {
                // Its last attempts are still out.
                Some(backend) if backend.open > 0 => backend.leaving = true,
                _ => drop(self.backends.remove(&id)),
            }
        }
    }

    /// What has changed since the newest list; made from one that was asked for at `at`.
    pub fn apply_list_change(
        &mut self,
        now: Millis,
        at: Millis,
        set: Vec<ListedBackend>,
        gone: &[String],
    ) -> bool {
        if self.listed.is_some_and(|listed| at < listed) {
            return false;
        }
        self.listed = Some(at);
        self.end(now, gone.to_vec());
        self.set(set, at);
        true
    }

    fn set(&mut self, lines: Vec<ListedBackend>, at: Millis) {
        for line in lines {
            if self.ended.contains_key(&line.id) {
                continue;
            }
            let ListedBackend { id, service, address, zone, region, slots, draining, slow_start_left_ms } =
                line;
            let backend = self
                .backends
                .entry(id.clone())
                .or_insert_with(|| Backend::new(id, service, address, zone, region, slots));
            backend.slots = slots.max(1);
            backend.leaving |= draining;
            backend.cold.set(if slow_start_left_ms > 0 { at + slow_start_left_ms } else { 0 });
        }
        self.index();
    }

    fn index(&mut self) {
        self.by_service.clear();
        for backend in self.backends.values().filter(|backend| !backend.leaving) {
            self.by_service.entry(backend.service.clone()).or_default().push(backend.id.clone());
        }
        for ids in self.by_service.values_mut() {
            ids.sort_unstable();
        }
    }

    /// What a new configuration says: cold rates, and zones that are to get nothing.
    pub fn configure(
        &mut self,
        now: Millis,
        terms: HashMap<String, Terms>,
        evacuated: BTreeSet<String>,
        lag: Millis,
    ) {
        (self.terms, self.lag) = (terms, lag);
        for zone in self.evacuated.difference(&evacuated) {
            // Taken back: its backends may have become cold, and a list that says so comes later.
            for backend in self.backends.values_mut().filter(|backend| backend.zone == *zone) {
                let cold = self.terms.get(&backend.service).map_or(0, |terms| terms.cold_ms);
                backend.cold.doubt(now + cold + lag);
            }
        }
        self.evacuated = evacuated;
    }

    /// Connections that this ingress may hold to one backend of a service: its even part, with room for those who have
    /// just come.
    pub fn connections(&self, service: &str) -> u32 {
        let most = self.terms.get(service).map_or(0, |terms| terms.connections);
        match most {
            0 => u32::MAX,
            most => {
                let ingresses = self.place.members.len().max(self.ingresses).max(1);
                (most * 9 / 10 / ingresses as u32).max(1)
            }
        }
    }

    pub fn get(&self, id: &str) -> Option<&Backend> {
        self.backends.get(id)
    }

    pub fn len(&self) -> usize {
        self.backends.len()
    }

    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    pub fn sent(&mut self, now: Millis, id: &str) {
        if let Some(backend) = self.backends.get_mut(id) {
            backend.sent(now);
        }
    }

    pub fn ended(&mut self, now: Millis, id: &str, observed: Observation) {
        let Some(backend) = self.backends.get_mut(id) else { return };
        let (leaving, away) = (backend.leaving, backend.away);
        backend.ended(now, observed);
        if away || backend.away {
            // One that had no power comes back cold, and a list that says so comes later.
            let cold = self.terms.get(&backend.service).map_or(0, |terms| terms.cold_ms);
            backend.cold.doubt(now + self.lag + if backend.away { cold } else { 0 });
        }
        if backend.leaving && backend.open == 0 && self.ended.contains_key(id) {
            self.backends.remove(id);
            self.index();
        } else if backend.leaving != leaving {
            self.index();
        }
    }
}
