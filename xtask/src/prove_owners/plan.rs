//! The fleet under proof.

use super::{Without, INGRESSES, LENGTH, PROBE_SHARDS, REPORT_SHARDS, SPAN, TENANTS};
use std::path::Path;
use violetyoke_rig::fleet::Plan;

pub fn plan(program: &Path, standin: &Path, take: &[&str], without: Option<Without>) -> Plan {
    let duties = format!(
        r#"[[duty]]
name = "report"
kind = "report"
shards = {REPORT_SHARDS}
length_ms = {length}
span_ms = {span}
[[duty]]
name = "probe"
kind = "probe"
shards = {PROBE_SHARDS}
length_ms = {length}
every_ms = 100
nodes = [{nodes}]
"#,
        length = LENGTH.as_millis(),
        span = SPAN.as_millis(),
        nodes = vec!["\"SINK\""; PROBE_SHARDS as usize].join(", "),
    );
    let fault = match without {
        Some(Without::Sending) => Some("count-from-response"),
        Some(Without::Progress) => Some("renew-without-progress"),
        Some(Without::Fence) | None => None,
    };
    Plan {
        program: program.into(),
        standin: standin.into(),
        ingresses: INGRESSES,
        tenants: TENANTS.iter().map(|name| name.to_string()).collect(),
        duties,
        joined_duties: take.iter().map(|name| name.to_string()).collect(),
        has_fencing: without != Some(Without::Fence),
        environment: fault
            .map(|fault| ("VIOLETYOKE_TEST_FAULT".to_string(), fault.to_string()))
            .into_iter()
            .collect(),
    }
}
