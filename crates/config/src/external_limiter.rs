//! The external rate limit server that a pool queries before it admits a request.

use crate::section::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetyoke_ratelimit::breaker::BreakerSettings;
use violetyoke_ratelimit::external_limiter::{FallbackPolicy, LimiterSettings};

/// The validated configuration of a pool's external rate limit server.
#[derive(Clone, Debug, PartialEq)]
pub struct ExternalLimiterConfig {
    /// The address of the server.
    pub address: SocketAddr,
    /// The domain of the queries.
    pub domain: String,
    /// Entries that every descriptor has.
    pub fixed_entries: BTreeMap<String, String>,
    /// The descriptor key of the account.
    pub account_key: String,
    /// The descriptor key of the plan; with `None`, descriptors do not contain the plan.
    pub plan_key: Option<String>,
    /// The descriptor key of the class; with `None`, descriptors do not contain the class.
    pub class_key: Option<String>,
    /// The descriptor key of the attempt's name; with `None`, descriptors do not contain it.
    pub attempt_key: Option<String>,
    /// The plans whose requests are checked by the server; all plans if the list is empty.
    pub plans: Vec<String>,
    /// Time-outs, limits and the circuit breaker.
    pub settings: LimiterSettings,
}

const MS: f64 = 1_000.0;

impl ExternalLimiterConfig {
    /// Reads the table of an external server. `plans` are the plans of the pool; `max_retry_after` is the maximum
    /// `Retry-After` of its responses, in microseconds.
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

    /// Checks that the keys of a descriptor are distinct and not empty.
    fn check_keys(&self, section: &Section<'_>) {
        let optional = [&self.plan_key, &self.class_key, &self.attempt_key];
        let mut keys: Vec<&String> =
            optional.into_iter().flatten().chain(self.fixed_entries.keys()).collect();
        keys.push(&self.account_key);
        keys.sort();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            section.error("with", format!("the key {:?} would occur twice in a descriptor", pair[0]));
        }
        if keys.iter().any(|key| key.is_empty()) {
            section.error("account_key", "no key of a descriptor may be empty");
        }
    }
}

fn read_settings(section: &Section<'_>, max_retry_after: u64) -> LimiterSettings {
    let time = |key: &'static str, default: f64, minimum: f64| {
        (section.number(key, default, minimum..=60_000.0) * MS) as u64
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
