//! Parses the sections of the settings object into the types of the decision module.

use crate::error::SettingsError;
use crate::field::Field;
use crate::validation::check_consistency;
use serde_json::Value;
use violetyoke_decision::interface::{
    Class, Counter, DedupScope, Discovery, Idempotency, Limits, Plan, Prices, ReportField, ReportVia, Safety,
    Settings, Weights,
};

/// Parses the settings of an ingress from a JSON text, and checks that they are consistent. A key that is absent or null has
/// its default; unknown keys are ignored.
///
/// # Errors
/// If the text is not a JSON object, if the value of a key has the wrong type or is out of range, or if two values contradict
/// each other.
pub fn parse_settings(text: &[u8]) -> Result<Settings, SettingsError> {
    let value: Value = serde_json::from_slice(text).map_err(SettingsError::Json)?;
    if !value.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let root = Field::root(&value);
    let settings = Settings {
        gateways: root.integer(&["balancers"], 1)?,
        index: root.integer(&["self-index"], 0)?,
        zone: root.integer(&["zone"], 0)?,
        tick: root.rounded(&["granularity-us"], 1000)?,
        classes: root.list("categories")?.iter().map(class).collect::<Result<_, _>>()?,
        plans: root.list("tariffs")?.iter().map(plan).collect::<Result<_, _>>()?,
        counter: counter(&root)?,
        meter_period: root.rounded(&["family-info", "meter-period-us"], 0)?,
        max_request_units: root.number(&["family-info", "largest"], 1.0)?,
        units_are_estimates: root.flag(&["family-info", "post-paid"], false)?,
        limits: limits(&root)?,
        safety: safety(&root)?,
        report_fields: report_fields(&root)?,
        report_via: root.one_of(
            &["report", "via"],
            ReportVia::Never,
            &[("piggyback", ReportVia::Responses), ("pull", ReportVia::Probes), ("silent", ReportVia::Never)],
        )?,
        discovery: root.one_of(
            &["registry-mode"],
            Discovery::Push,
            &[("push", Discovery::Push), ("ask", Discovery::Poll)],
        )?,
        weights: root.one_of(
            &["weights"],
            Weights::Absent,
            &[
                ("silent", Weights::Absent),
                ("nominal", Weights::Nominal),
                ("rough", Weights::Rough),
                ("live", Weights::Live),
            ],
        )?,
        prices: prices(&root)?,
    };
    check_consistency(&settings)?;
    Ok(settings)
}

/// The settings of the counter service, if there is one.
fn counter(root: &Field<'_>) -> Result<Option<Counter>, SettingsError> {
    if !root.flag(&["family-info", "has-counter"], false)? {
        return Ok(None);
    }
    Ok(Some(Counter {
        timeout: root.rounded(&["family-info", "counter-timeout-us"], 50_000)?,
        fee: root.number(&["family-info", "count-fee"], 0.0)?,
    }))
}

fn class(class: &Field<'_>) -> Result<Class, SettingsError> {
    let latency_target = class.rounded(&["aim-us"], 1_000_000)?;
    Ok(Class {
        latency_target,
        latency_target_stretch: class.number(&["aim-stretch"], 0.0)?,
        deadline: class.rounded(&["deadline-us"], latency_target)?,
        idempotency: class.one_of(
            &["effect"],
            Idempotency::AtMostOnce,
            &[
                ("idempotent", Idempotency::Idempotent),
                ("deduplicated", Idempotency::Deduplicated),
                ("at_most_once", Idempotency::AtMostOnce),
            ],
        )?,
        dedup_scope: class.one_of(
            &["group"],
            DedupScope::All,
            &[("all", DedupScope::All), ("zone", DedupScope::Zone), ("cell", DedupScope::Cell)],
        )?,
        dedup_window: class.rounded(&["window-us"], 0)?,
        late_value: class.number(&["late-value"], 0.0)?,
        value: class.number(&["value"], 1.0)?,
        streamed: class.flag(&["streaming"], false)?,
        admission_only: false,
    })
}

fn plan(plan: &Field<'_>) -> Result<Plan, SettingsError> {
    Ok(Plan {
        rate: plan.number(&["quota-rate"], 0.0)?,
        burst: plan.number(&["peak-units"], 0.0)?,
        max_in_flight: plan.number(&["open"], 0.0)?,
        value: plan.number(&["worth-factor"], 1.0)?,
        over_quota_value: plan.number(&["extra-worth"], 0.0)?,
        over_quota_cost: plan.number(&["overrun-cost"], 0.0)?,
        hard_limit_rate: plan.number(&["ceiling-rate"], 0.0)?,
        hard_limit_burst: plan.number(&["ceiling-burst"], 0.0)?,
        hard_limit_slack: plan.number(&["cap-slack"], 0.0)?,
    })
}

fn limits(root: &Field<'_>) -> Result<Limits, SettingsError> {
    Ok(Limits {
        max_attempts: root.integer(&["bounds", "attempts-cap"], 1)?,
        hedging: root.flag(&["bounds", "second-copies"], false)?,
        cancellation: root.flag(&["bounds", "cancelling"], false)?,
        probing: root.flag(&["bounds", "probing"], false)?,
        peer_messages: root.flag(&["bounds", "peer-messages"], false)?,
        peer_message_rate: root.number(&["family-info", "peer-intake"], 0.0)?,
        retry_hints: root.flag(&["bounds", "retry-after"], false)?,
        max_retry_after: root.rounded(&["bounds", "max-retry-after-us"], 0)?,
        clients_mark_retries: root.flag(&["clients", "marks-retry"], false)?,
        max_open_requests: root.integer(&["bounds", "max-open"], u64::from(u32::MAX))?,
        connect_timeout: root.rounded(&["bounds", "connect-timeout-us"], 250_000)?,
        idle_timeout: root.rounded(&["bounds", "idle-close-us"], 0)?,
        streams_per_connection: root.integer(&["bounds", "streams-per-conn"], 1)?,
        cpu_per_second: root.rounded(&["bounds", "cpu-us-per-s"], 0)?,
        cpu_per_request: root.number(&["bounds", "cpu-us-per-request"], 0.0)?,
    })
}

fn safety(root: &Field<'_>) -> Result<Safety, SettingsError> {
    Ok(Safety {
        deadline_slack: root.rounded(&["safety", "answer-slack-us"], 0)?,
        drain_grace: root.rounded(&["safety", "drain-grace-us"], 0)?,
        slow_start_share: root.number(&["safety", "cold-share"], 1.0)?,
        slow_start_time: root.rounded(&["safety", "cold-us"], 0)?,
        overload_multiple: root.number(&["safety", "fall-multiple"], 1.0)?,
        overload_time: root.rounded(&["safety", "fall-us"], 1_000_000)?,
        max_poll_interval: root.rounded(&["safety", "ask-within-us"], 10_000_000)?,
    })
}

fn prices(root: &Field<'_>) -> Result<Prices, SettingsError> {
    Ok(Prices {
        cross_zone: root.number(&["prices", "cross-zone"], 0.0)?,
        waste: root.number(&["prices", "waste"], 0.0)?,
        probe: root.number(&["prices", "probe"], 0.0)?,
        peer: root.number(&["prices", "peer"], 0.0)?,
        late_fail: root.number(&["prices", "late-fail"], 0.0)?,
        connection: root.number(&["prices", "connection"], 0.0)?,
        handshake: root.number(&["prices", "handshake"], 0.0)?,
        discovery: root.number(&["prices", "registry-mode"], 0.0)?,
    })
}

fn report_fields(root: &Field<'_>) -> Result<Vec<ReportField>, SettingsError> {
    let Some(report) = root.child("report") else {
        return Ok(Vec::new());
    };
    report.list("fields")?.iter().map(report_field).collect()
}

/// A field of the backends' reports. Unknown fields become [`ReportField::Other`], as the fields of reports are identified by
/// their positions.
fn report_field(field: &Field<'_>) -> Result<ReportField, SettingsError> {
    Ok(match field.string()? {
        "outstanding" => ReportField::Outstanding,
        "backlog" => ReportField::Backlog,
        "utilization" => ReportField::Utilization,
        "recent_ms" => ReportField::RecentMillis,
        "throughput" => ReportField::Throughput,
        "errors_per_s" => ReportField::ErrorsPerSecond,
        _ => ReportField::Other,
    })
}
