//! What each event of a day does.

use crate::day::What;
use crate::records::{Millis, What as Ordered};
use crate::world::World;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

async fn pause(ms: Millis) {
    sleep(Duration::from_millis(ms)).await;
}

impl World {
    pub async fn happen(self: &Rc<Self>, what: What) {
        if let Some(span) = what.trouble() {
            self.trouble(span);
        }
        match what {
            What::Kill { machines, power, down } => self.down(&machines, power, false, down).await,
            What::Wipe { machine, down } => self.down(&[machine], true, true, down).await,
            What::AfterAck { wipe, down } => {
                let place = self.change(&[], self.moved.get()).await;
                let by = self.notes.with(|records| records.orders[place].by);
                let found =
                    self.fleet.borrow().machines.iter().position(|machine| Some(machine.control()) == by);
                if let Some(machine) = found {
                    pause(self.draw() % 4).await;
                    self.trouble(down + 1_000);
                    self.down(&[machine], true, wipe, down).await;
                }
            }
            What::Freeze { machine, span } => {
                self.fleet.borrow_mut().freeze(machine, true);
                pause(span).await;
                self.fleet.borrow_mut().freeze(machine, false);
            }
            What::Cut { machines, one_way, span } => {
                self.cut(&machines, one_way, true);
                pause(span).await;
                self.cut(&machines, one_way, false);
            }
            What::Stall { machine, span } => {
                let ip = self.fleet.borrow().machines[machine].ip;
                self.net.platter(ip).stall(Duration::from_millis(span));
            }
            What::Zone { zone, span } => {
                self.backends.power(zone, true);
                let here = self.fleet.borrow().of_zone(zone);
                self.down(&here, true, false, span).await;
                self.backends.power(zone, false);
            }
            What::Leave { machine } => self.fleet.borrow().leave(machine),
            What::Change { moved } => {
                self.moved.set(moved);
                self.change(&[], moved).await;
            }
            What::Race => self.race().await,
            What::Invalid => self.invalid().await,
            What::Join { name } => {
                let place = self.change(std::slice::from_ref(&name), self.moved.get()).await;
                // Its requests begin once the operator has the word.
                if self.notes.with(|records| records.orders[place].acked.is_some()) {
                    self.crowd.joined.borrow_mut().push(name);
                }
            }
            What::Routes { count } => {
                self.routes.set(self.routes.get() + count);
                self.change(&[], self.moved.get()).await;
            }
            What::Revoke { tenant } => {
                self.crowd.gone.borrow_mut().push(tenant);
                self.change(&[], self.moved.get()).await;
            }
            What::Evacuate { zone, span } => {
                self.operator.order(Ordered::Evacuate { zone, empty: true }, self.draw()).await;
                pause(span).await;
                self.operator.order(Ordered::Evacuate { zone, empty: false }, self.draw()).await;
            }
            What::Hot { tenant, x, span } => {
                self.crowd.hot.set(Some((tenant, x)));
                pause(span).await;
                self.crowd.hot.set(None);
            }
            What::Crash { service, count } => {
                let lives: Vec<String> = self.backends.of(service).into_iter().take(count).collect();
                for id in &lives {
                    self.backends.end(id);
                }
                pause(2_500).await;
                for id in &lives {
                    self.backends.off(id);
                    self.backends.begin(service, self.draw() as usize % self.site.zones.len(), true);
                }
            }
            What::Release { service, count } => {
                for id in self.backends.of(service).into_iter().take(count) {
                    self.backends.begin(service, self.zone_of(&id), true);
                    self.backends.drain(&id);
                    pause(self.site.bounds.drain_ms as Millis + 1_000).await;
                    self.backends.end(&id);
                    self.backends.off(&id);
                }
            }
            What::Lose { part, span } => {
                self.backends.loses.set(part);
                pause(span).await;
                self.backends.loses.set(0.0);
            }
        }
    }

    fn zone_of(&self, id: &str) -> usize {
        self.notes.with(|records| records.lives.iter().find(|life| life.id == id).map_or(0, |life| life.zone))
    }

    async fn down(&self, machines: &[usize], power: bool, wipe: bool, down: Millis) {
        for n in machines {
            let torn = self.draw().is_multiple_of(2);
            let fleet = &mut *self.fleet.borrow_mut();
            fleet.end(*n, power, torn);
            if wipe {
                self.net.platter(fleet.machines[*n].ip).wipe();
            }
        }
        pause(down).await;
        for n in machines {
            pause(self.draw() % 40).await;
            self.fleet.borrow_mut().start(*n);
        }
    }

    fn cut(&self, machines: &[usize], one_way: bool, cut: bool) {
        let fleet = self.fleet.borrow();
        for one in machines.iter().filter_map(|n| fleet.machines.get(*n)) {
            for other in fleet.machines.iter().filter(|other| other.ip != one.ip) {
                self.net.cut(one.ip, other.ip, cut);
                if !one_way {
                    self.net.cut(other.ip, one.ip, cut);
                }
            }
        }
    }

    /// Two operators, two versions, at one moment: the higher one prevails, whoever is first.
    async fn race(&self) {
        let (lower, higher) = (self.version.get() + 1, self.version.get() + 2);
        self.version.set(higher);
        let low = self.configuration(lower, &[], self.moved.get());
        let high = self.configuration(higher, &[], self.moved.get());
        let (one, other) = (self.draw(), self.draw());
        tokio::join!(self.operator.order(low, one), self.operator.order(high, other));
    }

    /// A configuration that names an unknown service: refused everywhere, and never in force.
    async fn invalid(&self) {
        let version = self.version.get() + 50;
        let Ordered::Configuration { text, keys, services, .. } =
            self.configuration(version, &[], self.moved.get())
        else {
            return;
        };
        let text = text.replace("[\"ledger\",", "[\"nobody\",");
        let what = Ordered::Configuration { version, text, keys, services, valid: false };
        self.operator.order(what, self.draw()).await;
    }
}
