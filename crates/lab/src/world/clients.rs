//! The clients: they send tries, receive answers, and retry.

use super::*;
use crate::outcome::{reason_name, Loss};
use rand_distr::Exp1;
use std::collections::BTreeMap;

/// How a try ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TryResult {
    Served,
    Refused {
        retry_after: Micros,
        why: Option<RejectionReason>,
    },
    Failed {
        why: Option<RejectionReason>,
    },
    /// The ingress was unreachable, died, or never answered.
    Nothing,
}

impl World<'_> {
    pub(super) fn on_arrival(&mut self, client: Option<usize>) {
        let factor = if self.now < self.network_faults.surge.1 { self.network_faults.surge.0 } else { 1.0 };
        if client.is_none() {
            let at = self.now + self.demand.next_arrival(factor).max(1);
            self.events.schedule(at, WorldEvent::Arrival(None));
        }
        let demanded = self.demand.next_request();
        if self.is_measuring() {
            let worth = self.worth(&demanded);
            self.outcome.asked.add(worth);
            let class = &self.experiment.classes[usize::from(demanded.class)].name;
            self.outcome.by_class.entry(class.clone()).or_default().0.add(worth);
            let second = self.second_of_run() - (self.experiment.warm_up / 1_000_000) as usize;
            let seconds = &mut self.outcome.seconds;
            seconds.resize(seconds.len().max(second + 1), (0.0, 0.0));
            seconds[second].0 += worth;
        }
        self.start_try(PlannedTry { demanded, number_of_try: 1, client });
    }

    pub(super) fn worth(&self, demanded: &demand::Demanded) -> f64 {
        let plan = self.accounts[demanded.account].plan;
        self.experiment.classes[usize::from(demanded.class)].class.value
            * self.experiment.plans[usize::from(plan)].plan.value
    }

    pub(super) fn start_try(&mut self, planned: PlannedTry) {
        let account = &self.accounts[planned.demanded.account];
        let class = &self.experiment.classes[usize::from(planned.demanded.class)].class;
        let all = self.ingresses.len();
        let drawn = account.set.ingress(planned.demanded.ingress_draw, all);
        // Ingresses that are known to be dead are skipped in favour of the next one in the set.
        let set = (0..usize::from(account.set.spread)).map(|next| {
            let place = (drawn + all - usize::from(account.set.first)) % all;
            (usize::from(account.set.first) + (place + next) % usize::from(account.set.spread)) % all
        });
        let known_dead = |ingress: &usize| {
            let ingress = &self.ingresses[*ingress];
            !ingress.is_up() && self.now >= ingress.down_since + self.experiment.clients.detection_delay
        };
        let ingress = set.clone().find(|ingress| !known_dead(ingress)).unwrap_or(drawn);
        let request = self.next_try;
        self.next_try += 1;
        let (arrived, deadline) = (self.now, self.now + class.deadline);
        self.tries.insert(
            request,
            Try { planned, ingress, arrived, deadline, is_finished: false, over_quota_units: 0.0 },
        );
        self.events.schedule(self.now + self.experiment.clients.delay, WorldEvent::TryDelivered(request));
        self.events.schedule(
            deadline + self.experiment.settings.safety.deadline_slack,
            WorldEvent::ClientTimeout(request),
        );
    }

    pub(super) fn on_client_timeout(&mut self, request: RequestId) {
        let Some(pending) = self.tries.get(&request).filter(|pending| !pending.is_finished) else { return };
        let ingress = pending.ingress;
        self.abandoned(ingress, request);
        self.on_result(request, TryResult::Nothing);
    }

    /// A client has its answer, or none.
    pub(super) fn on_result(&mut self, request: RequestId, result: TryResult) {
        let Some(pending) = self.tries.get_mut(&request).filter(|pending| !pending.is_finished) else {
            return;
        };
        pending.is_finished = true;
        let pending = pending.clone();
        let class = &self.experiment.classes[usize::from(pending.planned.demanded.class)];
        let (worth, waited) = (self.worth(&pending.planned.demanded), self.now - pending.arrived);
        if self.is_measuring() {
            self.gauges.ingresses[pending.ingress].all += 1;
        }
        if result == TryResult::Served {
            let plan = &self.experiment.plans
                [usize::from(self.accounts[pending.planned.demanded.account].plan)]
            .plan;
            let over_quota_share = pending.over_quota_units / pending.planned.demanded.units;
            let earned = worth * (1.0 - over_quota_share * (1.0 - plan.over_quota_value));
            if self.is_measuring() {
                self.gauges.record_response(waited);
                self.gauges.ingresses[pending.ingress].served += 1;
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
            return self.schedule_next_request(pending.planned.client);
        }
        if self.is_measuring() && waited > class.class.deadline / 2 {
            self.outcome.late_fails += 1;
        }
        let clients = &self.experiment.clients;
        let retries = pending.planned.number_of_try < clients.max_tries
            && self.clients_rng.random::<f64>() < clients.retry_share;
        if !retries {
            self.record_loss(&pending, result, worth);
            return self.schedule_next_request(pending.planned.client);
        }
        let drawn: f64 = Exp1.sample(&mut self.clients_rng);
        let heeds_retry_after = self.clients_rng.random::<f64>() < clients.retry_after_share;
        let pause = clients.retry_pause as f64 * drawn;
        let pause = match result {
            TryResult::Refused { retry_after, .. } if heeds_retry_after && retry_after > 0 => {
                retry_after as f64 + pause / 4.0
            }
            _ => pause,
        };
        let demanded =
            demand::Demanded { ingress_draw: self.clients_rng.random(), ..pending.planned.demanded };
        let planned = PlannedTry {
            demanded,
            number_of_try: pending.planned.number_of_try + 1,
            client: pending.planned.client,
        };
        self.events.schedule(self.now + pause as Micros + 1, WorldEvent::TryStarts(Box::new(planned)));
    }

    fn schedule_next_request(&mut self, client: Option<usize>) {
        if client.is_some() {
            let at = self.now + self.demand.next_arrival(1.0).max(1);
            self.events.schedule(at, WorldEvent::Arrival(client));
        }
    }

    /// Records the reason of an unserved request, and where capacity was available.
    fn record_loss(&mut self, pending: &Try, result: TryResult, worth: f64) {
        if !self.is_measuring() {
            return;
        }
        let now = self.now;
        let account = &mut self.accounts[pending.planned.demanded.account];
        let plan = &self.experiment.plans[usize::from(account.plan)].plan;
        let units = pending.planned.demanded.units;
        let (has_quota, has_half_quota) = account
            .quota
            .as_mut()
            .map_or((true, true), |quota| (quota.has(now, units), quota.has(now, plan.burst / 2.0)));
        let idle = |node: &Node| node.is_serving() && !node.is_in_slow_start(now, &self.node_settings);
        let has_idle_worker =
            self.nodes.iter().any(|node| idle(node) && node.working.len() < self.node_settings.workers);
        let (losses, name): (&mut BTreeMap<String, Loss>, _) = match result {
            TryResult::Refused { why, .. } => (&mut self.outcome.refused, reason_name(why)),
            TryResult::Failed { why } => (&mut self.outcome.failed, reason_name(why)),
            _ => (&mut self.outcome.failed, "NoAnswer".into()),
        };
        let loss = losses.entry(name).or_default();
        loss.all.add(worth);
        for (applies, amount) in [
            (has_quota, &mut loss.quota_had_room),
            (has_half_quota, &mut loss.quota_half_unused),
            (has_idle_worker, &mut loss.fleet_had_room),
        ] {
            if applies {
                amount.add(worth);
            }
        }
    }
}
