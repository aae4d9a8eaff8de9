//! Every decision of a gateway, in the types of `src/interface.rs`.
//! Top-down: quota, ceiling, counter health, backends, cold start, queue and deadlines, attempts.

use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;

/// Longest life of a counter name (us), and the part of it that a window may take: two and late reads fit.
const LONGEST_LIFE: f64 = 60e6;
const WINDOW_PART: f64 = 0.4;
/// Fewest ticks in a window: below that, the time for a call to the counter blurs it.
const WINDOW_TICKS: f64 = 50.0;
/// Weight of a customer's newest window in this gateway's part of its units: shifts last about two windows.
const SHARE_WEIGHT: f64 = 0.5;
/// Part of its own units that a total shows at least, rounded to seven digits and kept so by others.
const ROUNDING: f64 = 0.9;
/// Part of the counter's time-out after which an answer counts as late: before that, queues still drain.
const LATE_ANSWER: f64 = 0.5;
/// Bad answers in a row after which requests no longer wait for the counter, until a good one.
const UNWELL_AFTER: u32 = 2;
/// Factors on the spacing of calls with a bad and a good answer (in balance one in four is late), its fading
/// and its longest (us), and the windows up to which a customer's wait for a call counts.
const SPACING_UP: f64 = 1.5;
const SPACING_DOWN: f64 = 0.88;
const SPACING_FADE: f64 = 10e6;
const LONGEST_SPACING: f64 = 120e6;
const LONGEST_WAIT: f64 = 2.0;
/// Least part of the usual chance to ask a crowded counter, for a customer far below its limit: a call
/// tells most where the decision is near.
const CALM_PART: f64 = 0.2;
/// Steps of the share refused where nothing is told, with each refusal on a total and each pass: it rests at
/// one refusal in five, so that told decisions fill the quota first.
const REFUSED_STEP: f64 = 0.32;
const PASSED_STEP: f64 = -0.08;
/// Most gateways of a customer for which own units tell of the others'; past it, one would stand for a burst.
const TELLING_SPREAD: f64 = 6.0;
/// While calls are rare, gateways tell one another what they send on: part of the messages taken in that this
/// may use, for how long after the last crowd, and the length of a record (a customer and its units).
const NEWS_PART: f64 = 0.5;
const NEWS_STAY: f64 = 5e6;
const NEWS_RECORD: usize = 12;
const LONGEST_NEWS: usize = 252;
/// Multiple of its part of the quota that a gateway may send alone: parts are uneven, and known roughly.
const ALONE_PART: f64 = 1.5;
/// Usual gaps between two attempts to one backend over which recent ones count: they keep turns even.
const TURN_GAPS: f64 = 2.0;
/// Attempts out at each backend that all gateways together start from, before answers teach better; the part
/// that stays after a sign of overload, and at least: what times out may do so for other reasons. Most that
/// one answer counts for, against the best: four in ten lost to other causes are no overload yet.
const FIRST_BOUND: f64 = 16.0;
const OUT_CUT: f64 = 0.8;
const LEAST_PART: f64 = 0.3;
const MOST_PACE: f64 = 4.0;
/// Answer times against the fleet's best: below, a backend has room; above, more in hand only slows it.
const ROOMY: f64 = 1.7;
const QUEUED: f64 = 2.5;
/// Most of the aim that work without queues may need, lest a fleet overrun from the start pass for slow.
const BEST_OF_AIM: f64 = 0.15;
/// Rise of the fleet's best time with each hundred answers or so (part): what was once fast need not last.
const BEST_RISE: f64 = 0.05;
/// Part of the aim for which a request is held for want of a backend; the rest must do for its work.
const HOLD_PART: f64 = 0.3;
/// Weight of the newest answer in a backend's figures (the last ten count), and in the fleet's (fifty).
const NEWEST: f64 = 0.1;
const FLEET_NEWEST: f64 = 0.02;
/// How much a failing backend's cost grows with its share of failures (factor).
const FAIL_COST: f64 = 8.0;
/// Share of failures past which a backend is left out, and attempts in a row that suffice, broken or left
/// unanswered while the fleet has room: a machine that vanishes breaks nothing, and a fleet that is overrun
/// has none to leave out. Hurts one that is overrun alone, but spares it work for a while.
const FAIL_EJECT: f64 = 0.4;
const DOWN_EJECT: u32 = 3;
/// that breaks connections, say) and those still in would only be overrun. Guards too against a fleet that
/// that breaks connections, say), and those still in would only be overrun. Guards too against a fleet that
/// restarts at once. May hurt where more than half are truly down: attempts then go there, at a higher cost.
const MOST_EJECTED: f64 = 0.5;
/// Connections kept unused for longer are not used again where more of these break than of new ones: the
/// shortest time (us) and the doublings told apart, the margin (a broken request costs far more than a
/// handshake), how many requests count as no different, and the fading (us): then longer is tried again.
/// Guards against whatever drops connections unseen; may hurt where handshakes are dear.
const SHORTEST_KEPT: Micros = 16_000;
const AGES: usize = 10;
const BREAK_MARGIN: f64 = 0.05;
const BREAK_PRIOR: f64 = 8.0;
const BREAK_FADE: f64 = 20e6;
/// First time a backend is left out, in connect time-outs, and how often it doubles.
const EJECT_FIRST: f64 = 2.0;
const EJECT_DOUBLES: u32 = 4;
/// Cost factor of another zone, for near-ties only; chance adds up to twice that, lest all choose alike.
const CROSS_ZONE: f64 = 1.05;
const JITTER: f64 = 0.1;
/// Ticks that an answer needs to reach the client after the gateway has it, taken off the aim.
const AIM_MARGIN_TICKS: u64 = 2;
/// Customers looked at with each request, and windows of silence after which one is forgotten: its units have
/// been refilled, the counter has dropped its names, and what it may send untold has grown back.
const LOOKED_AT: usize = 4;
const FORGET_AFTER: f64 = 6.0;
/// Fall times over which this gateway's rate of attempts is taken.
const RATE_SPAN: f64 = 2.0;

/// One gateway: `handle` takes each event and appends what to do about it.
#[derive(Default)]
pub struct Gateway {
    settings: Settings,
    random: u64,
    now: Micros,
    customers: BTreeMap<CustomerId, Customer>,
    looked_at: CustomerId,
    counter: CounterHealth,
    /// Customers whose latest units peers are yet to hear of, when that is next done, and until when it is.
    news: VecDeque<CustomerId>,
    news_at: Micros,
    news_until: Micros,
    calls: BTreeMap<u64, VecDeque<Call>>,
    /// What the event in hand asks for.
    actions: Vec<Action>,
    backends: BTreeMap<BackendId, Backend>,
    /// Usual time of a good answer for each class (us), and the least of late: work without queues.
    usual: Vec<f64>,
    best: Vec<f64>,
    /// Bound on this gateway's attempts out (0: none yet), times of its answers against the best, latest cut.
    room: f64,
    pace: f64,
    cut_at: Micros,
    sent_lately: f64,
    sent_at: Micros,
    /// Requests that a break ended and all, on new connections and on kept ones by their time unused; when
    /// last told, and how long they may be kept.
    carried: [(f64, f64); AGES + 1],
    carried_at: Micros,
    keep_idle: Micros,
    open: BTreeMap<RequestId, Open>,
    flights: BTreeMap<(RequestId, u8), Flight>,
    /// Held requests: most worth for its work first, then the one to be given up soonest.
    queue: BTreeSet<Place>,
    due: BTreeSet<(Micros, RequestId)>,
    armed: Micros,
}

type Place = (Reverse<u64>, Micros, RequestId);

/// What is known of one customer's use, over all gateways.
#[derive(Default)]
struct Customer {
    plan: usize,
    spread: f64,
    first: u16,
    window: u64,
    /// Total of the current window as last told, own units not yet in it, and those the counter has added.
    total: f64,
    unseen: f64,
    own: f64,
    /// Own units sent on that are still to be added.
    owed: f64,
    before: f64,
    before_known: bool,
    before_asked: bool,
    /// Share of its requests that go beyond the quota; when one last asked, and when peers were last told.
    beyond: f64,
    asked_at: Micros,
    told_at: Micros,
    /// Units that the quota has not yet refilled, as their coming was watched, and up to when.
    standing: f64,
    watched: Micros,
    /// This gateway's part of the customer's units, whether that tells of the others', and if so the part.
    share: f64,
    telling: bool,
    part: f64,
    /// What may be sent untold, and when that was last filled.
    spare: f64,
    spare_at: Micros,
    /// Units that peers told of and no total shows yet (below 0: shown before told), and own ones to tell of.
    heard: f64,
    untold: f64,
    out: u32,
    waiting: Vec<RequestId>,
    /// Its requests that are not over, and when the last one came.
    open: u32,
    seen: Micros,
}

/// The share refused untold, after a total has decided, here or at a peer.
fn stepped(beyond: f64, within: bool) -> f64 {
    (beyond + if within { PASSED_STEP } else { REFUSED_STEP }).clamp(0.0, 1.0)
}

/// A call to the counter that is not answered yet.
struct Call {
    customer: CustomerId,
    window: u64,
    amount: f64,
    request: Option<RequestId>,
}

#[derive(Default)]
struct CounterHealth {
    /// Time between a customer's calls from which each of its requests asks (us); 0: each does.
    spacing: f64,
    judged_at: Micros,
    spaced_at: Micros,
    bad: u32,
}

#[derive(Default)]
struct Backend {
    entry: BackendEntry,
    told_gone: bool,
    out: u32,
    /// Time of its answers against the fleet's usual one.
    slow: f64,
    fails: f64,
    /// Attempts broken or left without an answer since its last good one.
    down: u32,
    ejected_until: Micros,
    ejections: u32,
    trial: bool,
    /// When it was last seen to start, when it was last sent to, and turns to be earned before the next.
    started: Micros,
    sent_at: Micros,
    phase: f64,
    /// Attempts lately sent, faded over the time that a turn through all backends takes.
    recent: f64,
}

struct Open {
    request: Request,
    arrived: Micros,
    stage: Stage,
    due: Micros,
    /// Its place in the queue, while it is held.
    place: Place,
    /// Total told with its units, once told, and units that its call stands for.
    counted: Option<f64>,
    stands: f64,
    /// The window that its call adds to.
    window: u64,
    /// The window that its units count in, once let in.
    charged: Option<u64>,
    attempts: u8,
    /// Backend and time of the first attempt that may have run.
    may_have_run: Option<(BackendId, Micros)>,
}

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Asking,
    Held,
    Out,
}

struct Flight {
    backend: BackendId,
    class: usize,
    customer: CustomerId,
    sent: Micros,
}

impl Gateway {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let usual: Vec<f64> = settings.classes.iter().map(|class| class.aim as f64 * BEST_OF_AIM).collect();
        Gateway {
            random: seed,
            best: usual.clone(),
            pace: 1.0,
            usual,
            armed: Micros::MAX,
            keep_idle: Micros::MAX,
            settings,
            ..Gateway::default()
        }
    }

    /// Takes one event and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Backends { kind, entries, .. } => self.backends_told(kind, entries),
            Event::Request(request) => self.arrive(request),
            Event::Timer { token } if token == self.armed => self.armed = Micros::MAX,
            Event::Abandoned { request } | Event::AnswerBegun { request, .. } => self.close(request),
            Event::Carried { unused, broke } => self.carried(unused, broke),
            Event::AttemptEnded(end) => self.attempt_ended(end),
            Event::Counted { count, outcome, total, waited } => self.counted(count, outcome, total, waited),
            Event::PeerMessage { data, .. } => self.told_by_peer(&data),
            Event::Timer { .. } | Event::Probed { .. } => {}
        }
        self.fall_due();
        self.dispatch();
        self.spread_news();
        self.arm();
        actions.append(&mut self.actions);
    }

    /// How many customers and backends it keeps figures of.
    pub fn known(&self) -> (usize, usize) {
        (self.customers.len(), self.backends.len())
    }

    // ---- Quota: the sliding tail ----

    /// Length of a plan's windows (us) and the units that a window's length of use may hold.
    fn window_of(&self, plan: &Plan) -> (f64, f64) {
        let shortest = WINDOW_TICKS * self.settings.tick as f64;
        let natural = plan.burst / plan.rate * 1e6;
        let length = natural.clamp(shortest, LONGEST_LIFE * WINDOW_PART).round();
        (length, plan.rate * length / 1e6)
    }

    fn arrive(&mut self, request: Request) {
        let (id, customer) = (request.id, request.customer);
        let plan = self.settings.plans.get(usize::from(request.plan));
        let (Some(plan), true) = (plan, usize::from(request.class) < self.settings.classes.len()) else {
            return self.actions.push(Action::Fail { request: id });
        };
        let quota = plan.rate > 0.0;
        self.forget();
        self.roll(&request);
        let open = Open {
            arrived: self.now,
            stage: Stage::Asking,
            due: 0,
            place: (Reverse(0), 0, id),
            counted: None,
            stands: 0.0,
            window: 0,
            charged: None,
            attempts: 0,
            may_have_run: None,
            request,
        };
        self.open.insert(id, open);
        if !quota {
            self.admit(id);
        } else {
            self.ask(id, customer);
        }
    }

    fn spacing(&self) -> f64 {
        self.counter.spacing * self.faded(self.counter.judged_at, SPACING_FADE)
    }

    fn by_chance(&mut self, chance: f64) -> bool {
        self.random = mix(self.random);
        (self.random as f64 / u64::MAX as f64) < chance
    }

    /// Moves a customer on to the window that `now` falls in.
    fn roll(&mut self, request: &Request) {
        let (now, plan) = (self.now, &self.settings.plans[usize::from(request.plan)]);
        let spread = f64::from(self.settings.gateways).min(request.spread.max(1.0));
        let length = if plan.rate > 0.0 { self.window_of(plan).0 } else { LONGEST_LIFE };
        let telling = spread <= TELLING_SPREAD || self.settings.counter.is_none();
        let window = now / length as u64;
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            plan: usize::from(request.plan),
            spread,
            window,
            watched: now.saturating_sub(length as Micros),
            share: 1.0 / spread,
            telling,
            part: if telling { 1.0 / spread } else { 1.0 },
            first: request.first_gateway as u16,
            spare: if plan.ceiling_rate > 0.0 { 0.0 } else { self.settings.largest_request },
            spare_at: now,
            ..Customer::default()
        });
        (customer.open, customer.seen) = (customer.open + 1, now);
        self.advance(request.customer);
    }

    fn advance(&mut self, of: CustomerId) {
        let customer = &self.customers[&of];
        let plan = &self.settings.plans[customer.plan];
        let length = if plan.rate > 0.0 { self.window_of(plan).0 } else { LONGEST_LIFE };
        let (window, seen) = (self.now / length as u64, self.seen(customer));
        let customer = self.customers.get_mut(&of).expect("just read");
        if window > customer.window {
            let part = (customer.own + customer.unseen) / if seen > 0.0 { seen } else { f64::INFINITY };
            let known = seen > 0.0 && (customer.telling || customer.total > 0.0);
            let newest = if known { SHARE_WEIGHT } else { 0.0 };
            customer.share += newest * (part.clamp(0.5 / customer.spread, 1.0) - customer.share);
            customer.part = if customer.telling { customer.share } else { 1.0 };
            customer.before = if window == customer.window + 1 { seen } else { 0.0 };
            (customer.window, customer.before_known, customer.before_asked) = (window, false, false);
            (customer.total, customer.unseen, customer.own, customer.owed) = (0.0, 0.0, 0.0, 0.0);
            // Word of what the counter has shown already may still be on its way, or lost.
            customer.heard = customer.heard.min(0.0) / 2.0;
        }
    }

    /// The customer's units of its window by all that is known: own ones stand for others' where none tells.
    fn seen(&self, customer: &Customer) -> f64 {
        customer.total + customer.heard.max(0.0) + customer.unseen / self.part(customer)
    }

    fn part(&self, customer: &Customer) -> f64 {
        if self.now < self.news_until {
            1.0
        } else {
            customer.part
        }
    }

    /// Forgets customers whose figures say nothing any more: many come once only. A few at a time, in turn.
    fn forget(&mut self) {
        for _ in 0..LOOKED_AT {
            let next = self.customers.range(self.looked_at..).next();
            let Some((of, customer)) = next else { return self.looked_at = 0 };
            let plan = &self.settings.plans[customer.plan];
            let length = if plan.rate > 0.0 { self.window_of(plan).0 } else { LONGEST_LIFE };
            let silent = (self.now - customer.seen) as f64 > FORGET_AFTER * length;
            let (of, over) = (*of, customer.open == 0 && customer.out == 0 && silent);
            self.looked_at = of.saturating_add(1);
            if over {
                self.customers.remove(&of);
            }
        }
    }

    /// The design's estimate: the previous window by its unelapsed fraction, and the current one.
    fn estimate(&self, customer: &Customer, current: f64) -> f64 {
        let (length, _) = self.window_of(&self.settings.plans[customer.plan]);
        let elapsed = (self.now as f64 - customer.window as f64 * length) / length;
        customer.before * (1.0 - elapsed).clamp(0.0, 1.0) + current
    }

    /// Takes note of others' units that came since the last look, around the middle of that time, and of own
    /// ones that come now. The quota refills all the while: what came early stands for less than late units.
    fn watch(&mut self, of: CustomerId, others: f64, own: f64) {
        let now = self.now;
        let customer = self.customers.get_mut(&of).expect("rolled on arrival");
        let half = self.settings.plans[customer.plan].rate * (now - customer.watched) as f64 / 2e6;
        let middle = (customer.standing - half).max(0.0) + others;
        customer.standing = (middle - half).max(0.0) + own;
        customer.watched = now;
    }

    /// Whether the customer's use is within its limit: by the design's estimate, or, where that assumes
    /// units to stand that were seen to come early enough to be refilled, by when they came.
    fn within(&self, of: CustomerId, current: f64, further: f64) -> bool {
        let customer = &self.customers[&of];
        let plan = &self.settings.plans[customer.plan];
        let refilled = plan.rate * (self.now - customer.watched) as f64 / 1e6;
        self.estimate(customer, current + further) <= self.window_of(plan).1
            || (customer.standing - refilled).max(0.0) + further <= plan.burst
    }

    /// Adds the request's units to the current window. A crowded counter is asked by chance, less after a new
    /// call: own units of a customer of few gateways then wait, else a call stands for those not made.
    fn ask(&mut self, id: RequestId, of: CustomerId) {
        let (units, customer) = (self.open[&id].request.units, &self.customers[&of]);
        let (length, limit) = self.window_of(&self.settings.plans[customer.plan]);
        let (since, spacing) = ((self.now - customer.asked_at) as f64, self.spacing());
        let near = ((self.estimate(customer, self.seen(customer)) + units) / limit).clamp(CALM_PART, 1.0);
        let earned = near * since.min(LONGEST_WAIT * length) / spacing.max(1.0);
        let mut chance = if spacing > self.settings.tick as f64 { earned.clamp(1e-3, 1.0) } else { 1.0 };
        // Under a ceiling little may be sent untold: past that, only a total can let in what the quota holds.
        if chance < 1.0 && self.ceiling_stops(of, units) {
            chance = 1.0;
        }
        let asks = self.settings.counter.is_some() && self.by_chance(chance);
        let waits = asks && self.counter.bad < UNWELL_AFTER;
        let alone = !waits && self.decide_alone(id);
        let customer = self.customers.get_mut(&of).expect("rolled on arrival");
        let sparse = chance < 1.0 && !customer.telling;
        customer.owed += if alone && !sparse { units } else { 0.0 };
        if !asks {
            return;
        }
        customer.asked_at = self.now;
        let (window, owed) = (customer.window, std::mem::take(&mut customer.owed));
        let stands = if sparse { units / chance } else { units };
        let amount = owed + if waits || (sparse && alone) { stands } else { 0.0 };
        if waits {
            customer.waiting.push(id);
            let patience = self.settings.counter.map_or(0, |counter| counter.timeout);
            let open = self.open.get_mut(&id).expect("open");
            (open.stands, open.window) = (stands, window);
            let latest = self.useless_at(&self.open[&id]);
            self.set_due(id, (self.now + patience).min(latest).max(self.now + 1));
        }
        self.call(Call { customer: of, window, amount, request: waits.then_some(id) });
    }

    fn call(&mut self, call: Call) {
        let plan = &self.settings.plans[self.customers[&call.customer].plan];
        let life = (2.5 * self.window_of(plan).0).min(LONGEST_LIFE) as Micros;
        let (count, amount) = (mix(mix(call.customer) ^ call.window), call.amount);
        self.calls.entry(count).or_default().push_back(call);
        self.actions.push(Action::Count { count, amount, life });
    }

    /// Tells a customer's other gateways how a total decided, while calls are too rare for each to see it.
    fn tell(&mut self, of: CustomerId, refused: bool) {
        let (now, gateways, own) = (self.now, self.settings.gateways, self.settings.index);
        let length = self.window_of(&self.settings.plans[self.customers[&of].plan]).0 as Micros;
        let customer = self.customers.get_mut(&of).expect("just read");
        let due = now > customer.told_at + length && customer.beyond > REFUSED_STEP / 2.0;
        if due && self.settings.limits.peer_messages {
            customer.told_at = now;
            let data: Vec<u8> = of.to_le_bytes().into_iter().chain([u8::from(refused)]).collect();
            let set = (0..customer.spread as u16).map(|next| (customer.first + next) % gateways);
            let others = set.filter(|to| *to != own);
            self.actions.extend(others.map(|to| Action::Tell { to: Some(to), data: data.clone() }));
        }
    }

    /// Notes units sent on, for peers to be told of.
    fn note_news(&mut self, of: CustomerId, units: f64) {
        let Some(customer) = self.customers.get_mut(&of).filter(|_| self.now < self.news_until) else {
            return;
        };
        if customer.telling && customer.spread > 1.0 {
            if customer.untold == 0.0 {
                self.news.push_back(of);
            }
            customer.untold += units;
        }
    }

    fn spread_news(&mut self) {
        if self.news.is_empty() || self.now < self.news_at {
            return;
        }
        let senders = f64::from(self.settings.gateways - 1);
        let pause = senders * 1e6 / (NEWS_PART * self.settings.limits.peer_intake);
        self.news_at = self.now + pause as Micros;
        let mut data = Vec::new();
        while data.len() < LONGEST_NEWS {
            let Some(of) = self.news.pop_front() else { break };
            let Some(customer) = self.customers.get_mut(&of) else { continue };
            data.extend(of.to_le_bytes());
            data.extend((std::mem::take(&mut customer.untold) as f32).to_le_bytes());
        }
        self.actions.push(Action::Tell { to: None, data });
    }

    /// Takes note of units that a peer has sent on, but for those that the counter has shown already.
    fn heard(&mut self, of: CustomerId, units: f64) {
        if !self.customers.contains_key(&of) || !(0.0..=1e6).contains(&units) {
            return;
        }
        self.advance(of);
        let customer = self.customers.get_mut(&of).expect("just read");
        let known = customer.heard.max(0.0);
        customer.heard += units;
        let came = customer.heard.max(0.0) - known;
        self.watch(of, came, 0.0);
    }

    /// A peer's word in the form of `spread_news` or of `tell`; anything else changes nothing.
    fn told_by_peer(&mut self, data: &[u8]) {
        if data.len() % NEWS_RECORD == 0 {
            for record in data.chunks_exact(NEWS_RECORD) {
                let (of, units) = record.split_at(NEWS_RECORD - 4);
                if let (Ok(of), Ok(units)) = (of.try_into(), units.try_into()) {
                    self.heard(CustomerId::from_le_bytes(of), f64::from(f32::from_le_bytes(units)));
                }
            }
            return;
        }
        let Some((refused, of)) = data.split_last().filter(|(refused, _)| **refused < 2) else { return };
        let Ok(of) = <[u8; 8]>::try_from(of).map(CustomerId::from_le_bytes) else { return };
        if let Some(customer) = self.customers.get_mut(&of) {
            customer.told_at = self.now;
            customer.beyond = stepped(customer.beyond, *refused == 0);
        }
    }

    fn counted(&mut self, count: u64, outcome: Outcome, total: f64, waited: Micros) {
        let Some(call) = self.calls.get_mut(&count).and_then(VecDeque::pop_front) else { return };
        if self.calls[&count].is_empty() {
            self.calls.remove(&count);
        }
        self.judge_counter(outcome, waited);
        let Some(plan) = self.customers.get(&call.customer).map(|customer| customer.plan) else { return };
        let (length, limit) = self.window_of(&self.settings.plans[plan]);
        let part = self.part(&self.customers[&call.customer]);
        let customer = self.customers.get_mut(&call.customer).expect("just read");
        let undecided = |call: &&Call| call.request.is_some_and(|id| customer.waiting.contains(&id));
        let others = self.calls.get(&count).into_iter().flatten();
        let still_out: f64 = others.filter(|call| !undecided(call)).map(|call| call.amount).sum();
        let asking = call.request.filter(|id| customer.waiting.contains(id));
        let asked = asking.and_then(|id| self.open.get(&id)).map_or(0.0, |open| open.request.units);
        let (current, read) = (call.window == customer.window, call.window + 1 == customer.window);
        let mut came = 0.0;
        match outcome {
            Outcome::Ok if current => {
                // A counter that lost its numbers shows less than this gateway alone added: put that back.
                // May hurt where a name ended early: old units then count twice for a window.
                let lost = if total < ROUNDING * (customer.own + call.amount) { customer.own } else { 0.0 };
                customer.owed += lost;
                customer.own += call.amount - lost;
                let unseen = (customer.owed - lost + still_out).max(0.0);
                let guessed = (customer.unseen - unseen) / part;
                came = if lost > 0.0 { asked } else { total - customer.total - guessed };
                (customer.total, customer.unseen) = (total + lost, unseen);
                if let Some(open) = call.request.and_then(|id| self.open.get_mut(&id)) {
                    open.counted = Some(customer.total - open.stands + open.request.units);
                }
            }
            Outcome::Ok if read && !customer.before_known => {
                came = total - customer.before;
                (customer.before, customer.before_known) = (total, true);
            }
            _ if current && outcome.never_ran() => {
                customer.waiting.retain(|id| asking != Some(*id));
                customer.owed += call.amount;
            }
            _ => {}
        }
        customer.before_asked &= customer.before_known || !read || outcome == Outcome::Ok;
        // The previous window is read only where it could change the decision.
        let elapsed = (self.now as f64 / length).fract();
        let most_before = customer.before.max(limit) * (1.0 - elapsed);
        let known = customer.before_known || most_before + customer.total <= limit;
        let told = current && outcome == Outcome::Ok;
        let reads = told && !known && !std::mem::replace(&mut customer.before_asked, true);
        let mut waiting = customer.waiting.clone();
        waiting.extend(call.request.filter(|id| outcome.never_ran() && !waiting.contains(id)));
        let own = if told { asked } else { 0.0 };
        let mut others = came - own;
        if told {
            // Others' units in the total are those that peers told of, first of all.
            let left = (customer.heard - others).max(-limit);
            others += left.max(0.0) - std::mem::replace(&mut customer.heard, left).max(0.0);
        }
        self.watch(call.customer, others, own);
        for id in waiting {
            let answered = self.open.get(&id).is_some_and(|open| open.counted.is_some());
            if (call.request == Some(id) && !told) || (read && !known) {
                self.decide_alone(id);
            } else if answered && known {
                self.decide(id);
            }
        }
        if reads {
            let window = call.window.saturating_sub(1);
            self.call(Call { window, amount: 0.0, request: None, ..call });
        }
    }

    /// The ordinary path: the counter has answered, and the weighted estimate decides.
    fn decide(&mut self, id: RequestId) {
        let Some(open) = self.open.get(&id) else { return };
        let (of, units, stands) = (open.request.customer, open.request.units, open.stands);
        let heard = self.customers[&of].heard.max(0.0);
        let within = self.within(of, open.counted.unwrap_or(0.0) + heard, 0.0);
        let customer = self.customers.get_mut(&of).expect("just read");
        customer.beyond = stepped(customer.beyond, within);
        customer.waiting.retain(|other| *other != id);
        let window = customer.window;
        if stands > units {
            self.tell(of, !within);
        }
        if within {
            self.admit(id);
        } else {
            self.give_back(of, window, stands);
            self.refuse_beyond(id);
        }
    }

    /// Refused units must not swell the count, or a greedy customer would be starved of its quota.
    fn give_back(&mut self, of: CustomerId, window: u64, units: f64) {
        let crowded = self.settings.counter.is_none_or(|counter| self.spacing() > counter.timeout as f64);
        let customer = self.customers.get_mut(&of).expect("has a call");
        let carried = crowded && customer.telling;
        customer.standing -= units;
        if window == customer.window {
            customer.total -= units;
            customer.owed -= if carried { units } else { 0.0 };
        } else if window + 1 == customer.window {
            customer.before -= units;
        }
        if !carried {
            self.call(Call { customer: of, window, amount: -units, request: None });
        }
    }

    fn refuse_beyond(&mut self, id: RequestId) {
        let request = &self.open[&id].request;
        let customer = &self.customers[&request.customer];
        let plan = &self.settings.plans[customer.plan];
        let wait = (customer.standing + request.units - plan.burst).max(0.0) / plan.rate * 1e6;
        self.refuse(id, wait as Micros);
    }

    // ---- Ceiling and open cap ----

    /// Units that may be sent untold: under a ceiling, this gateway's part of what lies between quota and it,
    /// so that all parts and the told units stay below; else, of many gateways, its part of the quota.
    fn spare(&mut self, of: CustomerId) -> f64 {
        let (now, largest) = (self.now, self.settings.largest_request);
        let customer = self.customers.get_mut(&of).expect("rolled on arrival");
        let plan = &self.settings.plans[customer.plan];
        let (rate, most) = if plan.ceiling_rate > 0.0 {
            let most = (plan.ceiling_burst - plan.burst).max(0.0) / customer.spread;
            ((plan.ceiling_rate - plan.rate).max(0.0) / customer.spread, most)
        } else if customer.telling {
            return f64::INFINITY;
        } else {
            let part = ALONE_PART * customer.share.max(1.0 / customer.spread);
            (plan.rate * part, (plan.burst * part).max(largest))
        };
        customer.spare = (customer.spare + (now - customer.spare_at) as f64 / 1e6 * rate).min(most);
        customer.spare_at = now;
        customer.spare
    }

    /// Whether the quota would let in units untold that the ceiling does not.
    fn ceiling_stops(&mut self, of: CustomerId, units: f64) -> bool {
        let customer = &self.customers[&of];
        let (seen, all) = (self.seen(customer), units / self.part(customer));
        self.settings.plans[customer.plan].ceiling_rate > 0.0
            && units > self.spare(of)
            && self.within(of, seen, all)
    }

    // ---- Counter health and fallback ----

    /// One judgement for a silent, slow, crowded or refusing counter: answers do not come in time.
    fn judge_counter(&mut self, outcome: Outcome, waited: Micros) {
        let timeout = self.settings.counter.map_or(1.0, |counter| counter.timeout as f64);
        let fade = self.faded(self.counter.judged_at, SPACING_FADE);
        let health = &mut self.counter;
        (health.spacing, health.judged_at) = (health.spacing * fade, self.now);
        let early = (waited as f64) < LATE_ANSWER * timeout;
        if outcome == Outcome::Ok && early {
            (health.bad, health.spacing) = (0, health.spacing * SPACING_DOWN);
        } else {
            health.bad += 1;
            // An answer lost early, spoilt or with its connection, does not tell of a crowd.
            // Calls made before the last step could take effect tell of the same crowd once more.
            let same = (self.now - health.spaced_at) as f64 <= waited as f64;
            if !(same || outcome == Outcome::Timeout && early) {
                health.spaced_at = self.now;
                health.spacing = (health.spacing * SPACING_UP).clamp(timeout, LONGEST_SPACING);
                let limits = &self.settings.limits;
                if limits.peer_messages && limits.peer_intake > 0.0 && health.spacing > timeout {
                    self.news_until = self.now + NEWS_STAY as Micros;
                }
            }
        }
    }

    /// The same estimate from what is known: last totals, and own units since then, scaled to all where they
    /// tell of them. A customer known to ask beyond its quota is let in by chance, for its covered share.
    fn decide_alone(&mut self, id: RequestId) -> bool {
        let Some(open) = self.open.get(&id).filter(|open| open.stage == Stage::Asking) else { return false };
        let (of, units) = (open.request.customer, open.request.units);
        let spare = self.spare(of);
        let customer = &self.customers[&of];
        let (all, beyond, seen) = (units / self.part(customer), customer.beyond, self.seen(customer));
        let customer = self.customers.get_mut(&of).expect("just read");
        customer.waiting.retain(|other| *other != id);
        let within = if customer.telling { self.within(of, seen, all) } else { self.by_chance(1.0 - beyond) };
        if !within || units > spare {
            // Its call has most likely added, or is owed: what is refused must not swell the count.
            let (open, customer) = (&self.open[&id], self.customers.get_mut(&of).expect("just read"));
            customer.owed -= if open.window == customer.window { open.stands } else { 0.0 };
            self.refuse_beyond(id);
            return false;
        }
        let customer = self.customers.get_mut(&of).expect("just read");
        (customer.spare, customer.unseen) = (customer.spare - units, customer.unseen + units);
        self.watch(of, 0.0, all);
        self.admit(id);
        true
    }

    // ---- Backend choice and health ----

    fn backends_told(&mut self, kind: ListKind, entries: Vec<BackendEntry>) {
        if kind == ListKind::Full || kind == ListKind::Cached {
            let listed: BTreeSet<BackendId> = entries.iter().map(|entry| entry.id).collect();
            for backend in self.backends.values_mut().filter(|backend| !listed.contains(&backend.entry.id)) {
                (backend.told_gone, backend.entry.condition) = (true, Condition::Gone);
            }
        }
        let ask = self.settings.discovery == Discovery::Ask && kind == ListKind::Cached;
        if ask || kind == ListKind::Failed {
            self.actions.push(Action::Watch { on: true });
        }
        for entry in entries {
            let fresh = Backend { slow: 1.0, ..Backend::default() };
            let backend = self.backends.entry(entry.id).or_insert(fresh);
            if entry.born > backend.started {
                // All gateways hear of a start at about the same time: each begins in its own part of a turn.
                self.random = mix(self.random);
                backend.phase = self.random as f64 / u64::MAX as f64;
                (backend.started, backend.sent_at) = (entry.born, self.now);
                (backend.ejected_until, backend.ejections, backend.fails, backend.down) = (0, 0, 0.0, 0);
                backend.slow = 1.0;
            }
            backend.told_gone = entry.condition != Condition::Ready;
            backend.entry = entry;
        }
        // One that comes back is told with its new start.
        self.backends.retain(|_, backend| backend.entry.condition != Condition::Gone || backend.out > 0);
    }

    /// The cheapest backend that may take this request now, if any.
    fn pick(&mut self, id: RequestId) -> Option<BackendId> {
        let open = &self.open[&id];
        let class = &self.settings.classes[usize::from(open.request.class)];
        let bound_to = open.may_have_run.filter(|_| class.effect == Effect::Keyed);
        let home = bound_to.and_then(|(backend, _)| self.backends.get(&backend)).map(|home| &home.entry);
        let lost = bound_to.is_some() && home.is_none() && class.group != Group::All;
        if lost || bound_to.is_some_and(|(_, sent)| self.now >= sent + class.repeat_window) {
            return None;
        }
        let ready = self.backends.values().filter(|backend| !backend.told_gone);
        let mean = ready.map(|backend| backend.entry.share).sum::<f64>() / self.ready();
        // A bound under one leaves room for an attempt after a pause.
        let pause = self.usual[usize::from(open.request.class)] * (1.0 / self.room - 1.0);
        let full = self.flights.len() as f64 + 1.0 > self.room.max(1.0);
        if self.room > 0.0 && (full || ((self.now - self.sent_at) as f64) < pause) {
            return None;
        }
        let (turn, mut random) = (self.turn(), self.random);
        let mut best: Option<(f64, BackendId)> = None;
        for (backend_id, backend) in &self.backends {
            let same_group = match (home, class.group) {
                (None, _) | (_, Group::All) => true,
                (Some(home), Group::Zone) => home.zone == backend.entry.zone,
                (Some(home), Group::Cell) => home.cell == backend.entry.cell,
            };
            let left_out = backend.told_gone || backend.ejected_until > self.now || !same_group;
            if left_out || (backend.trial && backend.out > 0) || !self.cold_allows(backend, turn / TURN_GAPS)
            {
                continue;
            }
            let size = if mean > 0.0 { (backend.entry.share / mean).max(0.1) } else { 1.0 };
            let recent = backend.recent * self.faded(backend.sent_at, turn);
            let mut cost = (f64::from(backend.out) + recent + 1.0) * backend.slow / size;
            random = mix(random);
            cost *= 1.0 + FAIL_COST * backend.fails + JITTER * random as f64 / u64::MAX as f64;
            cost *= if backend.entry.zone == self.settings.zone { 1.0 } else { CROSS_ZONE };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *backend_id));
            }
        }
        self.random = random;
        best.map(|(_, backend)| backend)
    }

    /// Bounds all attempts out by all answers: one gateway of many sees a backend too rarely to bound each.
    fn bound_all(&mut self, pace: f64) {
        let share = self.ready() / f64::from(self.settings.gateways.max(1));
        self.pace += NEWEST * (pace.min(MOST_PACE) - self.pace);
        if self.room == 0.0 {
            self.room = FIRST_BOUND * share;
        } else if self.pace > QUEUED && (self.now - self.cut_at) as f64 > self.best[0] {
            self.room = (self.room * OUT_CUT).max(LEAST_PART * FIRST_BOUND * share);
            self.cut_at = self.now;
        } else if self.pace < ROOMY && self.flights.len() as f64 + 2.0 >= self.room {
            self.room += self.room.min(1.0 / self.room);
        }
    }

    fn learn(&mut self, id: BackendId, class: usize, outcome: Outcome, waited: Micros) {
        let (aim, took) = (self.settings.classes[class].aim as f64, waited as f64);
        let (usual, now) = (self.usual[class], self.now);
        let first_ejection = EJECT_FIRST * self.settings.limits.connect_timeout as f64;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) {
            self.bound_all(took.max(if outcome == Outcome::Ok { 0.0 } else { aim }) / self.best[class]);
        }
        let ejected = |backend: &&Backend| !backend.told_gone && backend.ejected_until > now;
        let others_out = self.backends.values().filter(ejected).count() as f64;
        let may_eject = others_out == 0.0 || others_out + 1.0 <= MOST_EJECTED * self.ready();
        let Some(backend) = self.backends.get_mut(&id) else { return };
        match outcome {
            Outcome::Ok | Outcome::Timeout => {
                let ratio = took.max(if outcome == Outcome::Ok { 0.0 } else { aim }) / usual;
                backend.slow += NEWEST * (ratio - backend.slow);
                let silent = outcome == Outcome::Timeout && took > QUEUED * usual;
                backend.down += u32::from(silent && self.pace < ROOMY);
                if outcome == Outcome::Ok {
                    self.usual[class] += FLEET_NEWEST * (took - usual);
                    let best = self.best[class] * (1.0 + FLEET_NEWEST * BEST_RISE);
                    self.best[class] = best.min(self.usual[class]).min(BEST_OF_AIM * aim);
                    backend.fails -= NEWEST * backend.fails;
                    (backend.ejections, backend.trial, backend.down) = (0, false, 0);
                }
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::Full => {
                backend.fails += NEWEST * (1.0 - backend.fails);
                backend.down += u32::from(matches!(outcome, Outcome::ConnectFailed | Outcome::Reset));
            }
            Outcome::Stale | Outcome::Cancelled | Outcome::Moot | Outcome::Withheld => return,
        }
        let bad = outcome != Outcome::Ok && (outcome != Outcome::Timeout || self.pace < ROOMY);
        let failing = backend.fails > FAIL_EJECT || backend.down >= DOWN_EJECT || backend.trial;
        if may_eject && bad && failing && backend.ejected_until <= now {
            let span = first_ejection * f64::from(1u32 << backend.ejections.min(EJECT_DOUBLES));
            backend.ejected_until = now + span as Micros;
            backend.ejections += 1;
            backend.trial = true;
        }
    }

    /// Learns for how long connections may be kept.
    fn carried(&mut self, unused: Option<Micros>, broke: bool) {
        let faded = self.faded(self.carried_at, BREAK_FADE);
        self.carried_at = self.now;
        self.carried.iter_mut().for_each(|(broken, all)| (*broken, *all) = (*broken * faded, *all * faded));
        let age = |unused: Micros| 1 + ((unused / SHORTEST_KEPT).max(1).ilog2() as usize).min(AGES - 1);
        let (broken, all) = &mut self.carried[unused.map_or(0, age)];
        (*broken, *all) = (*broken + f64::from(u8::from(broke)), *all + 1.0);
        let usual = self.carried[0].0 / (self.carried[0].1 + BREAK_PRIOR);
        let dead = |(broken, all): &(f64, f64)| {
            (broken + BREAK_PRIOR * usual) / (all + BREAK_PRIOR) > usual + BREAK_MARGIN
        };
        let first = self.carried[2..].iter().position(dead);
        let longest = first.map_or(Micros::MAX, |first| SHORTEST_KEPT << (first + 1));
        if std::mem::replace(&mut self.keep_idle, longest) != longest {
            self.actions.push(Action::KeepIdle { longest });
        }
    }

    // ---- Cold start ----

    /// A cold backend gets this gateway's usual turns, each earned by work it surely could do since the last.
    /// Over all gateways, that is its usual load for its age, far from falling over, however many they are.
    fn cold_allows(&self, backend: &Backend, usual_gap: f64) -> bool {
        let safety = &self.settings.safety;
        let warm = safety.cold_time as f64;
        let age = |at: Micros| (at.saturating_sub(backend.started) as f64).min(warm);
        if backend.started == 0 || age(self.now) >= warm {
            return true;
        }
        let able = |age: f64| age * (safety.cold_share + (1.0 - safety.cold_share) * age / (2.0 * warm));
        // Half an attempt at a time from all gateways together is safe: an all cold fleet must not starve.
        let answer = self.usual.iter().copied().fold(1.0, f64::max);
        let gap = usual_gap.min(TURN_GAPS * answer * f64::from(self.settings.gateways));
        able(age(self.now)) - able(age(backend.sent_at)) >= gap * backend.phase
    }

    /// The time over which a backend's recent attempts fade (us): some usual gaps between two of them.
    fn turn(&self) -> f64 {
        let span = RATE_SPAN * self.settings.safety.fall_time.max(1) as f64;
        TURN_GAPS * self.ready() * span / (self.sent_lately * self.faded(self.sent_at, span)).max(1e-9)
    }

    fn ready(&self) -> f64 {
        self.backends.values().filter(|backend| !backend.told_gone).count() as f64
    }

    /// What is left of a figure that fades over `span` (us) and was taken at `since`.
    fn faded(&self, since: Micros, span: f64) -> f64 {
        (-((self.now - since) as f64) / span).exp()
    }

    // ---- Queue and deadlines ----

    fn admit(&mut self, id: RequestId) {
        let open = self.open.get_mut(&id).expect("open");
        let customer = &self.customers[&open.request.customer];
        open.charged = (self.settings.plans[customer.plan].rate > 0.0).then_some(customer.window);
        // The plan's cap on attempts out holds as far as own ones tell of the others'.
        let cap = self.settings.plans[customer.plan].open_cap;
        if cap > 0.0 && f64::from(customer.out) / customer.part >= cap {
            self.refuse(id, 0);
        } else {
            self.hold(id);
        }
    }

    /// When an answer is worth no more than a refusal.
    fn useless_at(&self, open: &Open) -> Micros {
        let class = &self.settings.classes[usize::from(open.request.class)];
        let tick = self.settings.tick;
        let given_up = open.arrived + open.request.budget.saturating_sub(tick);
        let late = class.late_value > 0.0 || class.streamed || class.aim_stretch > 0.0;
        let aim = open.arrived + class.aim.saturating_sub(AIM_MARGIN_TICKS * tick);
        if late {
            given_up
        } else {
            given_up.min(aim)
        }
    }

    /// Holds a request: most worth for its work first, in steps of half as much again, lest near-equals swap.
    fn hold(&mut self, id: RequestId) {
        let open = &self.open[&id];
        let class = &self.settings.classes[usize::from(open.request.class)];
        let hold = open.arrived + (HOLD_PART * class.aim as f64) as Micros;
        let until = hold.max(self.now + self.settings.tick).min(self.useless_at(open));
        let worth = class.value * self.settings.plans[usize::from(open.request.plan)].worth;
        let worth = worth / self.best[usize::from(open.request.class)];
        let rank = Reverse((1e3 + worth.max(1e-12).log(1.5)).round() as u64);
        let open = self.open.get_mut(&id).expect("open");
        (open.stage, open.place) = (Stage::Held, (rank, until, id));
        self.queue.insert(open.place);
        self.set_due(id, until.max(self.now + self.settings.tick));
    }

    fn set_due(&mut self, id: RequestId, at: Micros) {
        let Some(open) = self.open.get_mut(&id) else { return };
        self.due.remove(&(open.due, id));
        open.due = at;
        self.due.insert((at, id));
    }

    fn fall_due(&mut self) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at <= self.now) {
            self.due.remove(&(at, id));
            match self.open.get(&id).map(|open| open.stage) {
                Some(Stage::Asking) => drop(self.decide_alone(id)),
                Some(Stage::Held) => self.refuse(id, 0),
                _ => {}
            }
        }
    }

    fn arm(&mut self) {
        if let Some((at, _)) = self.due.first().copied().filter(|(at, _)| *at < self.armed) {
            self.armed = at;
            self.actions.push(Action::Timer { at, token: at });
        }
    }

    fn dispatch(&mut self) {
        let mut next = self.queue.first().copied();
        while let Some(place) = next {
            match self.pick(place.2) {
                Some(backend) => {
                    self.queue.remove(&place);
                    self.send(place.2, backend);
                }
                None if self.open[&place.2].may_have_run.is_some() => {}
                None => break,
            }
            next = self.queue.range((Bound::Excluded(place), Bound::Unbounded)).next().copied();
        }
    }

    // ---- Attempts and finals ----

    fn send(&mut self, id: RequestId, to: BackendId) {
        let expires = self.useless_at(&self.open[&id]);
        let span = RATE_SPAN * self.settings.safety.fall_time.max(1) as f64;
        self.sent_lately = 1.0 + self.sent_lately * self.faded(self.sent_at, span);
        self.sent_at = self.now;
        let turn = self.turn();
        let open = self.open.get_mut(&id).expect("held");
        let (class, customer) = (usize::from(open.request.class), open.request.customer);
        self.due.remove(&(open.due, id));
        open.stage = Stage::Out;
        let (first, units) = (open.attempts == 0, open.request.units);
        let flight = Flight { backend: to, class, customer, sent: self.now };
        self.flights.insert((id, open.attempts), flight);
        open.attempts += 1;
        let faded = self.faded(self.backends[&to].sent_at, turn);
        let backend = self.backends.get_mut(&to).expect("picked");
        backend.out += 1;
        backend.recent = 1.0 + backend.recent * faded;
        (backend.sent_at, backend.phase) = (self.now, 1.0);
        self.customers.get_mut(&customer).expect("rolled on arrival").out += 1;
        self.actions.push(Action::Send { request: id, backend: to, expires });
        if first {
            self.note_news(customer, units);
        }
    }

    fn attempt_ended(&mut self, end: AttemptEnd) {
        let Some(flight) = self.flights.remove(&(end.request, end.attempt)) else { return };
        if let Some(backend) = self.backends.get_mut(&flight.backend) {
            backend.out = backend.out.saturating_sub(1);
        }
        if let Some(customer) = self.customers.get_mut(&flight.customer) {
            customer.out = customer.out.saturating_sub(1);
        }
        self.learn(flight.backend, flight.class, end.outcome, end.waited);
        if end.closed || end.outcome == Outcome::Ok {
            return self.close(end.request);
        }
        let Some(open) = self.open.get_mut(&end.request) else { return };
        if !end.outcome.never_ran() && open.may_have_run.is_none() {
            open.may_have_run = Some((flight.backend, flight.sent));
        }
        if self.worth_again(end.request, end.outcome) {
            self.hold(end.request);
        } else {
            self.refuse(end.request, 0);
        }
    }

    /// Whether a further attempt is permitted and can still be in time.
    fn worth_again(&self, id: RequestId, outcome: Outcome) -> bool {
        let open = &self.open[&id];
        let class = usize::from(open.request.class);
        !(open.may_have_run.is_some() && self.settings.classes[class].effect == Effect::Unsafe)
            && u32::from(open.attempts) < self.settings.limits.attempts
            && outcome != Outcome::Moot
            && self.now + self.usual[class] as Micros <= self.useless_at(open)
    }

    /// Ends a request unserved: refused where the client may safely try again, else failed.
    fn refuse(&mut self, id: RequestId, wait: Micros) {
        let Some(open) = self.open.get(&id) else { return };
        let class = &self.settings.classes[usize::from(open.request.class)];
        let harmless = open.may_have_run.is_none()
            || class.effect == Effect::Safe
            || (class.effect == Effect::Keyed && class.group == Group::All);
        self.actions.push(if harmless {
            let limits = &self.settings.limits;
            let retry_after = if limits.retry_hints { wait.min(limits.longest_retry_hint) } else { 0 };
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        let unsent = open.charged.filter(|_| open.attempts == 0);
        let (of, units) = (open.request.customer, open.request.units);
        self.close(id);
        if let Some(window) = unsent {
            self.give_back(of, window, units);
        }
    }

    fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.remove(&id) else { return };
        self.due.remove(&(open.due, id));
        self.queue.remove(&open.place);
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.waiting.retain(|other| *other != id);
            customer.open = customer.open.saturating_sub(1);
        }
    }
}

/// A well-mixed 64-bit value.
fn mix(value: u64) -> u64 {
    let mut z = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
