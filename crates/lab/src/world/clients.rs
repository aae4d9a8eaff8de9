//! The clients' side: tries come, are answered, and come again.

use super::*;
use crate::outcome::{reason_name, Loss};
use rand_distr::Exp1;
use std::collections::BTreeMap;

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Got {
    Served,
    Refused {
        retry_after: Micros,
        why: Option<RejectionReason>,
    },
    Failed {
        why: Option<RejectionReason>,
    },
    /// Its ingress could not be reached, died, or never answered.
    Nothing,
}

impl World<'_> {
    pub(super) fn arrives(&mut self, client: Option<usize>) {
        let factor = if self.now < self.cuts.surge.1 { self.cuts.surge.0 } else { 1.0 };
        if client.is_none() {
            let at = self.now + self.demand.next_arrival(factor).max(1);
            self.events.schedule(at, Happens::Arrives(None));
        }
        let demanded = self.demand.next_request();
        if self.counts() {
            let worth = self.worth(&demanded);
            self.outcome.asked.add(worth);
            let class = &self.experiment.classes[usize::from(demanded.class)].name;
            self.outcome.by_class.entry(class.clone()).or_default().0.add(worth);
            let second = self.second_of_run() - (self.experiment.warm_up / 1_000_000) as usize;
            let seconds = &mut self.outcome.seconds;
            seconds.resize(seconds.len().max(second + 1), (0.0, 0.0));
            seconds[second].0 += worth;
        }
        self.comes(Coming { demanded, nth: 1, client });
    }

    pub(super) fn worth(&self, demanded: &demand::Demanded) -> f64 {
        let plan = self.accounts[demanded.account].plan;
        self.experiment.classes[usize::from(demanded.class)].class.value
            * self.experiment.plans[usize::from(plan)].plan.value
    }

    pub(super) fn comes(&mut self, coming: Coming) {
        let account = &self.accounts[coming.demanded.account];
        let class = &self.experiment.classes[usize::from(coming.demanded.class)].class;
        let all = self.ingresses.len();
        let drawn = account.set.ingress(coming.demanded.ingress_draw, all);
        // The front leaves out what it has seen to be dead: the next of the set takes over.
        let set = (0..usize::from(account.set.spread)).map(|next| {
            let place = (drawn + all - usize::from(account.set.first)) % all;
            (usize::from(account.set.first) + (place + next) % usize::from(account.set.spread)) % all
        });
        let known_dead = |ingress: &usize| {
            let ingress = &self.ingresses[*ingress];
            !ingress.up() && self.now >= ingress.down_since + self.experiment.clients.detection_delay
        };
        let ingress = set.clone().find(|ingress| !known_dead(ingress)).unwrap_or(drawn);
        let request = self.next_try;
        self.next_try += 1;
        let (arrived, deadline) = (self.now, self.now + class.deadline);
        self.tries.insert(request, Try { coming, ingress, arrived, deadline, over: false, beyond: 0.0 });
        self.events.schedule(self.now + self.experiment.clients.delay, Happens::Delivered(request));
        self.events
            .schedule(deadline + self.experiment.settings.safety.deadline_slack, Happens::Leaves(request));
    }

    pub(super) fn leaves(&mut self, request: RequestId) {
        let Some(held) = self.tries.get(&request).filter(|held| !held.over) else { return };
        let ingress = held.ingress;
        self.abandoned(ingress, request);
        self.got(request, Got::Nothing);
    }

    /// A client has its answer, or none.
    pub(super) fn got(&mut self, request: RequestId, got: Got) {
        let Some(held) = self.tries.get_mut(&request).filter(|held| !held.over) else { return };
        held.over = true;
        let held = held.clone();
        let class = &self.experiment.classes[usize::from(held.coming.demanded.class)];
        let (worth, waited) = (self.worth(&held.coming.demanded), self.now - held.arrived);
        if self.counts() {
            self.gauges.ingresses[held.ingress].all += 1;
        }
        if got == Got::Served {
            let plan =
                &self.experiment.plans[usize::from(self.accounts[held.coming.demanded.account].plan)].plan;
            let beyond = held.beyond / held.coming.demanded.units;
            let earned = worth * (1.0 - beyond * (1.0 - plan.over_quota_value));
            if self.counts() {
                self.gauges.record_response(waited);
                self.gauges.ingresses[held.ingress].served += 1;
                if waited <= class.class.latency_target {
                    self.outcome.served.add(earned);
                    self.outcome.by_class.entry(class.name.clone()).or_default().1.add(earned);
                    if let Some(second) = self.outcome.seconds.last_mut() {
                        second.1 += earned;
                    }
                } else {
                    self.outcome.served_late.add(earned * class.class.late_value);
                }
            }
            return self.thinks(held.coming.client);
        }
        if self.counts() && waited > class.class.deadline / 2 {
            self.outcome.late_fails += 1;
        }
        let clients = &self.experiment.clients;
        let again =
            held.coming.nth < clients.max_tries && self.clients_rng.random::<f64>() < clients.retry_share;
        if !again {
            self.lost(&held, got, worth);
            return self.thinks(held.coming.client);
        }
        let drawn: f64 = Exp1.sample(&mut self.clients_rng);
        let heeds = self.clients_rng.random::<f64>() < clients.retry_after_share;
        let pause = clients.retry_pause as f64 * drawn;
        let pause = match got {
            Got::Refused { retry_after, .. } if heeds && retry_after > 0 => retry_after as f64 + pause / 4.0,
            _ => pause,
        };
        let demanded = demand::Demanded { ingress_draw: self.clients_rng.random(), ..held.coming.demanded };
        let coming = Coming { demanded, nth: held.coming.nth + 1, client: held.coming.client };
        self.events.schedule(self.now + pause as Micros + 1, Happens::Comes(Box::new(coming)));
    }

    fn thinks(&mut self, client: Option<usize>) {
        if client.is_some() {
            let at = self.now + self.demand.next_arrival(1.0).max(1);
            self.events.schedule(at, Happens::Arrives(client));
        }
    }

    /// Notes why a wish came to nothing, and what there was room for.
    fn lost(&mut self, held: &Try, got: Got, worth: f64) {
        if !self.counts() {
            return;
        }
        let now = self.now;
        let account = &mut self.accounts[held.coming.demanded.account];
        let plan = &self.experiment.plans[usize::from(account.plan)].plan;
        let units = held.coming.demanded.units;
        let (room, half) = account
            .quota
            .as_mut()
            .map_or((true, true), |quota| (quota.has(now, units), quota.has(now, plan.burst / 2.0)));
        let idle = |node: &Node| node.is_serving() && !node.is_in_slow_start(now, &self.node_settings);
        let fleet =
            self.nodes.iter().any(|node| idle(node) && node.working.len() < self.node_settings.workers);
        let (losses, name): (&mut BTreeMap<String, Loss>, _) = match got {
            Got::Refused { why, .. } => (&mut self.outcome.refused, reason_name(why)),
            Got::Failed { why } => (&mut self.outcome.failed, reason_name(why)),
            _ => (&mut self.outcome.failed, "NoAnswer".into()),
        };
        let loss = losses.entry(name).or_default();
        loss.all.add(worth);
        for (there, amount) in [
            (room, &mut loss.quota_had_room),
            (half, &mut loss.quota_half_unused),
            (fleet, &mut loss.fleet_had_room),
        ] {
            if there {
                amount.add(worth);
            }
        }
    }
}
