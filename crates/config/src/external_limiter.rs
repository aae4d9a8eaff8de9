//! An outside rate limit server that a pool asks before it admits.

use crate::section::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetyoke_ratelimit::breaker::BreakerSettings;
use violetyoke_ratelimit::external_limiter::{FallbackPolicy, LimiterSettings};

/// The external rate limit server of a pool, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct ExternalLimiterConfig {
    /// Its address.
    pub address: SocketAddr,
    /// The domain of its queries.
    pub domain: String,
    /// Entries that every descriptor has.
    pub fixed_entries: BTreeMap<String, String>,
    /// Key of the account in a descriptor.
    pub account_key: String,
    /// Key of the plan; `None`: it is not in descriptors.
    pub plan_key: Option<String>,
    /// Key of the class; `None`: it is not in descriptors.
    pub class_key: Option<String>,
    /// Key of the attempt's name; `None`: it is not in descriptors.
    pub attempt_key: Option<String>,
    /// Plans whose requests are asked about; empty: all.
    pub plans: Vec<String>,
    /// How it is asked.
    pub settings: LimiterSettings,
}

const MS: f64 = 1_000.0;

impl ExternalLimiterConfig {
    /// Reads the table of an external server. `plans`: the pool's. `max_retry_after`: the longest time that its clients are
    /// asked to wait, in microseconds.
    pub(crate) fn read(section: &Section<'_>, plans: &[&str], max_retry_after: u64) -> ExternalLimiterConfig {
        if !section.has("when_silent") {
            section.error("when_silent", "is missing");
        }
        let config = ExternalLimiterConfig {
            address: section.required_address("address"),
            domain: section.required_text("domain"),
            fixed_entries: section.text_map("with"),
            account_key: section.text("account_key").unwrap_or_else(|| "account".into()),
            plan_key: section.text("plan_key"),
            class_key: section.text("class_key"),
            attempt_key: section.text("try_key"),
            plans: section.text_list("plans"),
            settings: read_settings(section, max_retry_after),
        };
        for plan in config.plans.iter().filter(|plan| !plans.contains(&plan.as_str())) {
            section.error("plans", format!("{plan:?} is not a plan of the pool"));
        }
        config.check_keys(section);
        config
    }

    /// The keys of a descriptor must be different, and none may be empty.
    fn check_keys(&self, section: &Section<'_>) {
        let optional = [&self.plan_key, &self.class_key, &self.attempt_key];
        let mut keys: Vec<&String> =
            optional.into_iter().flatten().chain(self.fixed_entries.keys()).collect();
        keys.push(&self.account_key);
        keys.sort();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            section.error("with", format!("the key {:?} would stand twice in a descriptor", pair[0]));
        }
        if keys.iter().any(|key| key.is_empty()) {
            section.error("account_key", "no key of a descriptor may be empty");
        }
    }
}

fn read_settings(section: &Section<'_>, max_retry_after: u64) -> LimiterSettings {
    let time = |key: &'static str, default: f64, least: f64| {
        (section.number(key, default, least..=60_000.0) * MS) as u64
    };
    let breaker = section.section("breaker");
    let settings = LimiterSettings {
        max_query_time: time("budget_ms", 50.0, 1.0),
        max_time_fraction: section.number("budget_part", 0.25, 0.01..=0.5),
        max_in_flight: section.integer("most_open", 64, 1..=10_000) as usize,
        late_reply_time: time("late_ms", 1_000.0, 0.0),
        credit_ttl: time("credit_ms", 1_000.0, 0.0),
        fallback_policy: section.choice(
            "when_silent",
            FallbackPolicy::Reject,
            &[("own_quota", FallbackPolicy::OwnQuota), ("refuse", FallbackPolicy::Reject)],
        ),
        max_retry_after,
        breaker: read_breaker(&breaker),
    };
    breaker.finish();
    settings
}

fn read_breaker(section: &Section<'_>) -> BreakerSettings {
    let pause =
        |key: &'static str, default: f64| (section.number(key, default, 10.0..=600_000.0) * MS) as u64;
    let breaker = BreakerSettings {
        failures: section.integer("failures", 5, 1..=1_000_000) as u32,
        pause: pause("pause_ms", 1_000.0),
        max_pause: pause("longest_pause_ms", 30_000.0),
    };
    if breaker.max_pause < breaker.pause {
        section.error("longest_pause_ms", "is below pause_ms");
    }
    breaker
}
