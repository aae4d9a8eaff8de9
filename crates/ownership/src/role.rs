//! Singleton roles as operators declare them. The serialized names are the settings' keys (`deploy/duties.example.toml`).

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// Minimum and maximum duration of a lease, in milliseconds.
pub const TTL_RANGE_MS: RangeInclusive<u64> = 500..=600_000;
/// Maximum number of shards of one role.
pub const MAX_SHARDS: u32 = 10_000;

const REPORT_SPAN_RANGE_MS: RangeInclusive<u64> = 100..=86_400_000;
const PROBE_INTERVAL_RANGE_MS: RangeInclusive<u64> = 50..=600_000;
const MAX_NAME_LENGTH: usize = 40;

/// The kind of process that can run a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessKind {
    /// An ingress.
    Ingress,
    /// A control plane.
    Control,
}

/// The work of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleKind {
    /// Upkeep of the control plane's store.
    Upkeep,
    /// Reports of each tenant's usage per time span, to a sink.
    Report,
    /// Health probes of nodes on behalf of all ingresses.
    Probe,
}

impl RoleKind {
    /// The kind of process that runs such roles.
    pub fn process_kind(self) -> ProcessKind {
        match self {
            RoleKind::Upkeep => ProcessKind::Control,
            RoleKind::Report | RoleKind::Probe => ProcessKind::Ingress,
        }
    }
}

/// A declared singleton role: work for the fleet that is split into shards, each of which is run by one process at a
/// time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Duty", deny_unknown_fields)]
pub struct SingletonRole {
    /// Unique name: 1 to 40 small letters, digits or `-`.
    pub name: String,
    /// The work.
    pub kind: RoleKind,
    /// Number of shards.
    #[serde(default = "default_shard_count", rename = "shards")]
    pub shard_count: u32,
    /// Duration of a grant, in milliseconds.
    #[serde(default = "default_ttl_ms", rename = "length_ms")]
    pub ttl_ms: u64,
    /// Maximum number of shards at one process; 0: no limit.
    #[serde(default, rename = "most")]
    pub max_shards_per_process: u32,
    /// For [`RoleKind::Report`]: the time that one report covers, in milliseconds.
    #[serde(default = "default_report_span_ms", rename = "span_ms")]
    pub report_span_ms: u64,
    /// For [`RoleKind::Probe`]: the nodes' addresses, distributed over the shards in turn.
    #[serde(default)]
    pub nodes: Vec<SocketAddr>,
    /// For [`RoleKind::Probe`]: the time between two probes of a node, in milliseconds.
    #[serde(default = "default_probe_interval_ms", rename = "every_ms")]
    pub probe_interval_ms: u64,
}

fn default_shard_count() -> u32 {
    1
}

fn default_ttl_ms() -> u64 {
    10_000
}

fn default_report_span_ms() -> u64 {
    60_000
}

fn default_probe_interval_ms() -> u64 {
    1_000
}

/// A field of a declared role that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidField {
    /// The settings' key.
    pub field: &'static str,
    /// What the value must be.
    pub reason: String,
}

impl InvalidField {
    fn out_of_range(field: &'static str, range: &RangeInclusive<u64>) -> InvalidField {
        InvalidField { field, reason: format!("must be {} to {}", range.start(), range.end()) }
    }
}

impl SingletonRole {
    /// A role with the default settings.
    pub fn new(name: impl Into<String>, kind: RoleKind) -> SingletonRole {
        SingletonRole {
            name: name.into(),
            kind,
            shard_count: default_shard_count(),
            ttl_ms: default_ttl_ms(),
            max_shards_per_process: 0,
            report_span_ms: default_report_span_ms(),
            nodes: Vec::new(),
            probe_interval_ms: default_probe_interval_ms(),
        }
    }

    /// The fields that are not valid; empty if the role can be put in force.
    #[must_use]
    pub fn validate(&self) -> Vec<InvalidField> {
        let invalid = |field, reason: &str| InvalidField { field, reason: reason.to_string() };
        let mut errors = Vec::new();
        if !is_valid_name(&self.name) {
            errors.push(invalid("name", "must be 1 to 40 small letters, digits or -"));
        }
        if self.shard_count == 0 || self.shard_count > MAX_SHARDS {
            errors.push(invalid("shards", &format!("must be 1 to {MAX_SHARDS}")));
        }
        for (field, value, range) in [
            ("length_ms", self.ttl_ms, TTL_RANGE_MS),
            ("span_ms", self.report_span_ms, REPORT_SPAN_RANGE_MS),
            ("every_ms", self.probe_interval_ms, PROBE_INTERVAL_RANGE_MS),
        ] {
            if !range.contains(&value) {
                errors.push(InvalidField::out_of_range(field, &range));
            }
        }
        if self.kind == RoleKind::Probe && self.nodes.is_empty() {
            errors.push(invalid("nodes", "must name one node at least"));
        }
        if self.kind == RoleKind::Upkeep && self.shard_count != 1 {
            errors.push(invalid("shards", "must be 1 for upkeep: the store is one"));
        }
        errors
    }
}

fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(is_allowed)
}
