//! A small fleet that tests modify.

#![allow(unreachable_pub, reason = "support modules are public to the tests")]

use violetyoke_lab::experiment::{parse, Experiment};

/// 12 ingresses and 8 nodes, so that a run is short.
pub const BASE: &str = r#"
name = "small"

[run]
seconds = 14
warm_seconds = 2
seeds = 2

[fleet]
ingresses = 12
zones = 2

[nodes]
count = 8
workers = 2
queue = 12
connections = 60
cold_share = 0.25
cold_seconds = 4

[counter]
parts = 3
calls_per_second = 400
line = 12
timeout_ms = 40
delay_ms = 1.0

[clients]
accounts = 40
skew = 1.2
spread = 6

[load]
tries_per_second = 260
largest_request = 4

[[class]]
name = "read"
effect = "safe"
share = 0.7
work_ms = 30
aim_ms = 400
deadline_ms = 900

[[class]]
name = "book"
effect = "unsafe"
share = 0.3
work_ms = 40
aim_ms = 500
deadline_ms = 1200

[[plan]]
name = "standard"
rate = 10
burst = 30
ceiling_rate = 20
ceiling_burst = 60
"#;

/// The small fleet with additional text, usually faults.
#[allow(dead_code, reason = "each file of tests uses its own part")]
pub fn with(more: &str) -> Experiment {
    parse(&format!("{BASE}\n{more}")).unwrap_or_else(|errors| panic!("{errors}"))
}

/// The small fleet with some texts replaced, and with additional text.
#[allow(dead_code, reason = "each file of tests uses its own part")]
pub fn changed(replacements: &[(&str, &str)], more: &str) -> Experiment {
    let substitute = |text: String, (from, to): &(&str, &str)| {
        assert!(text.contains(from), "{from:?} is not in the base");
        text.replace(from, to)
    };
    let base = replacements.iter().fold(BASE.to_string(), substitute);
    parse(&format!("{base}\n{more}")).unwrap_or_else(|errors| panic!("{errors}"))
}
