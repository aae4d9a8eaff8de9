//! The health of the registries, judged by their replies to claims, and the location of the leading store.

use crate::replies::RoundTripEstimate;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;
use tokio::time::Instant;
use violetyoke_balancing::Millis;

/// After a failure, a registry is tried only after the others for this long.
const SUSPICION_PERIOD: Duration = Duration::from_secs(1);

/// The health of all registries that claims were sent to.
#[derive(Debug, Default)]
pub(super) struct RegistryHealthTracker {
    health: HashMap<Ipv4Addr, RegistryHealth>,
    /// The registry on the same machine as the leading store, according to the newest reply. If this is out of date, the
    /// registry forwards requests to the leading store on another machine, as every other registry does.
    beside_leader: Option<Ipv4Addr>,
}

/// How a registry has replied to claims.
#[derive(Clone, Copy, Debug, Default)]
struct RegistryHealth {
    round_trip: RoundTripEstimate,
    suspected_until: Option<Instant>,
}

/// The order in which registries are tried; the lowest one is the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Preference {
    is_suspected: bool,
    is_remote_from_leader: bool,
}

impl RegistryHealthTracker {
    /// A registry has returned a decision after `round_trip` (ms).
    pub(super) fn record_decision(&mut self, registry: Ipv4Addr, round_trip: Millis) {
        let health = self.health.entry(registry).or_default();
        health.round_trip.record_reply(round_trip);
        health.suspected_until = None;
    }

    /// A registry has replied that it is not connected to a leading store.
    pub(super) fn record_unavailable(&mut self, registry: Ipv4Addr, now: Instant) {
        self.suspect(registry, now);
    }

    /// A registry has not replied in time.
    pub(super) fn record_timeout(&mut self, registry: Ipv4Addr, now: Instant) {
        self.health.entry(registry).or_default().round_trip.record_loss();
        self.suspect(registry, now);
    }

    /// A registry has reported the machine of the leading store.
    pub(super) fn record_leader(&mut self, leader: Ipv4Addr) {
        self.beside_leader = Some(leader);
    }

    /// The connection to a registry is lost.
    pub(super) fn on_disconnected(&mut self, registry: Ipv4Addr) {
        self.forget_leader_at(registry);
    }

    /// The preference of a registry: suspected ones come last; among the others, the one beside the leading store is first.
    pub(super) fn preference(&self, registry: Ipv4Addr, now: Instant) -> Preference {
        let suspected_until = self.health.get(&registry).and_then(|health| health.suspected_until);
        Preference {
            is_suspected: suspected_until.is_some_and(|until| now < until),
            is_remote_from_leader: self.beside_leader != Some(registry),
        }
    }

    /// The estimate of a registry's round-trip time, and so of the time-out of claims.
    pub(super) fn round_trip(&self, registry: Ipv4Addr) -> RoundTripEstimate {
        self.health.get(&registry).copied().unwrap_or_default().round_trip
    }

    fn suspect(&mut self, registry: Ipv4Addr, now: Instant) {
        self.health.entry(registry).or_default().suspected_until = Some(now + SUSPICION_PERIOD);
        self.forget_leader_at(registry);
    }

    fn forget_leader_at(&mut self, registry: Ipv4Addr) {
        self.beside_leader = self.beside_leader.filter(|leader| *leader != registry);
    }
}
