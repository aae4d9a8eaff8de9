//! What an operators' file declares of duties, checked.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who may hold a duty's shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    Ingress,
    Control,
}

/// The work itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Upkeep of the control plane's store.
    Upkeep,
    /// The report of use per tenant and span, to a sink.
    Report,
    /// Probes of nodes on behalf of all.
    Probe,
}

impl Kind {
    pub fn who(self) -> Who {
        match self {
            Kind::Upkeep => Who::Control,
            Kind::Report | Kind::Probe => Who::Ingress,
        }
    }
}

/// A duty as it is declared.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duty {
    pub name: String,
    pub kind: Kind,
    #[serde(default = "one")]
    pub shards: u32,
    /// How long a grant is good for.
    #[serde(default = "usual_length")]
    pub length_ms: u64,
    /// Most shards of one process; 0: no bound.
    #[serde(default)]
    pub most: u32,
    /// Of a report: how long a span is.
    #[serde(default = "minute")]
    pub span_ms: u64,
    /// Of probing: the nodes' addresses, dealt to the shards in turn.
    #[serde(default)]
    pub nodes: Vec<SocketAddr>,
    /// Of probing: the time between two probes of a node.
    #[serde(default = "second")]
    pub every_ms: u64,
}

fn one() -> u32 {
    1
}

fn usual_length() -> u64 {
    10_000
}

fn second() -> u64 {
    1_000
}

fn minute() -> u64 {
    60_000
}

/// The shortest and the longest length.
pub const LENGTHS: std::ops::RangeInclusive<u64> = 500..=600_000;
pub const MOST_SHARDS: u32 = 10_000;

impl Duty {
    /// What is wrong with it: field and reason.
    pub fn check(&self) -> Vec<(&'static str, String)> {
        let mut faults = Vec::new();
        let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if self.name.is_empty() || self.name.len() > 40 || !self.name.chars().all(plain) {
            faults.push(("name", "must be 1 to 40 small letters, digits or -".to_string()));
        }
        if self.shards == 0 || self.shards > MOST_SHARDS {
            faults.push(("shards", format!("must be 1 to {MOST_SHARDS}")));
        }
        if !LENGTHS.contains(&self.length_ms) {
            let (least, most) = (LENGTHS.start(), LENGTHS.end());
            faults.push(("length_ms", format!("must be {least} to {most}")));
        }
        if !(100..=86_400_000).contains(&self.span_ms) {
            faults.push(("span_ms", "must be 100 to 86400000".to_string()));
        }
        if !(50..=600_000).contains(&self.every_ms) {
            faults.push(("every_ms", "must be 50 to 600000".to_string()));
        }
        if self.kind == Kind::Probe && self.nodes.is_empty() {
            faults.push(("nodes", "must name one node at least".to_string()));
        }
        if self.kind == Kind::Upkeep && self.shards != 1 {
            faults.push(("shards", "must be 1 for upkeep: the store is one".to_string()));
        }
        faults
    }
}
