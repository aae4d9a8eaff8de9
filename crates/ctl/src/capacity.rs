//! What edges report about each backend, summed up over all edges.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One backend, as one edge reports it at `GET /api/backends`.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct EdgeReport {
    /// The backend's id.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// The zone that it stands in.
    pub zone: String,
    /// How many requests it can execute at once.
    pub slots: u32,
    /// Requests of this edge in flight there.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Mean latency of its answers (ms), where the edge has had one.
    #[serde(rename = "pace-ms")]
    pub latency_ms: Option<f64>,
    /// Attempts that this edge has sent there.
    #[serde(rename = "given")]
    pub sent: u64,
    /// Attempts that it answered.
    pub answered: u64,
    /// Attempts that it rejected without executing them.
    #[serde(rename = "turned-away")]
    pub rejected: u64,
    /// Attempts that failed otherwise.
    pub failed: u64,
    /// How the edge rates it now, in the edge's words.
    pub state: String,
}

/// One backend, over all edges.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BackendSummary {
    /// The service that it belongs to.
    pub service: String,
    /// The backend's id.
    pub id: String,
    /// The zone that it stands in.
    pub zone: String,
    /// How many requests it can execute at once.
    pub slots: u32,
    /// Requests of all edges in flight there.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Attempts that all edges have sent there.
    #[serde(rename = "given")]
    pub sent: u64,
    /// Attempts that it answered.
    pub answered: u64,
    /// Attempts that it rejected without executing them.
    #[serde(rename = "turned-away")]
    pub rejected: u64,
    /// Attempts that failed otherwise.
    pub failed: u64,
    /// Mean latency (ms) over the edges, weighted by the answers that each has had.
    #[serde(rename = "pace-ms")]
    pub latency_ms: Option<f64>,
    /// All ratings that edges have of it now.
    pub states: BTreeSet<String>,
}

/// A backend's summary while edges are added.
#[derive(Default)]
struct Sum {
    summary: BackendSummary,
    /// Latencies of all answers, added up (ms).
    total_latency_ms: f64,
}

impl Sum {
    fn add(&mut self, report: &EdgeReport) {
        let summary = &mut self.summary;
        summary.service.clone_from(&report.service);
        summary.id.clone_from(&report.id);
        summary.zone.clone_from(&report.zone);
        summary.slots = report.slots;
        summary.in_flight += report.in_flight;
        summary.sent += report.sent;
        summary.answered += report.answered;
        summary.rejected += report.rejected;
        summary.failed += report.failed;
        summary.states.insert(report.state.clone());
        self.total_latency_ms += report.latency_ms.unwrap_or(0.0) * report.answered as f64;
        summary.latency_ms = (summary.answered > 0).then(|| self.total_latency_ms / summary.answered as f64);
    }
}

/// One summary for each backend, by service and id, of what each edge reported.
#[must_use]
pub fn summarize(edges: &[Vec<EdgeReport>]) -> Vec<BackendSummary> {
    let mut sums: BTreeMap<(&str, &str), Sum> = BTreeMap::new();
    for report in edges.iter().flatten() {
        sums.entry((&report.service, &report.id)).or_default().add(report);
    }
    sums.into_values().map(|sum| sum.summary).collect()
}

const COLUMNS: [&str; 11] = [
    "service", "backend", "zone", "slots", "open", "given", "answered", "turned", "failed", "pace ms",
    "state",
];

/// The summaries as lines of a table, its heading first.
#[must_use]
pub fn to_table(summaries: &[BackendSummary]) -> Vec<String> {
    let heading = COLUMNS.map(str::to_owned);
    let rows: Vec<[String; 11]> = std::iter::once(heading).chain(summaries.iter().map(cells)).collect();
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..COLUMNS.len()).map(width).collect();
    let line = |row: &[String; 11]| {
        let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect()
}

fn cells(summary: &BackendSummary) -> [String; 11] {
    let states: Vec<&str> = summary.states.iter().map(String::as_str).collect();
    [
        summary.service.clone(),
        summary.id.clone(),
        summary.zone.clone(),
        summary.slots.to_string(),
        summary.in_flight.to_string(),
        summary.sent.to_string(),
        summary.answered.to_string(),
        summary.rejected.to_string(),
        summary.failed.to_string(),
        summary.latency_ms.map_or("-".into(), |latency| format!("{latency:.0}")),
        states.join(", "),
    ]
}
