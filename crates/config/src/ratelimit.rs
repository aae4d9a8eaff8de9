//! The configuration of the gRPC rate limit service: its listener, and the mapping of domains and descriptors to pools.

use crate::pool::Pool;
use crate::section::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetyoke_ratelimit::{DescriptorRule, Domain, Mapping, UnknownPolicy};

/// The validated configuration of the gRPC rate limit service.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimit {
    /// The address on which queries are accepted.
    pub listen: SocketAddr,
    /// Its share of the processor relative to pools.
    pub weight: u64,
    /// The maximum number of connections.
    pub connections: u64,
    /// The maximum number of queries in flight on one connection.
    pub streams: u32,
    /// The maximum number of descriptors in one query.
    pub descriptors: usize,
    /// The maximum size of a message (bytes).
    pub message_bytes: usize,
    /// The maximum and default time-out of a query, in microseconds.
    pub deadline: u64,
    /// The mapping of domains and descriptors to pools.
    pub mapping: Mapping,
}

const UNKNOWN: [(&str, UnknownPolicy); 2] =
    [("ok", UnknownPolicy::Ok), ("over_limit", UnknownPolicy::OverLimit)];

impl RateLimit {
    /// Reads the table of the rate limit service. The caller calls [`Section::finish`].
    pub(crate) fn read(section: &Section<'_>, pools: &[Pool]) -> RateLimit {
        RateLimit {
            listen: section.required_address("listen"),
            weight: section.integer("weight", 1, 1..=1_000),
            connections: section.integer("connections", 64, 1..=100_000),
            streams: section.integer("streams", 128, 1..=100_000) as u32,
            descriptors: section.integer("descriptors", 64, 1..=1_000) as usize,
            message_bytes: section.integer("message_bytes", 65_536, 256..=16 << 20) as usize,
            deadline: (section.number("deadline_ms", 1_000.0, 1.0..=60_000.0) * 1_000.0) as u64,
            mapping: read_mapping(section, pools),
        }
    }
}

fn read_mapping(section: &Section<'_>, pools: &[Pool]) -> Mapping {
    let mut domains = BTreeMap::new();
    let tables = section.sections("domain");
    if tables.is_empty() {
        section.error("domain", "at least one is needed");
    }
    for table in tables {
        let name = table.required_text("name");
        if domains.insert(name.clone(), read_domain(&table, pools)).is_some() {
            table.error("name", format!("{name:?} is already the name of another domain"));
        }
        table.finish();
    }
    let unknown_domain = read_unknown_policy(section, "unknown_domain");
    Mapping::new(domains, unknown_domain).unwrap_or_else(|duplicates| {
        duplicates.iter().for_each(|duplicate| section.error("domain", duplicate));
        Mapping::empty(unknown_domain)
    })
}

fn read_domain(table: &Section<'_>, pools: &[Pool]) -> Domain {
    let rule_tables = table.sections("descriptor");
    if rule_tables.is_empty() {
        table.error("descriptor", "at least one is needed");
    }
    let mut rules = Vec::new();
    for rule_table in rule_tables {
        rules.extend(read_rule(&rule_table, pools));
        rule_table.finish();
    }
    Domain { rules, unknown_descriptor: read_unknown_policy(table, "unknown_descriptor") }
}

fn read_unknown_policy(section: &Section<'_>, key: &'static str) -> UnknownPolicy {
    if !section.has(key) {
        // There is no default, as either result may be wrong: the operator must choose.
        section.error(key, "is missing: ok or over_limit");
    }
    section.choice(key, UnknownPolicy::OverLimit, &UNKNOWN)
}

/// Reads the rule of a kind of descriptors; `None` if its pool does not exist.
fn read_rule(section: &Section<'_>, pools: &[Pool]) -> Option<DescriptorRule> {
    let name = section.required_text("pool");
    let pool = pools.iter().position(|pool| pool.name == name);
    if section.has("pool") && pool.is_none() {
        section.error("pool", format!("there is no pool {name:?}"));
    }
    let plan = section.text("plan");
    let has_plan =
        |plan: &String| pool.is_none_or(|pool| pools[pool].plans.iter().any(|(name, _)| name == plan));
    if plan.as_ref().is_some_and(|plan| !has_plan(plan)) {
        section.error("plan", "is not a plan of the pool");
    }
    let rule = DescriptorRule {
        pool: pool.unwrap_or(0),
        when: section.text_map("when"),
        account_key: section.required_text("account"),
        plan_key: section.text("plan_key"),
        default_plan: plan,
        attempt_key: section.text("try_key"),
    };
    pool.map(|_| rule)
}
