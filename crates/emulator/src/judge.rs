//! The rules, judged by what receivers saw. Those with a time bound are judged outside spans of trouble alone.

use crate::records::{Arrival, Millis, Records, Try, What};
use crate::site::Site;
use std::collections::{BTreeMap, HashMap};

/// A broken rule, and by what.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub rule: &'static str,
    pub what: String,
}

struct Judge<'a> {
    site: &'a Site,
    records: &'a Records,
    tries: HashMap<&'a str, &'a Try>,
    broken: Vec<Broken>,
}
/// Judges a day; nothing: it kept all rules.
pub fn judge(site: &Site, records: &Records) -> Vec<Broken> {
    let tries = records.tries.iter().map(|one| (one.id.as_str(), one)).collect();
    let mut judge = Judge { site, records, tries, broken: Vec::new() };
    judge.answers();
    judge.runs();
    judge.quotas();
    judge.budget();
    judge.cold();
    judge.control();
    judge.broken
}

/// The most that falls into any span of that length, and when it begins.
pub fn densest(at: &[Millis], span: Millis) -> (usize, Millis) {
    let mut at = at.to_vec();
    at.sort_unstable();
    let (mut most, mut when, mut first) = (0, 0, 0);
    for last in 0..at.len() {
        while at[last] - at[first] >= span {
            first += 1;
        }
        if last + 1 - first > most {
            (most, when) = (last + 1 - first, at[first]);
        }
    }
    (most, when)
}

impl Judge<'_> {
    fn breaks(&mut self, rule: &'static str, what: String) {
        self.broken.push(Broken { rule, what });
    }

    /// No trouble at that time, nor for as long before as it takes to be in touch again.
    fn calm(&self, at: Millis) -> bool {
        let contact = self.site.bounds.contact_ms as Millis;
        !self.records.troubles.iter().any(|(from, to)| at >= *from && at <= to + contact)
    }

    fn answers(&mut self) {
        let mut denied = 0;
        let mut ran: HashMap<&str, usize> = HashMap::new();
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.ran) {
            *ran.entry(arrival.id.as_str()).or_default() += 1;
        }
        for one in &self.records.tries {
            let times = ran.get(one.id.as_str()).copied().unwrap_or(0);
            let repeatable = self.site.kinds[one.kind].repeatable;
            if (200..300).contains(&one.status) && !one.right {
                self.breaks("MIXED", format!("{} was answered what is not its own", one.id));
            }
            if !repeatable && times > 1 {
                self.breaks("TWICE", format!("{} ran {times} times", one.id));
            }
            if !repeatable && times > 0 && matches!(one.status, 408 | 421 | 429 | 503) {
                self.breaks("REFUSED", format!("{} ran and was answered {}", one.id, one.status));
            }
            if matches!(one.status, 401 | 404) && self.calm(one.sent) && self.known(one) {
                denied += 1;
            }
        }
        if denied > 5 + self.records.tries.len() / 500 {
            self.breaks("DENIED", format!("{denied} of {}", self.records.tries.len()));
        }
    }

    /// Each configuration that may be in force when a try was sent: none older than the newest acknowledged by then.
    fn in_force(&self, sent: Millis, until: Millis) -> Vec<&What> {
        let versions = self.records.orders.iter().filter_map(|order| match &order.what {
            What::Configuration { version, valid: true, .. } => Some((*version, order)),
            _ => None,
        });
        let settled = |at: Millis| at + self.site.bounds.config_apply_ms as Millis <= sent;
        let acked = versions.clone().filter(|(_, it)| it.acked.is_some_and(settled));
        let newest = acked.map(|(version, _)| version).max().unwrap_or(0);
        versions
            .filter(|(version, it)| *version >= newest && it.sent <= until)
            .map(|(_, it)| &it.what)
            .collect()
    }

    fn known(&self, one: &Try) -> bool {
        let has = |what: &&What| matches!(what, What::Configuration { keys, .. } if keys.contains(&one.key));
        self.in_force(one.sent, one.ended.unwrap_or(one.sent)).iter().all(has)
    }

    fn runs(&mut self) {
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.ran) {
            let Some(one) = self.tries.get(arrival.id.as_str()).copied() else {
                self.breaks("UNASKED", format!("{} was sent by no client", arrival.id));
                continue;
            };
            let (kind, life) = (&self.site.kinds[one.kind], &self.records.lives[arrival.life]);
            let owner = one.key.strip_prefix("key-").map(|name| match name.parse::<usize>() {
                Ok(number) => crate::site::tenant(number),
                Err(_) => name.to_owned(),
            });
            if arrival.tenant != owner || arrival.path != format!("{}{}", kind.path, one.id) {
                self.breaks("UNASKED", format!("{} ran as {:?} {}", one.id, arrival.tenant, arrival.path));
            }
            let region = self.site.regions[self.site.region(life.zone)];
            if !kind.homes.is_empty() && !kind.homes.contains(&region) {
                self.breaks("HOME", format!("{} ran in {region}", one.id));
            }
            let goes = |what: &What| match what {
                What::Configuration { services, keys, .. } => {
                    (services.get(one.kind) == Some(&life.service), keys.contains(&one.key))
                }
                What::Evacuate { .. } => (false, false),
            };
            let every = self.records.orders.iter().map(|order| goes(&order.what));
            let ever = every.fold((false, false), |all, one| (all.0 || one.0, all.1 || one.1));
            if !ever.0 || !ever.1 {
                self.breaks("ROUTE", format!("{} ran at service {}", one.id, life.service));
            }
            let may = self.in_force(one.sent, arrival.at).iter().any(|what| goes(what) == (true, true));
            if !may && self.calm(one.sent) {
                self.breaks("CONFIG", format!("{} sent at {} ran by an older version", one.id, one.sent));
            }
            let late =
                |from: Option<Millis>, bound: Millis| from.is_some_and(|from| arrival.at > from + bound);
            if late(life.drains, self.site.bounds.drain_ms as Millis) && self.calm(arrival.at) {
                self.breaks("DRAIN", format!("{} reached {} at {}", one.id, life.id, arrival.at));
            }
            if self.evacuated(arrival, life.zone) && self.calm(arrival.at) {
                self.breaks("EVAC", format!("{} reached {} at {}", one.id, life.id, arrival.at));
            }
        }
    }

    /// The zone's evacuation was acknowledged long enough before, and not taken back since.
    fn evacuated(&self, arrival: &Arrival, at_zone: usize) -> bool {
        let mut emptied = None;
        for order in self.records.orders.iter().filter(|order| order.sent <= arrival.at) {
            match order.what {
                What::Evacuate { zone, empty: true } if zone == at_zone => emptied = order.acked,
                What::Evacuate { zone, empty: false } if zone == at_zone => emptied = None,
                _ => {}
            }
        }
        emptied.is_some_and(|acked| arrival.at > acked + self.site.bounds.evacuate_ms as Millis)
    }

    fn quotas(&mut self) {
        let bounds = self.site.bounds;
        let mut ran: BTreeMap<&str, Vec<Millis>> = BTreeMap::new();
        for arrival in self.records.arrivals.iter().filter(|arrival| arrival.ran) {
            ran.entry(arrival.tenant.as_deref().unwrap_or_default()).or_default().push(arrival.at);
        }
        let mut broken = Vec::new();
        for (name, at) in &ran {
            let number = name.strip_prefix("tenant-").and_then(|number| number.parse::<usize>().ok());
            let limit = number.map_or(20.0, |number| self.site.limit(number));
            let (most, when) = densest(at, (bounds.quota_window_s * 1000.0) as Millis);
            let may =
                (limit * bounds.quota_window_s + limit) * (1.0 + bounds.quota_overshoot) + bounds.quota_slack;
            if most as f64 > may {
                broken.push(format!("{name}: {most} from {when} on, {may:.0} may"));
            }
        }
        broken.into_iter().for_each(|what| self.breaks("QUOTA", what));
    }

    fn budget(&mut self) {
        let bounds = self.site.bounds;
        let window = (bounds.retry_window_s * 1000.0) as Millis;
        for (number, service) in self.site.services.iter().enumerate() {
            let mut seen: HashMap<&str, ()> = HashMap::new();
            let here =
                self.records.arrivals.iter().filter(|it| self.records.lives[it.life].service == number);
            let further: Vec<Millis> =
                here.filter(|it| seen.insert(it.id.as_str(), ()).is_some()).map(|it| it.at).collect();
            let (most, when) = densest(&further, window);
            let asked = self.records.tries.iter().filter(|it| self.site.kinds[it.kind].service == number);
            let asked: Vec<Millis> = asked.map(|it| it.sent).collect();
            let within = |from: Millis| asked.iter().filter(|at| (from..from + window).contains(*at)).count();
            let counts = [when, when.saturating_sub(window), when.saturating_sub(window / 2)].map(within);
            let may = bounds.retry_ratio * counts.into_iter().max().unwrap_or(0) as f64 + bounds.retry_slack;
            if most as f64 > may {
                self.breaks("BUDGET", format!("{}: {most} from {when} on, {may:.0} may", service.name));
            }
        }
    }

    fn cold(&mut self) {
        let bounds = self.site.bounds;
        let mut broken = Vec::new();
        for (number, life) in self.records.lives.iter().enumerate() {
            let about = &self.site.services[life.service];
            let may = about.cold_per_s * bounds.cold_overshoot + bounds.cold_slack;
            for (from, to) in &life.cold {
                let here = self.records.arrivals.iter().filter(|it| it.life == number && !it.elsewhere);
                let at: Vec<Millis> = here.map(|it| it.at).filter(|at| at >= from && at < to).collect();
                let (most, when) = densest(&at, 1_000);
                if most as f64 > may {
                    broken.push(format!("{}: {most} from {when} on, {may:.0} may", life.id));
                }
            }
        }
        broken.into_iter().for_each(|what| self.breaks("FAILBACK", what));
    }

    /// What was acknowledged is there at the end, as it was sent; what was invalid was refused.
    fn control(&mut self) {
        let mut newest = 0;
        let mut sent: HashMap<u64, &str> = HashMap::new();
        let mut broken = Vec::new();
        for order in &self.records.orders {
            let What::Configuration { version, text, valid, .. } = &order.what else { continue };
            if !valid && order.acked.is_some() {
                broken.push(("CONFIG", format!("invalid version {version} was acknowledged")));
            }
            if *valid {
                sent.insert(*version, text);
                newest = newest.max(order.acked.map_or(0, |_| *version));
            }
        }
        match &self.records.read_back {
            None => broken.push(("LOST", "nothing was read back".into())),
            Some((version, _)) if *version < newest => {
                broken.push(("LOST", format!("version {version} was read back, {newest} acknowledged")));
            }
            Some((version, text)) if sent.get(version) != Some(&text.as_str()) => {
                broken.push(("CONFIG", format!("version {version} is not what was sent")));
            }
            Some(_) => {}
        }
        broken.into_iter().for_each(|(rule, what)| self.breaks(rule, what));
    }
}
