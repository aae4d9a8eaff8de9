//! Backends: the choice among them, what their answers teach, and when one is left out.

use crate::figures::{faded, Fading};
use crate::interface::*;
use crate::Gateway;
use std::cell::OnceCell;
use std::collections::BTreeMap;

/// Concurrency limit that a fleet starts from: attempts in flight per backend, over all gateways together.
const INITIAL_LIMIT: f64 = 16.0;
const LIMIT_CUT: f64 = 0.8; // factor on the limit at a sign of overload
const MIN_LIMIT: f64 = 0.3; // of the initial limit
/// Cap on the relative latency of one response: if 4 in 10 are lost for other reasons, that is no overload.
const MAX_RELATIVE_LATENCY: f64 = 4.0;
const CAPACITY_LEFT: f64 = 1.7; // relative latency below which backends can take more
const QUEUEING: f64 = 2.5; // relative latency above which more attempts in flight only add latency
/// Cap on the best latency, as a part of the latency target: an overloaded fleet must not seem a slow one.
const MAX_BEST: f64 = 0.15;
const BEST_RISE: f64 = 0.05; // of the best latency in about 100 responses: a fleet may become slower
/// Weight of the newest response in a backend's estimates (about the last 10 count), in its speed (20, lest
/// a few lucky responses make a backend that is warming up look fast), and in the fleet's estimates (50).
const NEWEST: f64 = 0.1;
const SPEED_NEWEST: f64 = 0.05;
const FLEET_NEWEST: f64 = 0.02;
const FAILURE_COST: f64 = 8.0; // growth of a backend's cost with its failure rate (factor)
const TIMEOUT_RATE_DECAY: f64 = 5e6; // us; the time-outs of a backend that is sent nothing are forgotten
const EJECT_FAILURE_RATE: f64 = 0.4;
/// Attempts in a row, reset or unanswered while the fleet has capacity: a vanished host resets no connection.
const EJECT_BROKEN: u32 = 3;
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
    /// Usual time of a good answer for each class (us), and the least of late: work without queues.
    pub(crate) usual: Vec<f64>,
    pub(crate) best: Vec<f64>,
    /// Bound on this gateway's attempts out (0: none yet), times of its answers against the best, latest cut.
    pub(crate) room: f64,
    pub(crate) pace: f64,
    pub(crate) cut_at: Micros,
    /// Attempts lately sent, and what the fleet could do meanwhile, in warm backends.
    pub(crate) sent: Fading,
    pub(crate) able: Fading,
}

impl Fleet {
    /// Begins on the classes that it does not know yet.
    pub(crate) fn begin(&mut self, classes: &[Class]) {
        self.usual
            .extend(classes[self.usual.len()..].iter().map(|class| class.latency_target as f64 * MAX_BEST));
        self.best.extend_from_slice(&self.usual[self.best.len()..]);
    }
}

#[derive(Clone, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Backend {
    #[serde(skip)]
    pub(crate) entry: BackendEntry,
    pub(crate) out: u32,
    /// Time of its answers against the fleet's usual one.
    pub(crate) slow: f64,
    pub(crate) fails: f64,
    /// Part of its attempts that were given up, and its speed since its start (1: the fleet's best).
    pub(crate) late: f64,
    pub(crate) speed: f64,
    /// Attempts broken or left without an answer since its last good one.
    pub(crate) down: u32,
    pub(crate) ejected_until: Micros,
    /// How often it was left out since its last good answer; if it was, it gets one attempt at a time.
    pub(crate) ejections: u32,
    /// When it was last seen to start, and turns to be earned before it is sent the next attempt.
    pub(crate) started: Micros,
    pub(crate) phase: f64,
    /// Attempts lately sent, faded over the time that a turn through all backends takes.
    pub(crate) recent: Fading,
}

impl Gateway {
    pub(crate) fn backends_told(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        // All of a whole list's are told below: what it leaves out is gone.
        let whole = kind == ListKind::Full || kind == ListKind::Cached;
        let known = self.fleet.backends.values_mut().filter(|_| whole);
        known.for_each(|backend| backend.entry.condition = Condition::Gone);
        let ask = self.settings.discovery == Discovery::Poll && kind == ListKind::Cached;
        if ask || kind == ListKind::Failed {
            self.actions.push(Action::Subscribe { on: true });
        }
        for entry in entries {
            // All gateways hear of a start at about the same time: each begins in its own part of a turn.
            let (fresh, phase) = (|| Backend { slow: 1.0, ..Backend::default() }, self.chance.next());
            let backend = self.fleet.backends.entry(entry.id).or_insert_with(fresh);
            if entry.started_at > backend.started {
                let (out, recent) = (backend.out, Fading { at: self.now, ..backend.recent });
                *backend = Backend { out, recent, phase, started: entry.started_at, ..fresh() };
            }
            backend.entry = entry;
        }
        // One that comes back is told with its new start.
        self.fleet
            .backends
            .retain(|_, backend| backend.entry.condition != Condition::Gone || backend.out > 0);
    }

    /// The cheapest backend that may take this request now, if any.
    pub(crate) fn pick(&mut self, id: RequestId) -> Option<BackendId> {
        let open = &self.requests.open[&id];
        let (class, usual) = (self.class(open), self.fleet.usual[usize::from(open.request.class)]);
        let bound_to = open.may_have_run.filter(|_| class.idempotency == Idempotency::Deduplicated);
        let home = bound_to.and_then(|(backend, _)| self.fleet.backends.get(&backend));
        let lost = bound_to.is_some() && home.is_none() && class.dedup_scope != DedupScope::All;
        if lost || bound_to.is_some_and(|(_, sent)| self.now >= sent + class.dedup_window) {
            return None;
        }
        // A bound under one leaves room for an attempt after a pause.
        let pause = usual * (1.0 / self.fleet.room - 1.0);
        let full = self.requests.flights.len() as f64 + 1.0 > self.fleet.room.max(1.0);
        if self.fleet.room > 0.0 && (full || ((self.now - self.fleet.sent.at) as f64) < pause) {
            return None;
        }
        let (ready, turn, gap) = (self.ready(), self.turn(), OnceCell::new());
        let mean = self.over_ready(|backend| backend.entry.weight) / ready;
        let usually_late = self.over_ready(|backend| backend.late) / ready;
        let left = self.useless_at(open).saturating_sub(self.now) as f64;
        let group = |backend: &Backend| class.dedup_scope.key(&backend.entry);
        let may = |backend: &&Backend| {
            let one = backend.ejections > 0 || usual * backend.slow > MAX_WAIT * left;
            backend.entry.condition == Condition::Ready
                && home.is_none_or(|home| group(home) == group(backend))
                && backend.ejected_until <= self.now
                && !(one && backend.out > 0)
                && self.cold_allows(backend, || *gap.get_or_init(|| self.cold_gap()))
        };
        let cost = |backend: &Backend| {
            let size = if mean > 0.0 { (backend.entry.weight / mean).max(0.1) } else { 1.0 };
            let recent = backend.recent.left(self.now, turn);
            let cost = (f64::from(backend.out) + recent + 1.0) * backend.slow / size;
            // More than the others: where all are late it tells nothing. One left alone may be well again.
            let late = (backend.late - usually_late).max(0.0)
                * faded(self.now, backend.recent.at, TIMEOUT_RATE_DECAY);
            let cost = cost * (1.0 + FAILURE_COST * (backend.fails + late) + JITTER * self.chance.next());
            cost * if backend.entry.zone == self.settings.zone { 1.0 } else { CROSS_ZONE }
        };
        let costs = self.fleet.backends.values().filter(may).map(|backend| (cost(backend), backend.entry.id));
        costs.min_by(|one, other| one.0.total_cmp(&other.0)).map(|(_, backend)| backend)
    }

    /// Bounds all attempts out by all answers: one gateway of many sees a backend too rarely to bound each.
    pub(crate) fn bound_all(&mut self, pace: f64) {
        let share = self.ready() / f64::from(self.settings.gateways.max(1));
        self.fleet.pace += NEWEST * (pace.min(MAX_RELATIVE_LATENCY) - self.fleet.pace);
        if self.fleet.room == 0.0 {
            self.fleet.room = INITIAL_LIMIT * share;
        } else if self.fleet.pace > QUEUEING && (self.now - self.fleet.cut_at) as f64 > self.fleet.best[0] {
            self.fleet.room = (self.fleet.room * LIMIT_CUT).max(MIN_LIMIT * INITIAL_LIMIT * share);
            self.fleet.cut_at = self.now;
        } else if self.fleet.pace < CAPACITY_LEFT
            && self.requests.flights.len() as f64 + 2.0 >= self.fleet.room
        {
            self.fleet.room += self.fleet.room.min(1.0 / self.fleet.room);
        }
    }

    pub(crate) fn learn(&mut self, id: BackendId, class: usize, outcome: Outcome, waited: Micros) {
        let (aim, usual, now) =
            (self.settings.classes[class].latency_target as f64, self.fleet.usual[class], self.now);
        let (ok, timeout) = (outcome == Outcome::Ok, outcome == Outcome::Timeout);
        let took = (waited as f64).max(if timeout { aim } else { 0.0 });
        if ok || timeout {
            self.bound_all(took / self.fleet.best[class]);
        }
        let others_out = self.over_ready(|backend| f64::from(u8::from(backend.ejected_until > now)));
        let may_eject = others_out == 0.0 || others_out + 1.0 <= MAX_EJECTED * self.ready();
        let (roomy, best) = (self.fleet.pace < CAPACITY_LEFT, self.fleet.best[class]);
        let Some(backend) = self.fleet.backends.get_mut(&id) else { return };
        match outcome {
            Outcome::Ok | Outcome::Timeout => {
                backend.slow += NEWEST * (took / usual - backend.slow);
                backend.late += NEWEST * (f64::from(u8::from(timeout)) - backend.late);
                backend.speed += SPEED_NEWEST * ((best / took.max(1.0)).min(1.0) - backend.speed);
                backend.down += u32::from(timeout && waited as f64 > QUEUEING * usual && roomy);
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::Full => {
                backend.fails += NEWEST * (1.0 - backend.fails);
                backend.down += u32::from(matches!(outcome, Outcome::ConnectFailed | Outcome::Reset));
            }
            Outcome::Stale | Outcome::Cancelled | Outcome::Moot | Outcome::Withheld => return,
        }
        if ok {
            self.fleet.usual[class] += FLEET_NEWEST * (took - usual);
            let best = best * (1.0 + FLEET_NEWEST * BEST_RISE);
            self.fleet.best[class] = best.min(self.fleet.usual[class]).min(MAX_BEST * aim);
            backend.fails -= NEWEST * backend.fails;
            (backend.ejections, backend.down) = (0, 0);
        }
        let failing =
            backend.fails > EJECT_FAILURE_RATE || backend.down >= EJECT_BROKEN || backend.ejections > 0;
        if may_eject && !ok && (!timeout || roomy) && failing && backend.ejected_until <= now {
            let first = EJECT_FIRST * self.settings.limits.connect_timeout as f64;
            let span = first * f64::from(1u32 << backend.ejections.min(EJECT_DOUBLINGS));
            backend.ejected_until = now + span as Micros;
            backend.ejections += 1;
        }
    }
}
