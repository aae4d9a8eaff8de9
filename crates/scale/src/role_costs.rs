//! What the figures of the runs come to at the sizes of interest: today's sites, 300, 1,000 and the target's 13,000
//! proxies. A figure that a run has measured is shown as it was measured; all others are extrapolated by the fit.

mod lines;

use crate::fit::{PowerLaw, FITTED_SIZES};
use crate::number_format::format_number;
use crate::record::Record;
use crate::row_costs::slope;
use lines::{Line, Part, PROXY, REGISTRY, STORE};
use std::io;

/// Proxies of the smallest and the largest of today's deployments, of the steps between, and of the target.
const SIZES: [usize; 5] = [9, 74, 300, 1000, 13_000];

/// The table of a role: `registry`, `store` or `proxy`.
pub(crate) fn role_table(role: &str, record: &Record) -> io::Result<String> {
    let lines = match role {
        "registry" => REGISTRY,
        "store" => STORE,
        "proxy" => PROXY,
        _ => return Err(io::Error::new(io::ErrorKind::InvalidInput, format!("no role is called {role}"))),
    };
    let mut out = format!("| {role} |");
    for size in SIZES {
        out += &format!(" {} |", format_number(size as f64));
    }
    out.push_str(" bound | reached at |\n| --- | --- | --- | --- | --- | --- | --- | --- |");
    for line in lines {
        let unit = if line.unit.is_empty() { String::new() } else { format!(" ({})", line.unit) };
        out += &format!("\n| {}{unit} |", line.what);
        for size in SIZES {
            out += &format!(" {} |", cell(line, record, size));
        }
        let bound = line.bound.map_or("-".to_owned(), format_number);
        out += &format!(" {bound} | {} |", reached(line, record));
    }
    Ok(out)
}

/// A value that a run has measured, or `~` and one that is extrapolated.
fn cell(line: &Line, record: &Record, size: usize) -> String {
    let measured =
        |(figure, times): &Part| record.median(figure, size).map(|value| value * times(size as f64));
    if let Some(value) = line.parts.iter().map(measured).sum::<Option<f64>>() {
        return format_number(value);
    }
    value(line, record, size as f64).map_or("-".to_owned(), |value| format!("~{}", format_number(value)))
}

fn fit(record: &Record, figure: &str) -> Option<PowerLaw> {
    let most = record.sizes().into_iter().filter(|size| record.median(figure, *size).is_some()).max()?;
    record.fit(figure, FITTED_SIZES[0], most)
}

/// Sums of a constant and something for each proxy: a power law would put them too low.
const LINEAR: [&str; 3] = ["sockets", "resident_mb", "_bytes"];

/// A figure at any size: on the straight line through the smallest and the largest measured size, or by the fit.
fn figure_at(record: &Record, figure: &str, size: f64) -> Option<f64> {
    if !LINEAR.iter().any(|end| figure.ends_with(end)) {
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
        Some(size) => format!("~{}", format_number((size / 10.0).round() * 10.0)),
        None => "not up to 13,000".into(),
    }
}
