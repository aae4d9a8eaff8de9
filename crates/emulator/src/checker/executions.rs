//! Which requests may be executed where: the rules UNASKED, HOME, ROUTE, CONFIG, DRAIN and EVAC.

use super::Checker;
use crate::records::{Arrival, Attempt, Command, Incarnation};
use crate::site::owner;

/// Whether a command permits an execution.
#[derive(Clone, Copy)]
struct Permissions {
    /// Whether the kind of request is routed to the service.
    service: bool,
    /// Whether the credential is in the configuration.
    key: bool,
}

impl Permissions {
    fn of(command: &Command, attempt: &Attempt, incarnation: &Incarnation) -> Permissions {
        match command {
            Command::Configuration { services, keys, .. } => Permissions {
                service: services.get(attempt.kind) == Some(&incarnation.service),
                key: keys.contains(&attempt.key),
            },
            Command::Evacuate { .. } => Permissions { service: false, key: false },
        }
    }
}

impl Checker<'_> {
    pub(super) fn check_executions(&mut self) {
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.was_executed) {
            let Some(attempt) = self.attempts.get(arrival.id.as_str()).copied() else {
                self.report("UNASKED", format!("{} was sent by no client", arrival.id));
                continue;
            };
            let incarnation = &self.records.incarnations[arrival.incarnation];
            self.check_unchanged(arrival, attempt);
            self.check_home(attempt, incarnation);
            self.check_configuration(arrival, attempt, incarnation);
            self.check_withdrawn(arrival, attempt, incarnation);
        }
    }

    fn check_unchanged(&mut self, arrival: &Arrival, attempt: &Attempt) {
        let kind = &self.site.request_kinds[attempt.kind];
        if arrival.tenant != owner(&attempt.key) || arrival.path != format!("{}{}", kind.path, attempt.id) {
            self.report("UNASKED", format!("{} ran as {:?} {}", attempt.id, arrival.tenant, arrival.path));
        }
    }

    fn check_home(&mut self, attempt: &Attempt, incarnation: &Incarnation) {
        let homes = &self.site.request_kinds[attempt.kind].home_regions;
        let region = self.site.regions[self.site.region(incarnation.zone)];
        if !homes.is_empty() && !homes.contains(&region) {
            self.report("HOME", format!("{} ran in {region}", attempt.id));
        }
    }

    fn check_configuration(&mut self, arrival: &Arrival, attempt: &Attempt, incarnation: &Incarnation) {
        let permissions = |command: &Command| Permissions::of(command, attempt, incarnation);
        let commands = self.records.commands.iter().map(|record| permissions(&record.command));
        let ever_permitted = commands.fold(Permissions { service: false, key: false }, |all, one| {
            Permissions { service: all.service || one.service, key: all.key || one.key }
        });
        if !ever_permitted.service || !ever_permitted.key {
            self.report("ROUTE", format!("{} ran at service {}", attempt.id, incarnation.service));
        }
        let permits_both = |command: &&Command| {
            let Permissions { service, key } = permissions(command);
            service && key
        };
        let is_allowed = self.possible_configurations(attempt.sent, arrival.at).iter().any(permits_both);
        if !is_allowed && self.is_fault_free(attempt.sent) {
            let detail = format!("{} sent at {} ran by an older version", attempt.id, attempt.sent);
            self.report("CONFIG", detail);
        }
    }

    /// Checks that draining backends and evacuated zones execute no requests.
    fn check_withdrawn(&mut self, arrival: &Arrival, attempt: &Attempt, incarnation: &Incarnation) {
        if !self.is_fault_free(arrival.at) {
            return;
        }
        let drain_ms = self.site.bounds.drain_ms.to_millis();
        let detail = || format!("{} reached {} at {}", attempt.id, incarnation.id, arrival.at);
        if incarnation.draining_since.is_some_and(|since| arrival.at > since + drain_ms) {
            self.report("DRAIN", detail());
        }
        if self.is_evacuated(arrival, incarnation.zone) {
            self.report("EVAC", detail());
        }
    }

    /// Whether the zone's evacuation was acknowledged long enough before the arrival, and not ended since.
    fn is_evacuated(&self, arrival: &Arrival, at_zone: usize) -> bool {
        let mut acknowledged = None;
        for record in self.records.commands.iter().filter(|record| record.sent <= arrival.at) {
            match record.command {
                Command::Evacuate { zone, is_begin } if zone == at_zone => {
                    acknowledged = record.acknowledged_at.filter(|_| is_begin);
                }
                _ => {}
            }
        }
        acknowledged.is_some_and(|at| arrival.at > at + self.site.bounds.evacuate_ms.to_millis())
    }
}
