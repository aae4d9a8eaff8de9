//! Selection of backends, their estimates from responses, the concurrency limit, and ejection of outliers.

use crate::primitives::{decay, DecayingSum};
use crate::{interface::*, Gateway};
use std::{cell::OnceCell, collections::BTreeMap};

const INITIAL_LIMIT: f64 = 16.0; // attempts in flight per backend, over all gateways together
const LIMIT_CUT: f64 = 0.8; // factor on the limit at a sign of overload
const MIN_LIMIT: f64 = 0.3; // of the initial limit
const MAX_RELATIVE_LATENCY: f64 = 4.0; // of one response: 4 in 10 lost for other reasons are no overload
const LIGHT: f64 = 1.7; // relative latency under light load: backends can take more
const QUEUEING: f64 = 2.5; // relative latency above which more attempts in flight only add latency
const MAX_BEST: f64 = 0.15; // cap, of the latency target: an overloaded fleet must not seem a slow one
const BEST_RISE: f64 = 0.05; // of the best latency in about 100 responses: a fleet may become slower
/// Weight of the newest response in a backend's estimates (about the last 10 count), in its speed (20, lest
/// a few lucky responses make a backend that is warming up look fast), and in the fleet's estimates (50).
const NEWEST: f64 = 0.1;
const SPEED_NEWEST: f64 = 0.05;
const FLEET_NEWEST: f64 = 0.02;
const FAILURE_COST: f64 = 8.0; // growth of a backend's cost with its failure rate (factor)
const TIMEOUT_RATE_DECAY: f64 = 5e6; // us; the time-outs of a backend that is sent nothing are forgotten
const EJECT_RATE: f64 = 0.4; // failure rate above which a backend is ejected
/// Attempts in a row, reset or unanswered while the fleet has capacity: a vanished host resets no connection.
const EJECT_LOST: u32 = 3;
/// Part of the fleet ejected at once, at most: with more, the cause lies elsewhere (a network that resets
/// connections, a fleet that restarts), and the backends still in use would only be overloaded.
const MAX_EJECTED: f64 = 0.5;
const EJECT_FIRST: f64 = 2.0; // connect time-outs
const EJECT_DOUBLINGS: u32 = 4;
/// Part of a request's remaining time that a backend may be expected to take. A slower one gets one attempt
/// at a time, to update its estimate: more would wait there until useless, and use up the concurrency limit.
const MAX_WAIT: f64 = 0.5;
const CROSS_ZONE: f64 = 1.05; // cost factor of another zone, which decides near-ties only
const JITTER: f64 = 0.1; // random part of the cost, up to twice the zone's, lest all gateways choose alike

#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Fleet {
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    /// Mean latency of successful responses by class (us), and the best: latency without queueing.
    pub(crate) typical: Vec<f64>,
    pub(crate) best: Vec<f64>,
    /// Concurrency limit of this gateway (0: none yet), mean latency relative to the best, latest cut.
    pub(crate) limit: f64,
    pub(crate) latency: f64,
    pub(crate) cut_at: Micros,
    /// Attempts sent, and the fleet's capacity at that time, in backends at full capacity.
    pub(crate) attempts: DecayingSum,
    pub(crate) capacity: DecayingSum,
}

impl Fleet {
    /// Adds classes that are new, at the end of the list.
    pub(crate) fn add_classes(&mut self, classes: &[Class]) {
        self.typical
            .extend(classes[self.typical.len()..].iter().map(|class| class.latency_target as f64 * MAX_BEST));
        self.best.extend_from_slice(&self.typical[self.best.len()..]);
    }
}

#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Backend {
    #[serde(skip)]
    pub(crate) entry: BackendEntry,
    pub(crate) in_flight: u32,
    /// Mean latency relative to the fleet's mean.
    pub(crate) latency: f64,
    pub(crate) failure_rate: f64,
    /// Part of its attempts that timed out, and speed since its start (best latency by its own, at most 1).
    pub(crate) timeout_rate: f64,
    pub(crate) speed: f64,
    /// Attempts reset, unconnected or unanswered since its last success.
    pub(crate) lost: u32,
    pub(crate) ejected_until: Micros,
    /// Ejections since its last success; while there are any, it gets one attempt at a time.
    pub(crate) ejections: u32,
    /// Latest start (0: long ago), and gaps between attempts to be earned before the next attempt.
    pub(crate) started: Micros,
    pub(crate) gaps_needed: f64,
    /// Recent attempts, which decay over [`Gateway::attempt_decay`].
    pub(crate) attempts: DecayingSum,
}

impl Gateway {
    pub(crate) fn update_backends(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        // A complete list contains every backend: others are gone.
        let complete = kind == ListKind::Full || kind == ListKind::Cached;
        let known = self.fleet.backends.values_mut().filter(|_| complete);
        known.for_each(|backend| backend.entry.condition = Condition::Gone);
        let unsubscribed = self.settings.discovery == Discovery::Poll && kind == ListKind::Cached;
        if unsubscribed || kind == ListKind::Failed {
            self.actions.push(Action::Subscribe { on: true });
        }
        for entry in entries {
            // All gateways learn of a start at about the same time: random first gaps spread their attempts.
            let (fresh, gaps_needed) = (|| Backend { latency: 1.0, ..Backend::default() }, self.rng.sample());
            let backend = self.fleet.backends.entry(entry.id).or_insert_with(fresh);
            if entry.started_at > backend.started {
                let (in_flight, attempts) =
                    (backend.in_flight, DecayingSum { updated_at: self.now, ..backend.attempts });
                *backend = Backend { in_flight, attempts, gaps_needed, started: entry.started_at, ..fresh() };
            }
            backend.entry = entry;
        }
        // A backend that returns is listed with its new start.
        self.fleet
            .backends
            .retain(|_, backend| backend.entry.condition != Condition::Gone || backend.in_flight > 0);
    }

    /// The backend with the lowest cost of those that may get an attempt of this request now.
    pub(crate) fn select_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let open = &self.requests.open[&id];
        let (class, typical) = (self.class(open), self.fleet.typical[usize::from(open.request.class)]);
        let first_attempt = open.may_have_run.filter(|_| class.idempotency == Idempotency::Deduplicated);
        let first_backend = first_attempt.and_then(|(backend, _)| self.fleet.backends.get(&backend));
        let lost = first_attempt.is_some() && first_backend.is_none() && class.dedup_scope != DedupScope::All;
        if lost || first_attempt.is_some_and(|(_, sent)| self.now >= sent + class.dedup_window) {
            return None;
        }
        // A limit below 1 permits an attempt after a pause.
        let pause = typical * (1.0 / self.fleet.limit - 1.0);
        let full = self.requests.in_flight.len() as f64 + 1.0 > self.fleet.limit.max(1.0);
        if self.fleet.limit > 0.0 && (full || ((self.now - self.fleet.attempts.updated_at) as f64) < pause) {
            return None;
        }
        let (ready_count, decay_time, gap) = (self.ready_count(), self.attempt_decay(), OnceCell::new());
        let mean_weight = self.sum_over_ready(|backend| backend.entry.weight) / ready_count;
        let mean_timeout_rate = self.sum_over_ready(|backend| backend.timeout_rate) / ready_count;
        let time_left = self.useful_until(open).saturating_sub(self.now) as f64;
        let scope_key = |backend: &Backend| class.dedup_scope.key(&backend.entry);
        let eligible = |backend: &&Backend| {
            let single = backend.ejections > 0 || typical * backend.latency > MAX_WAIT * time_left;
            backend.entry.condition == Condition::Ready
                && first_backend.is_none_or(|first| scope_key(first) == scope_key(backend))
                && backend.ejected_until <= self.now
                && !(single && backend.in_flight > 0)
                && self.slow_start_permits(backend, || *gap.get_or_init(|| self.attempt_gap()))
        };
        let cost = |backend: &Backend| {
            let weight = if mean_weight > 0.0 { (backend.entry.weight / mean_weight).max(0.1) } else { 1.0 };
            let recent = backend.attempts.value_at(self.now, decay_time);
            let cost = (f64::from(backend.in_flight) + recent + 1.0) * backend.latency / weight;
            // Relative to the others: time-outs of all say nothing. A backend not used may be healthy again.
            let late = (backend.timeout_rate - mean_timeout_rate).max(0.0)
                * decay(self.now, backend.attempts.updated_at, TIMEOUT_RATE_DECAY);
            let cost =
                cost * (1.0 + FAILURE_COST * (backend.failure_rate + late) + JITTER * self.rng.sample());
            cost * if backend.entry.zone == self.settings.zone { 1.0 } else { CROSS_ZONE }
        };
        let costs =
            self.fleet.backends.values().filter(eligible).map(|backend| (cost(backend), backend.entry.id));
        costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, backend)| backend)
    }

    /// Limits attempts to the whole fleet: one gateway of many has too few responses to limit each backend.
    pub(crate) fn update_limit(&mut self, ratio: f64) {
        let backends = self.ready_count() / f64::from(self.settings.gateways.max(1));
        self.fleet.latency += NEWEST * (ratio.min(MAX_RELATIVE_LATENCY) - self.fleet.latency);
        if self.fleet.limit == 0.0 {
            self.fleet.limit = INITIAL_LIMIT * backends;
        } else if self.fleet.latency > QUEUEING && (self.now - self.fleet.cut_at) as f64 > self.fleet.best[0]
        {
            self.fleet.limit = (self.fleet.limit * LIMIT_CUT).max(MIN_LIMIT * INITIAL_LIMIT * backends);
            self.fleet.cut_at = self.now;
        } else if self.fleet.latency < LIGHT && self.requests.in_flight.len() as f64 + 2.0 >= self.fleet.limit
        {
            self.fleet.limit += self.fleet.limit.min(1.0 / self.fleet.limit);
        }
    }

    pub(crate) fn record_outcome(&mut self, id: BackendId, class: usize, outcome: Outcome, elapsed: Micros) {
        let (target, typical, now) =
            (self.settings.classes[class].latency_target as f64, self.fleet.typical[class], self.now);
        let (ok, timed_out) = (outcome == Outcome::Ok, outcome == Outcome::Timeout);
        let latency = (elapsed as f64).max(if timed_out { target } else { 0.0 });
        if ok || timed_out {
            self.update_limit(latency / self.fleet.best[class]);
        }
        let ejected = self.sum_over_ready(|backend| f64::from(u8::from(backend.ejected_until > now)));
        let may_eject = ejected == 0.0 || ejected + 1.0 <= MAX_EJECTED * self.ready_count();
        let (has_capacity, best) = (self.fleet.latency < LIGHT, self.fleet.best[class]);
        let Some(backend) = self.fleet.backends.get_mut(&id) else { return };
        match outcome {
            Outcome::Ok | Outcome::Timeout => {
                backend.latency += NEWEST * (latency / typical - backend.latency);
                backend.timeout_rate += NEWEST * (f64::from(u8::from(timed_out)) - backend.timeout_rate);
                backend.speed += SPEED_NEWEST * ((best / latency.max(1.0)).min(1.0) - backend.speed);
                backend.lost += u32::from(timed_out && elapsed as f64 > QUEUEING * typical && has_capacity);
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::Full => {
                backend.failure_rate += NEWEST * (1.0 - backend.failure_rate);
                backend.lost += u32::from(matches!(outcome, Outcome::ConnectFailed | Outcome::Reset));
            }
            Outcome::Stale | Outcome::Cancelled | Outcome::Moot | Outcome::Withheld => return,
        }
        if ok {
            self.fleet.typical[class] += FLEET_NEWEST * (latency - typical);
            let best = best * (1.0 + FLEET_NEWEST * BEST_RISE);
            self.fleet.best[class] = best.min(self.fleet.typical[class]).min(MAX_BEST * target);
            backend.failure_rate -= NEWEST * backend.failure_rate;
            (backend.ejections, backend.lost) = (0, 0);
        }
        let faulty = backend.failure_rate > EJECT_RATE || backend.lost >= EJECT_LOST || backend.ejections > 0;
        if may_eject && !ok && (!timed_out || has_capacity) && faulty && backend.ejected_until <= now {
            let first = EJECT_FIRST * self.settings.limits.connect_timeout as f64;
            let span = first * f64::from(1u32 << backend.ejections.min(EJECT_DOUBLINGS));
            backend.ejected_until = now + span as Micros;
            backend.ejections += 1;
        }
    }
}
