//! What each backend was given and has shown, gathered from edges.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One backend as one edge sees it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub struct Seen {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub open: u32,
    pub pace_ms: Option<f64>,
    pub given: u64,
    pub answered: u64,
    pub turned_away: u64,
    pub failed: u64,
    pub state: String,
}

/// One backend as all edges together see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    pub service: String,
    pub id: String,
    pub zone: String,
    pub slots: u32,
    pub open: u32,
    pub given: u64,
    pub answered: u64,
    pub turned_away: u64,
    pub failed: u64,
    /// Mean over the edges, each by its answers.
    pub pace_ms: Option<f64>,
    /// What edges hold of it now.
    pub states: BTreeSet<String>,
}

/// Rows by service and id, of what each edge told.
pub fn gather(edges: &[Vec<Seen>]) -> Vec<Row> {
    let mut rows: BTreeMap<(String, String), (Row, f64)> = BTreeMap::new();
    for seen in edges.iter().flatten() {
        let (row, time) = rows.entry((seen.service.clone(), seen.id.clone())).or_default();
        (row.service, row.id, row.zone) = (seen.service.clone(), seen.id.clone(), seen.zone.clone());
        row.slots = seen.slots;
        row.open += seen.open;
        row.given += seen.given;
        row.answered += seen.answered;
        row.turned_away += seen.turned_away;
        row.failed += seen.failed;
        row.states.insert(seen.state.clone());
        *time += seen.pace_ms.unwrap_or(0.0) * seen.answered as f64;
        row.pace_ms = (row.answered > 0).then(|| *time / row.answered as f64);
    }
    rows.into_values().map(|(row, _)| row).collect()
}

/// As a table, a line each.
pub fn table(rows: &[Row]) -> Vec<String> {
    let head = [
        "service", "backend", "zone", "slots", "open", "given", "answered", "turned", "failed", "pace ms",
        "state",
    ];
    let mut cells: Vec<Vec<String>> = vec![head.iter().map(|cell| (*cell).to_owned()).collect()];
    for row in rows {
        let states: Vec<&str> = row.states.iter().map(String::as_str).collect();
        let pace = row.pace_ms.map_or("-".into(), |pace| format!("{pace:.0}"));
        let (open, given, answered) = (row.open.to_string(), row.given.to_string(), row.answered.to_string());
        let (turned, failed) = (row.turned_away.to_string(), row.failed.to_string());
        cells.push(vec![
            row.service.clone(),
            row.id.clone(),
            row.zone.clone(),
            row.slots.to_string(),
            open,
            given,
            answered,
            turned,
            failed,
            pace,
            states.join(", "),
        ]);
    }
    let width = |column: usize| cells.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |row: &Vec<String>| {
        let padded = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        padded.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    cells.iter().map(line).collect()
}
