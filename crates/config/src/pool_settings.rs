//! The settings of a pool for the decision module, except classes and plans.

use crate::section::Section;
use violetyoke_decision::interface::{self, Micros, Settings};

const MS: f64 = 1_000.0;

/// Reads the settings of a pool, without classes and plans. `index` is the index of this ingress among `ingresses`.
pub(crate) fn read_settings(section: &Section<'_>, ingresses: u16, index: u16) -> Settings {
    let time =
        |key: &'static str, default: f64| (section.number(key, default, 0.0..=86_400_000.0) * MS) as Micros;
    let retry_after = time("max_retry_after_ms", 60_000.0);
    let slow_start = section.section("cold_start");
    let settings = Settings {
        gateways: ingresses,
        index,
        tick: 1_000,
        counter: Some(interface::Counter { timeout: time("counter_timeout_ms", 50.0).max(1_000), fee: 0.0 }),
        max_request_units: section.number("largest_request", 100.0, 1e-3..=1e6),
        limits: interface::Limits {
            max_attempts: section.integer("attempts", 4, 1..=16) as u32,
            cancellation: true,
            retry_hints: retry_after > 0,
            max_retry_after: retry_after,
            connect_timeout: time("connect_timeout_ms", 250.0).max(1_000),
            idle_timeout: time("idle_close_ms", 30_000.0).max(1_000),
            streams_per_connection: 1,
            ..interface::Limits::default()
        },
        safety: interface::Safety {
            deadline_slack: 16_000,
            drain_grace: 250_000,
            slow_start_share: slow_start.number("share", 1.0, 0.01..=1.0),
            slow_start_time: (slow_start.number("time_ms", 0.0, 0.0..=3_600_000.0) * MS) as Micros,
            overload_multiple: slow_start.number("fall_multiple", 3.0, 1.0..=100.0),
            overload_time: (slow_start.number("fall_ms", 1_000.0, 1.0..=60_000.0) * MS) as Micros,
            max_poll_interval: 10_000_000,
        },
        report_fields: vec![interface::ReportField::Outstanding],
        report_via: interface::ReportVia::Responses,
        ..Settings::default()
    };
    slow_start.finish();
    settings
}
