//! What the figures of the runs come to at the sizes that count: today's sites, 300, 1,000 and the target's 13,000
//! ingresses. A figure that a run has measured is taken as it was measured; all others are reckoned from the fit.

use crate::fit::Power;
use crate::page::{number, FITTED};
use crate::record::Record;
use crate::state::slope;
use std::fmt::Write;
use std::io;

/// Ingresses of the smallest and the largest of today's deployments, of the steps between, and of the target.
const SIZES: [usize; 5] = [9, 74, 300, 1000, 13_000];

/// The target's events a second: changes of configuration (18,000 a day), and ingresses that end or begin, each once
/// (9,100 restarted or replaced and 420 failed a day).
const CHANGES_PER_S: f64 = 18_000.0 / 86_400.0;
const RESTARTS_PER_S: f64 = 9_520.0 / 86_400.0;
/// Requests of tenants with a limit that an ingress passes a second at the peak (1.3 million over 13,000).
const ADDS_PER_S: f64 = 100.0;

/// A figure, and how often a second it comes at a number of ingresses.
type Part = (&'static str, fn(f64) -> f64);

/// A line of a role's table: the sum of its parts.
struct Line {
    what: &'static str,
    unit: &'static str,
    parts: &'static [Part],
    bound: Option<f64>,
}

fn once(_: f64) -> f64 {
    1.0
}

fn third(_: f64) -> f64 {
    1.0 / 3.0
}

fn changes(_: f64) -> f64 {
    CHANGES_PER_S
}

fn changes_of_one(_: f64) -> f64 {
    CHANGES_PER_S / 3.0
}

/// Restarts a second grow with the ingresses.
fn restarts(ingresses: f64) -> f64 {
    RESTARTS_PER_S * ingresses / 13_000.0
}

fn restarts_of_one(ingresses: f64) -> f64 {
    restarts(ingresses) / 3.0
}

/// Adds a second of one registry of three, in thousands: an add is measured in microseconds.
fn adds_of_one(ingresses: f64) -> f64 {
    ingresses * ADDS_PER_S / 3.0 / 1000.0
}

const REGISTRY: &[Line] = &[
    Line {
        what: "processor, quiet",
        unit: "ms/s",
        parts: &[("registry.quiet.cpu_ms_per_s", third)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, 0.21 changes/s",
        unit: "ms/s",
        parts: &[("registry.change.cpu_ms", changes_of_one)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, restarts at the target's rate",
        unit: "ms/s",
        parts: &[("registry.restart.cpu_ms", restarts_of_one)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, 100 adds/s of each ingress",
        unit: "ms/s",
        parts: &[("registry.add.cpu_us", adds_of_one)],
        bound: Some(600.0),
    },
    Line {
        what: "processor, all of these",
        unit: "ms/s",
        parts: &[
            ("registry.quiet.cpu_ms_per_s", third),
            ("registry.change.cpu_ms", changes_of_one),
            ("registry.restart.cpu_ms", restarts_of_one),
            ("registry.add.cpu_us", adds_of_one),
        ],
        bound: Some(600.0),
    },
    Line {
        what: "processor, all join at once (whole wave)",
        unit: "ms",
        parts: &[("registry.join.cpu_ms", third)],
        bound: None,
    },
    Line { what: "connections", unit: "", parts: &[("registry.sockets", once)], bound: Some(3896.0) },
    Line { what: "memory", unit: "MB", parts: &[("registry.resident_mb", once)], bound: Some(256.0) },
    Line {
        what: "to other registries, a restart",
        unit: "bytes",
        parts: &[("registry.restart.between_bytes", third)],
        bound: None,
    },
];

const STORE: &[Line] = &[
    Line {
        what: "processor, quiet",
        unit: "ms/s",
        parts: &[("store.quiet.cpu_ms_per_s", third)],
        bound: Some(600.0),
    },
    Line { what: "processor, a change", unit: "ms", parts: &[("store.change.cpu_ms", third)], bound: None },
    Line { what: "memory", unit: "MB", parts: &[("store.resident_mb", once)], bound: Some(256.0) },
    Line {
        what: "disk, a change (both holders)",
        unit: "bytes",
        parts: &[("store.change.disk_bytes", once)],
        bound: None,
    },
    Line { what: "connections", unit: "", parts: &[("store.sockets", once)], bound: Some(3896.0) },
];

const PROXY: &[Line] = &[
    Line {
        what: "processor for control, quiet",
        unit: "ms/s",
        parts: &[("proxy.quiet.cpu_ms_per_s", once)],
        bound: Some(21.0),
    },
    Line {
        what: "processor for control, restarts of others",
        unit: "ms/s",
        parts: &[("proxy.restart.cpu_ms", restarts)],
        bound: Some(21.0),
    },
    Line { what: "memory", unit: "MB", parts: &[("proxy.resident_mb", once)], bound: Some(64.0) },
    Line {
        what: "control bytes in, quiet",
        unit: "bytes/s",
        parts: &[("ingress.quiet_s.in_bytes", once)],
        bound: Some(8000.0),
    },
    Line {
        what: "control bytes in, 0.21 changes/s",
        unit: "bytes/s",
        parts: &[("ingress.change.in_bytes", changes)],
        bound: Some(8000.0),
    },
    Line {
        what: "control bytes in, restarts of others",
        unit: "bytes/s",
        parts: &[("ingress.restart.in_bytes", restarts)],
        bound: Some(8000.0),
    },
    Line {
        what: "control bytes in, all join at once",
        unit: "bytes",
        parts: &[("ingress.join.in_bytes", once)],
        bound: None,
    },
];

/// The table of a role: `registry`, `store` or `proxy`.
pub fn role_table(role: &str, record: &Record) -> io::Result<String> {
    let lines = match role {
        "registry" => REGISTRY,
        "store" => STORE,
        "proxy" => PROXY,
        _ => return Err(io::Error::other(format!("no role is called {role}"))),
    };
    let mut out = format!("| {role} |");
    for size in SIZES {
        let _ = write!(out, " {} |", number(size as f64));
    }
    out.push_str(" bound | reached at |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    for line in lines {
        let unit = if line.unit.is_empty() { String::new() } else { format!(" ({})", line.unit) };
        let _ = write!(out, "\n| {}{unit} |", line.what);
        for size in SIZES {
            let _ = write!(out, " {} |", cell(line, record, size));
        }
        let bound = line.bound.map_or("-".to_owned(), number);
        let _ = write!(out, " {bound} | {} |", reached(line, record));
    }
    Ok(out)
}

/// A value that a run has measured, or `~` and one that is reckoned.
fn cell(line: &Line, record: &Record, size: usize) -> String {
    let measured =
        |(figure, times): &Part| record.median(figure, size).map(|value| value * times(size as f64));
    if let Some(value) = line.parts.iter().map(measured).sum::<Option<f64>>() {
        return number(value);
    }
    value(line, record, size as f64).map_or("-".to_owned(), |value| format!("~{}", number(value)))
}

fn fit(record: &Record, figure: &str) -> Option<Power> {
    let most = record.sizes().into_iter().filter(|size| record.median(figure, *size).is_some()).max()?;
    record.fit(figure, FITTED.0, most)
}

/// Sums of a constant and something for each ingress: a power would tell too little of them.
const STRAIGHT: [&str; 3] = ["sockets", "resident_mb", "_bytes"];

/// A figure at any size: on the straight line through the smallest and the largest measured size, or by the fit.
fn figure_at(record: &Record, figure: &str, size: f64) -> Option<f64> {
    if !STRAIGHT.iter().any(|end| figure.ends_with(end)) {
        return Some(fit(record, figure)?.at(size));
    }
    let first = *record.sizes().first()?;
    let line = slope(record, figure)?;
    Some(record.median(figure, first)? + line * (size - first as f64))
}

fn value(line: &Line, record: &Record, size: f64) -> Option<f64> {
    line.parts.iter().map(|(figure, times)| Some(figure_at(record, figure, size)? * times(size))).sum()
}

/// The size at which a line reaches its bound, among those up to the target.
fn reached(line: &Line, record: &Record) -> String {
    let Some(bound) = line.bound else { return "-".into() };
    let over = |size: &f64| value(line, record, *size).is_some_and(|value| value >= bound);
    let sizes = (0..).map(|step| 1.02f64.powi(step) * 9.0).take_while(|size| *size <= 13_000.0);
    match { sizes }.find(over) {
        Some(size) => format!("~{}", number((size / 10.0).round() * 10.0)),
        None => "not up to 13,000".into(),
    }
}
