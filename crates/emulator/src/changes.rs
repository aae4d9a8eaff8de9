//! What changes cost, and how far apart ingresses take them: days of nothing but changes, measured against the same day
//! without any.

use crate::day::{Day, Event, What};
use crate::net::Carried;
use crate::noting::Noting;
use crate::records::{Millis, What as Ordered};
use crate::site::Site;
use crate::world::{play, Played};
use slog::{o, Discard, Drain, Logger};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

const BETWEEN: Millis = 700;

#[derive(Clone, Debug)]
pub struct Changes {
    pub count: usize,
    pub edges: usize,
    /// From the first ingress that has a change in force to the last (ms), one a change, in order.
    pub spreads: Vec<f64>,
    /// From an order's sending to its acknowledgement (ms).
    pub acks: Vec<f64>,
    /// Ingresses that had not taken a change when it was acknowledged, over all changes.
    pub late: usize,
    /// Bytes between the system's machines, a change.
    pub bytes: Carried,
    pub syncs: f64,
    pub synced: f64,
}

/// The value below which that part of them lies.
pub fn at(sorted: &[f64], part: f64) -> f64 {
    let place = (sorted.len() as f64 * part) as usize;
    sorted.get(place.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

/// Plays so many changes: tenants that join, or each of them so many routes.
pub fn measure(site: &Site, count: usize, routes: usize, seed: u64) -> io::Result<Changes> {
    let mut still = site.clone();
    still.per_s = 0.0;
    let event = |n: usize| {
        let what = match routes {
            0 => What::Join { name: format!("newcomer-{n}") },
            routes => What::Routes { count: routes },
        };
        Event { at: 1_000 + n as Millis * BETWEEN, what }
    };
    let length = 3_000 + count as Millis * BETWEEN;
    let busy = Day { seed, events: (0..count).map(event).collect(), length };
    let idle = Day { seed, events: Vec::new(), length };
    let noting = Arc::new(Noting::default());
    let log = Logger::root(noting.clone().fuse(), o!());
    let with = play(&still, &busy, log)?;
    let without = play(&still, &idle, Logger::root(Discard, o!()))?;
    let mut taken: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
    for line in noting.lines() {
        if let (true, Some(version)) = (line.daemon == "Proxy" && line.text == "in force", line.version) {
            taken.entry(version).or_default().push(line.at);
        }
    }
    let edges: usize = site.edges.iter().sum();
    Ok(Changes { count, edges, ..figures(&with, &without, &taken, edges, count) })
}

fn figures(
    with: &Played,
    without: &Played,
    taken: &BTreeMap<u64, Vec<Instant>>,
    edges: usize,
    count: usize,
) -> Changes {
    let (mut spreads, mut acks, mut late) = (Vec::new(), Vec::new(), 0);
    // The first configuration is no change.
    for order in with.records.orders.iter().skip(1) {
        let (Ordered::Configuration { version, .. }, Some(acked)) = (&order.what, order.acked) else {
            continue;
        };
        acks.push((acked - order.sent) as f64);
        let Some(times) = taken.get(version) else {
            late += edges;
            continue;
        };
        let (first, last) = (times.iter().min(), times.iter().max());
        if let (Some(first), Some(last)) = (first, last) {
            spreads.push((*last - *first).as_secs_f64() * 1000.0);
        }
        let held =
            times.iter().filter(|at| at.duration_since(with.begun).as_millis() as Millis <= acked).count();
        late += edges - held.min(edges);
    }
    spreads.sort_by(f64::total_cmp);
    acks.sort_by(f64::total_cmp);
    let each = |with: u64, without: u64| with.saturating_sub(without) / count.max(1) as u64;
    let bytes = Carried {
        zone: each(with.carried.zone, without.carried.zone),
        zones: each(with.carried.zones, without.carried.zones),
        regions: each(with.carried.regions, without.carried.regions),
    };
    let syncs = (with.synced.0 - without.synced.0.min(with.synced.0)) as f64 / count.max(1) as f64;
    let synced = (with.synced.1 - without.synced.1.min(with.synced.1)) as f64 / count.max(1) as f64;
    Changes { count, edges, spreads, acks, late, bytes, syncs, synced }
}

impl fmt::Display for Changes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} changes at {} ingresses", self.count, self.edges)?;
        let spread = (at(&self.spreads, 0.5), at(&self.spreads, 0.99));
        writeln!(
            f,
            "  first to last ingress: p50 {:.0} ms, p99 {:.0} ms ({} seen)",
            spread.0,
            spread.1,
            self.spreads.len()
        )?;
        let ack = (at(&self.acks, 0.5), at(&self.acks, 0.99));
        writeln!(
            f,
            "  acknowledged after: p50 {:.0} ms, p99 {:.0} ms ({} of them)",
            ack.0,
            ack.1,
            self.acks.len()
        )?;
        writeln!(f, "  ingresses that had not taken a change when it was acknowledged: {}", self.late)?;
        let Carried { zone, zones, regions } = self.bytes;
        writeln!(
            f,
            "  bytes a change: {zone} within zones, {zones} between zones, {regions} between regions"
        )?;
        let edge = (zone + zones + regions) / self.edges.max(1) as u64;
        writeln!(f, "  bytes a change and ingress: {edge}")?;
        write!(f, "  syncs a change: {:.1}, of {:.0} bytes in all", self.syncs, self.synced)
    }
}
