//! Measures the cost of configuration changes, and the time between the first and the last proxy that installs them:
//! compares a day that consists only of changes with the same day without any.

use crate::day::Day;
use crate::event::{Event, EventKind};
use crate::log_recorder::LogRecorder;
use crate::net::Traffic;
use crate::records::{Command, Millis};
use crate::simulation::{simulate, SimulationOutcome};
use crate::site::Site;
use slog::{o, Discard, Drain, Logger};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::sync::Arc;
use tokio::time::Instant;

/// The time between two changes (ms).
const CHANGE_INTERVAL: Millis = 700;

/// The cost of configuration changes.
#[derive(Clone, Debug)]
pub struct ChangeCosts {
    /// The number of changes sent.
    pub count: usize,
    /// The number of proxies.
    pub edges: usize,
    /// The time between the first and the last proxy that installs a change (ms), sorted.
    pub spreads: Vec<f64>,
    /// The time until a change is acknowledged (ms), sorted.
    pub acknowledgement_times: Vec<f64>,
    /// The number of proxies that had not installed a change when it was acknowledged, summed over all changes.
    pub late_proxies: usize,
    /// Bytes on the network per change.
    pub traffic: Traffic,
    /// Syncs of all disks per change.
    pub syncs: f64,
    /// Bytes synced by all disks per change.
    pub synced_bytes: f64,
}

/// The value below which the fraction `part` of the sorted values lies.
fn percentile(sorted: &[f64], part: f64) -> f64 {
    let index = (sorted.len() as f64 * part) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or(0.0)
}

/// Simulates `count` changes. Each adds a tenant or, if `routes` is not 0, that many routes.
///
/// # Errors
/// If the runtime can't be created.
pub fn measure(site: &Site, count: usize, routes: usize, seed: u64) -> io::Result<ChangeCosts> {
    let mut site = site.clone();
    site.requests_per_s = 0.0;
    let event = |number: usize| {
        let kind = match routes {
            0 => EventKind::AddTenant { name: format!("newcomer-{number}") },
            count => EventKind::AddRoutes { count },
        };
        Event { at: 1_000 + number as Millis * CHANGE_INTERVAL, kind }
    };
    let length = 3_000 + count as Millis * CHANGE_INTERVAL;
    let busy = Day { seed, events: (0..count).map(event).collect(), length };
    let idle = Day { seed, events: Vec::new(), length };
    let recorder = Arc::new(LogRecorder::default());
    let with_changes = simulate(&site, &busy, &Logger::root(recorder.clone().fuse(), o!()))?;
    let without = simulate(&site, &idle, &Logger::root(Discard, o!()))?;
    let installed = Installed::of(&recorder);
    Ok(costs(&with_changes, &without, &installed, count, site.edge_count()))
}

/// The times at which proxies have installed each version.
struct Installed(BTreeMap<u64, Vec<Instant>>);

impl Installed {
    fn of(log: &LogRecorder) -> Installed {
        let mut installed: BTreeMap<u64, Vec<Instant>> = BTreeMap::new();
        for line in log.lines() {
            if let (true, Some(version)) = (line.daemon == "Proxy" && line.text == "in force", line.version) {
                installed.entry(version).or_default().push(line.at);
            }
        }
        Installed(installed)
    }

    /// The time between the first and the last proxy that installed a version (ms).
    fn spread_ms(&self, version: u64) -> Option<f64> {
        let times = self.0.get(&version)?;
        Some((*times.iter().max()? - *times.iter().min()?).as_secs_f64() * 1000.0)
    }

    /// The number of proxies that had installed a version `at` milliseconds after `started_at`.
    fn count_at(&self, version: u64, started_at: Instant, at: Millis) -> usize {
        let times = self.0.get(&version).map(Vec::as_slice).unwrap_or_default();
        times.iter().filter(|time| time.duration_since(started_at).as_millis() as Millis <= at).count()
    }
}

fn costs(
    with_changes: &SimulationOutcome,
    without: &SimulationOutcome,
    installed: &Installed,
    count: usize,
    edges: usize,
) -> ChangeCosts {
    let (mut spreads, mut acknowledgement_times, mut late_proxies) = (Vec::new(), Vec::new(), 0);
    // The first configuration is not a change.
    for record in with_changes.records.commands.iter().skip(1) {
        let (Command::Configuration { version, .. }, Some(acknowledged)) =
            (&record.command, record.acknowledged_at)
        else {
            continue;
        };
        acknowledgement_times.push((acknowledged - record.sent) as f64);
        spreads.extend(installed.spread_ms(*version));
        let in_time = installed.count_at(*version, with_changes.started_at, acknowledged);
        late_proxies += edges - in_time.min(edges);
    }
    spreads.sort_by(f64::total_cmp);
    acknowledgement_times.sort_by(f64::total_cmp);
    let (traffic, idle) = (with_changes.traffic, without.traffic);
    let bytes = |with: u64, without: u64| with.saturating_sub(without) / count.max(1) as u64;
    let (writes, idle_writes) = (with_changes.disk_writes, without.disk_writes);
    let each = |with: u64, without: u64| with.saturating_sub(without) as f64 / count.max(1) as f64;
    ChangeCosts {
        count,
        edges,
        spreads,
        acknowledgement_times,
        late_proxies,
        traffic: Traffic {
            within_zones: bytes(traffic.within_zones, idle.within_zones),
            between_zones: bytes(traffic.between_zones, idle.between_zones),
            between_regions: bytes(traffic.between_regions, idle.between_regions),
        },
        syncs: each(writes.syncs, idle_writes.syncs),
        synced_bytes: each(writes.bytes, idle_writes.bytes),
    }
}

impl fmt::Display for ChangeCosts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percentiles = |sorted: &[f64]| (percentile(sorted, 0.5), percentile(sorted, 0.99));
        writeln!(f, "{} changes at {} ingresses", self.count, self.edges)?;
        let (p50, p99) = percentiles(&self.spreads);
        let seen = self.spreads.len();
        writeln!(f, "  first to last ingress: p50 {p50:.0} ms, p99 {p99:.0} ms ({seen} seen)")?;
        let (p50, p99) = percentiles(&self.acknowledgement_times);
        let acknowledged = self.acknowledgement_times.len();
        writeln!(f, "  acknowledged after: p50 {p50:.0} ms, p99 {p99:.0} ms ({acknowledged} of them)")?;
        writeln!(
            f,
            "  ingresses that had not taken a change when it was acknowledged: {}",
            self.late_proxies
        )?;
        let Traffic { within_zones, between_zones, between_regions } = self.traffic;
        writeln!(
            f,
            "  bytes a change: {within_zones} within zones, {between_zones} between zones, \
             {between_regions} between regions"
        )?;
        let per_edge = (within_zones + between_zones + between_regions) / self.edges.max(1) as u64;
        writeln!(f, "  bytes a change and ingress: {per_edge}")?;
        write!(f, "  syncs a change: {:.1}, of {:.0} bytes in all", self.syncs, self.synced_bytes)
    }
}
