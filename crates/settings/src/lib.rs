//! The settings object that the platform gives an ingress, read from JSON into the decision module's own
//! [`Settings`]. Times are microseconds. Unknown keys are ignored: the platform may tell more than is used.

#![allow(clippy::wildcard_imports, missing_docs, reason = "not yet revised for readers: see docs/ROADMAP.md")]

pub mod changes;

use serde_json::Value;
use std::fmt;
use violetyoke_decision::interface::*;

/// What is wrong with the settings, with the path of the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

fn err<T>(text: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError(text.into()))
}

struct Json<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> Json<'a> {
    fn child(&self, key: &str) -> Option<Json<'a>> {
        let value = self.value.get(key).filter(|value| !value.is_null())?;
        Some(Json {
            value,
            path: format!("{}{}{key}", self.path, if self.path.is_empty() { "" } else { "." }),
        })
    }
    fn at(&self, path: &[&str]) -> Option<Json<'a>> {
        let mut here = Json { value: self.value, path: self.path.clone() };
        for key in path {
            here = here.child(key)?;
        }
        Some(here)
    }
    fn number(&self, path: &[&str], default: f64) -> Result<f64, SettingsError> {
        match self.at(path) {
            None => Ok(default),
            Some(json) => match json.value.as_f64() {
                Some(value) if value.is_finite() && value >= 0.0 => Ok(value),
                _ => err(format!("{} is not a number of 0 or more", json.path)),
            },
        }
    }
    fn whole(&self, path: &[&str], default: u64) -> Result<u64, SettingsError> {
        Ok(self.number(path, default as f64)?.round() as u64)
    }
    fn small<T: TryFrom<u64>>(&self, path: &[&str], default: u64) -> Result<T, SettingsError> {
        let value = self.whole(path, default)?;
        T::try_from(value).or_else(|_| err(format!("{} is too large", path.join("."))))
    }
    fn flag(&self, path: &[&str], default: bool) -> Result<bool, SettingsError> {
        match self.at(path) {
            None => Ok(default),
            Some(json) => match json.value.as_bool() {
                Some(value) => Ok(value),
                None => err(format!("{} is neither true nor false", json.path)),
            },
        }
    }
    fn word<T>(&self, path: &[&str], default: T, known: &[(&str, T)]) -> Result<T, SettingsError>
    where
        T: Copy,
    {
        let Some(json) = self.at(path) else {
            return Ok(default);
        };
        let word = json.value.as_str().unwrap_or_default();
        match known.iter().find(|(name, _)| *name == word) {
            Some((_, value)) => Ok(*value),
            None => err(format!("{} is not a word known here", json.path)),
        }
    }
    fn list(&self, key: &str) -> Result<Vec<Json<'a>>, SettingsError> {
        let Some(json) = self.child(key) else {
            return Ok(Vec::new());
        };
        let Some(values) = json.value.as_array() else {
            return err(format!("{} is not a list", json.path));
        };
        let path = |i| format!("{}[{i}]", json.path);
        Ok(values.iter().enumerate().map(|(i, value)| Json { value, path: path(i) }).collect())
    }
}

/// Reads a gateway's settings from JSON text; unknown keys are ignored.
pub fn settings(text: &[u8]) -> Result<Settings, SettingsError> {
    let value: Value = serde_json::from_slice(text).map_err(|error| SettingsError(error.to_string()))?;
    if !value.is_object() {
        return err("not an object");
    }
    let json = Json { value: &value, path: String::new() };
    let settings = Settings {
        gateways: json.small(&["balancers"], 1)?,
        index: json.small(&["self-index"], 0)?,
        zone: json.small(&["zone"], 0)?,
        tick: json.whole(&["granularity-us"], 1000)?,
        classes: json.list("categories")?.iter().map(class).collect::<Result<_, _>>()?,
        plans: json.list("tariffs")?.iter().map(plan).collect::<Result<_, _>>()?,
        counter: if json.flag(&["family-info", "has-counter"], false)? {
            Some(Counter {
                timeout: json.whole(&["family-info", "counter-timeout-us"], 50_000)?,
                fee: json.number(&["family-info", "count-fee"], 0.0)?,
            })
        } else {
            None
        },
        meter_period: json.whole(&["family-info", "meter-period-us"], 0)?,
        largest_request: json.number(&["family-info", "largest"], 1.0)?,
        settled_later: json.flag(&["family-info", "post-paid"], false)?,
        limits: limits(&json)?,
        safety: safety(&json)?,
        report_fields: report_fields(&json)?,
        report_via: json.word(
            &["report", "via"],
            ReportVia::Never,
            &[("piggyback", ReportVia::Answers), ("pull", ReportVia::Probes), ("silent", ReportVia::Never)],
        )?,
        discovery: json.word(
            &["registry-mode"],
            Discovery::Push,
            &[("push", Discovery::Push), ("ask", Discovery::Ask)],
        )?,
        weights: json.word(
            &["weights"],
            Weights::Silent,
            &[
                ("silent", Weights::Silent),
                ("nominal", Weights::Nominal),
                ("rough", Weights::Rough),
                ("live", Weights::Live),
            ],
        )?,
        prices: prices(&json)?,
    };
    consistent(&settings)?;
    Ok(settings)
}

fn consistent(settings: &Settings) -> Result<(), SettingsError> {
    if settings.classes.is_empty() || settings.plans.is_empty() {
        return err("classes and plans are needed");
    }
    if settings.gateways == 0 || settings.index >= settings.gateways {
        return err("self-index is not below balancers");
    }
    if settings.limits.attempts == 0 {
        return err("bounds.attempts-cap is not 1 or more");
    }
    for (i, class) in settings.classes.iter().enumerate() {
        if class.aim == 0 || class.deadline < class.aim {
            return err(format!("categories[{i}] has no aim within its deadline"));
        }
    }
    for (i, plan) in settings.plans.iter().enumerate() {
        if plan.rate > 0.0 && plan.burst <= 0.0 {
            return err(format!("tariffs[{i}] has a rate and no peak-units"));
        }
        if plan.ceiling_rate > 0.0 && plan.ceiling_burst <= 0.0 {
            return err(format!("tariffs[{i}] has a ceiling-rate and no ceiling-burst"));
        }
    }
    Ok(())
}

fn class(json: &Json) -> Result<Class, SettingsError> {
    let aim = json.whole(&["aim-us"], 1_000_000)?;
    Ok(Class {
        aim,
        aim_stretch: json.number(&["aim-stretch"], 0.0)?,
        deadline: json.whole(&["deadline-us"], aim)?,
        effect: json.word(
            &["effect"],
            Effect::Unsafe,
            &[
                ("idempotent", Effect::Safe),
                ("deduplicated", Effect::Keyed),
                ("at_most_once", Effect::Unsafe),
            ],
        )?,
        group: json.word(
            &["group"],
            Group::All,
            &[("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)],
        )?,
        repeat_window: json.whole(&["window-us"], 0)?,
        late_value: json.number(&["late-value"], 0.0)?,
        value: json.number(&["value"], 1.0)?,
        streamed: json.flag(&["streaming"], false)?,
        asks_only: false,
    })
}

fn plan(json: &Json) -> Result<Plan, SettingsError> {
    Ok(Plan {
        rate: json.number(&["quota-rate"], 0.0)?,
        burst: json.number(&["peak-units"], 0.0)?,
        open_cap: json.number(&["open"], 0.0)?,
        worth: json.number(&["worth-factor"], 1.0)?,
        beyond_worth: json.number(&["extra-worth"], 0.0)?,
        beyond_cost: json.number(&["overrun-cost"], 0.0)?,
        ceiling_rate: json.number(&["ceiling-rate"], 0.0)?,
        ceiling_burst: json.number(&["ceiling-burst"], 0.0)?,
        ceiling_slack: json.number(&["cap-slack"], 0.0)?,
    })
}

fn limits(json: &Json) -> Result<Limits, SettingsError> {
    Ok(Limits {
        attempts: json.small(&["bounds", "attempts-cap"], 1)?,
        second_copies: json.flag(&["bounds", "second-copies"], false)?,
        cancelling: json.flag(&["bounds", "cancelling"], false)?,
        probing: json.flag(&["bounds", "probing"], false)?,
        peer_messages: json.flag(&["bounds", "peer-messages"], false)?,
        peer_intake: json.number(&["family-info", "peer-intake"], 0.0)?,
        retry_hints: json.flag(&["bounds", "retry-after"], false)?,
        longest_retry_hint: json.whole(&["bounds", "max-retry-after-us"], 0)?,
        clients_mark_repeats: json.flag(&["clients", "marks-retry"], false)?,
        open_requests: json.small(&["bounds", "max-open"], u64::from(u32::MAX))?,
        connect_timeout: json.whole(&["bounds", "connect-timeout-us"], 250_000)?,
        idle_close: json.whole(&["bounds", "idle-close-us"], 0)?,
        streams_per_connection: json.small(&["bounds", "streams-per-conn"], 1)?,
        cpu_per_second: json.whole(&["bounds", "cpu-us-per-s"], 0)?,
        cpu_per_request: json.number(&["bounds", "cpu-us-per-request"], 0.0)?,
    })
}

fn safety(json: &Json) -> Result<Safety, SettingsError> {
    Ok(Safety {
        answer_slack: json.whole(&["safety", "answer-slack-us"], 0)?,
        drain_grace: json.whole(&["safety", "drain-grace-us"], 0)?,
        cold_share: json.number(&["safety", "cold-share"], 1.0)?,
        cold_time: json.whole(&["safety", "cold-us"], 0)?,
        fall_multiple: json.number(&["safety", "fall-multiple"], 1.0)?,
        fall_time: json.whole(&["safety", "fall-us"], 1_000_000)?,
        ask_within: json.whole(&["safety", "ask-within-us"], 10_000_000)?,
    })
}

fn prices(json: &Json) -> Result<Prices, SettingsError> {
    Ok(Prices {
        cross_zone: json.number(&["prices", "cross-zone"], 0.0)?,
        waste: json.number(&["prices", "waste"], 0.0)?,
        probe: json.number(&["prices", "probe"], 0.0)?,
        peer: json.number(&["prices", "peer"], 0.0)?,
        late_fail: json.number(&["prices", "late-fail"], 0.0)?,
        connection: json.number(&["prices", "connection"], 0.0)?,
        handshake: json.number(&["prices", "handshake"], 0.0)?,
        discovery: json.number(&["prices", "registry-mode"], 0.0)?,
    })
}

fn report_fields(json: &Json) -> Result<Vec<ReportField>, SettingsError> {
    let Some(report) = json.child("report") else {
        return Ok(Vec::new());
    };
    let name = |json: &Json| match json.value.as_str() {
        Some("outstanding") => Ok(ReportField::Outstanding),
        Some("backlog") => Ok(ReportField::Backlog),
        Some("utilization") => Ok(ReportField::Utilization),
        Some("recent_ms") => Ok(ReportField::RecentMillis),
        Some("throughput") => Ok(ReportField::Throughput),
        Some("errors_per_s") => Ok(ReportField::ErrorsPerSecond),
        Some(_) => Ok(ReportField::Other),
        None => err(format!("{} is not a name", json.path)),
    };
    report.list("fields")?.iter().map(name).collect()
}
