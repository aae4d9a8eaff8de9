//! The rate limit service: its listener, and what domains and descriptors stand for.

use crate::pool::Pool;
use crate::section::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetyoke_ratelimit::{DescriptorRule, Domain, Mapping, UnknownPolicy};

/// The gRPC rate limit service, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct RateLimit {
    pub listen: SocketAddr,
    /// Its part of the core against the pools'.
    pub weight: u64,
    /// Connections at most, and questions at once on one of them.
    pub connections: u64,
    pub streams: u32,
    /// Descriptors of one question, and bytes of one message.
    pub descriptors: usize,
    pub message_bytes: usize,
    /// How long a question may take that brings no `grpc-timeout`, in microseconds.
    pub deadline: u64,
    pub mapping: Mapping,
}

const UNKNOWN: [(&str, UnknownPolicy); 2] =
    [("ok", UnknownPolicy::Ok), ("over_limit", UnknownPolicy::OverLimit)];

impl RateLimit {
    pub(crate) fn read(section: &Section<'_>, pools: &[Pool]) -> RateLimit {
        if !section.has("listen") {
            section.error("listen", "is missing");
        }
        let listen = section.parsed("listen", "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1)));
        let unknown = |section: &Section<'_>, key: &'static str| {
            if !section.has(key) {
                // Either answer may be wrong for somebody: it is for the operator to state it.
                section.error(key, "is missing: ok or over_limit");
            }
            section.word(key, UnknownPolicy::OverLimit, &UNKNOWN)
        };
        let mut domains = BTreeMap::new();
        let sections = section.sections("domain");
        if sections.is_empty() {
            section.error("domain", "at least one is needed");
        }
        for domain in sections {
            let name = domain.needed("name");
            let rules = domain.sections("descriptor");
            if rules.is_empty() {
                domain.error("descriptor", "at least one is needed");
            }
            let rules = rules.into_iter().filter_map(|section| rule(section, pools)).collect();
            let read = Domain { rules, unknown_descriptor: unknown(&domain, "unknown_descriptor") };
            if domains.insert(name.clone(), read).is_some() {
                domain.error("name", format!("{name:?} is another domain's name too"));
            }
            domain.finish();
        }
        let unknown_domain = unknown(section, "unknown_domain");
        let mapping = Mapping::new(domains, unknown_domain).unwrap_or_else(|duplicates| {
            duplicates.iter().for_each(|duplicate| section.error("domain", duplicate));
            Mapping::empty(unknown_domain)
        });
        RateLimit {
            listen,
            weight: section.whole("weight", 1, 1..=1_000),
            connections: section.whole("connections", 64, 1..=100_000),
            streams: section.whole("streams", 128, 1..=100_000) as u32,
            descriptors: section.whole("descriptors", 64, 1..=1_000) as usize,
            message_bytes: section.whole("message_bytes", 65_536, 256..=16 << 20) as usize,
            deadline: (section.number("deadline_ms", 1_000.0, 1.0..=60_000.0) * 1_000.0) as u64,
            mapping,
        }
    }
}

fn rule(section: Section<'_>, pools: &[Pool]) -> Option<DescriptorRule> {
    let name = section.needed("pool");
    let pool = pools.iter().position(|pool| pool.name == name);
    if section.has("pool") && pool.is_none() {
        section.error("pool", format!("there is no pool {name:?}"));
    }
    let plan = section.text("plan");
    let known =
        |plan: &String| pool.is_none_or(|pool| pools[pool].plans.iter().any(|(name, _)| name == plan));
    if plan.as_ref().is_some_and(|plan| !known(plan)) {
        section.error("plan", "is not a plan of the pool");
    }
    let rule = DescriptorRule {
        pool: pool.unwrap_or(0),
        when: section.texts("when"),
        account_key: section.needed("account"),
        plan_key: section.text("plan_key"),
        default_plan: plan,
        attempt_key: section.text("try_key"),
    };
    section.finish();
    pool.map(|_| rule)
}
