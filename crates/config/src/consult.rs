//! An outside rate limit server that a pool asks before it admits.

use crate::section::Section;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use violetyoke_ratelimit::breaker::BreakerSettings;
use violetyoke_ratelimit::consult::{LimiterSettings, OnSilence};

/// What a pool asks, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Consult {
    pub address: SocketAddr,
    pub domain: String,
    /// Entries that every descriptor has.
    pub with: BTreeMap<String, String>,
    /// The keys under which a descriptor says the account, and the plan, the class and the try where it says them.
    pub account_key: String,
    pub plan_key: Option<String>,
    pub class_key: Option<String>,
    pub try_key: Option<String>,
    /// Plans that are asked about; none of them: all.
    pub plans: Vec<String>,
    pub settings: LimiterSettings,
}

const MS: f64 = 1_000.0;

impl Consult {
    /// `plans` are the pool's, and `longest_hint` the longest time that its clients are told to wait.
    pub(crate) fn read(section: Section<'_>, plans: &[&str], longest_hint: u64) -> Consult {
        for key in ["address", "when_silent"] {
            if !section.has(key) {
                section.error(key, "is missing");
            }
        }
        let time = |key: &'static str, usual: f64, least: f64| {
            (section.number(key, usual, least..=60_000.0) * MS) as u64
        };
        let breaker = section.section("breaker");
        let pause = (breaker.number("pause_ms", 1_000.0, 10.0..=600_000.0) * MS) as u64;
        let longest_pause = (breaker.number("longest_pause_ms", 30_000.0, 10.0..=600_000.0) * MS) as u64;
        let settings = LimiterSettings {
            budget: time("budget_ms", 50.0, 1.0),
            budget_share: section.number("budget_part", 0.25, 0.01..=0.5),
            max_in_flight: section.whole("most_open", 64, 1..=10_000) as usize,
            late_reply_time: time("late_ms", 1_000.0, 0.0),
            credit_time: time("credit_ms", 1_000.0, 0.0),
            on_silence: section.word(
                "when_silent",
                OnSilence::Reject,
                &[("own_quota", OnSilence::OwnQuota), ("refuse", OnSilence::Reject)],
            ),
            max_retry_after: longest_hint,
            breaker: BreakerSettings {
                failures: breaker.whole("failures", 5, 1..=1_000_000) as u32,
                pause,
                max_pause: longest_pause,
            },
        };
        if longest_pause < pause {
            breaker.error("longest_pause_ms", "is below pause_ms");
        }
        breaker.finish();
        let consult = Consult {
            address: section.parsed("address", "an address").unwrap_or(SocketAddr::from(([127, 0, 0, 1], 1))),
            domain: section.needed("domain"),
            with: section.texts("with"),
            account_key: section.text("account_key").unwrap_or_else(|| "account".into()),
            plan_key: section.text("plan_key"),
            class_key: section.text("class_key"),
            try_key: section.text("try_key"),
            plans: section.names("plans"),
            settings,
        };
        for plan in consult.plans.iter().filter(|plan| !plans.contains(&plan.as_str())) {
            section.error("plans", format!("{plan:?} is not a plan of the pool"));
        }
        let keys = [Some(&consult.account_key), consult.plan_key.as_ref()];
        let mut keys: Vec<&String> = keys
            .into_iter()
            .chain([consult.class_key.as_ref(), consult.try_key.as_ref()])
            .flatten()
            .chain(consult.with.keys())
            .collect();
        keys.sort();
        if let Some(pair) = keys.windows(2).find(|pair| pair[0] == pair[1]) {
            section.error("with", format!("the key {:?} would stand twice in a descriptor", pair[0]));
        }
        if keys.iter().any(|key| key.is_empty()) {
            section.error("account_key", "no key of a descriptor may be empty");
        }
        section.finish();
        consult
    }
}
