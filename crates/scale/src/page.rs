//! The tables that `docs/CAPACITY.md` quotes, made of the records of the runs. A table stands between two lines,
//! `<!-- table NAME -->` and `<!-- end of table -->`; text around it is written by hand.

use crate::fit::FITTED_SIZES;
use crate::number_format::{format_number, grouped};
use crate::record::Record;
use crate::role_costs::role_table;
use crate::row_costs::row_cost_table;
use std::io;
use std::path::Path;

const BEGIN: &str = "<!-- table ";
const END: &str = "<!-- end of table -->";

/// Writes the tables of a page from the records in a folder.
///
/// # Errors
/// When the page or a record can't be read, or the page can't be written.
pub fn update(page: &Path, folder: &Path) -> io::Result<()> {
    let text = std::fs::read_to_string(page)?;
    std::fs::write(page, with_tables(&text, folder)?)
}

/// A page's text with each table as the records in a folder give it.
///
/// # Errors
/// When a record can't be read, or no table has a name that the page asks for.
pub fn with_tables(text: &str, folder: &Path) -> io::Result<String> {
    let mut out = String::new();
    let mut is_in_table = false;
    for line in text.lines() {
        if let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) {
            is_in_table = true;
            out.push_str(&format!("{line}\n{}\n", table(name, folder)?));
        } else if line == END {
            is_in_table = false;
        }
        if !is_in_table {
            out.push_str(&format!("{line}\n"));
        }
    }
    Ok(out)
}

/// A table by its name: `run RECORD`, `check RECORD`, `role ROLE`, or `state`.
fn table(name: &str, folder: &Path) -> io::Result<String> {
    let read = |record: &str| Record::read(&folder.join(format!("{record}.json")));
    match name.split_once(' ') {
        Some(("run", record)) => read(record).map(|record| record_table(&record)),
        Some(("check", record)) => read(record).map(|record| check_table(&record)),
        Some(("role", role)) => role_table(role, &read("ingresses")?),
        None if name == "state" => {
            Ok(row_cost_table(&[read("routes")?, read("tenants")?, read("backends")?]))
        }
        _ => Err(io::Error::new(io::ErrorKind::InvalidInput, format!("no table is called {name}"))),
    }
}

/// All figures of a record: the median of the repeats at each size, the fit, and the largest spread of repeats.
#[must_use]
pub fn record_table(record: &Record) -> String {
    let sizes = record.sizes();
    let mut out = format!("| {} |", record.axis);
    for size in &sizes {
        out += &format!(" {} |", grouped(*size as f64));
    }
    out.push_str(" power | r2 | spread |\n| --- |");
    out.push_str(&" --- |".repeat(sizes.len() + 3));
    let most = sizes.last().copied().unwrap_or(0);
    for name in record.figure_names() {
        out += &format!("\n| {name} |");
        for size in &sizes {
            let cell = record.median(name, *size).map_or("-".to_owned(), format_number);
            out += &format!(" {cell} |");
        }
        match record.fit(name, 0, most) {
            Some(fit) => out += &format!(" {:.2} | {:.3} |", fit.power, fit.r2),
            None => out.push_str(" - | - |"),
        }
        let spread = sizes.iter().filter_map(|size| record.spread(name, *size)).fold(0.0, f64::max);
        out += &format!(" {:.0}% |", spread * 100.0);
    }
    for step in record.steps.iter().filter(|step| !step.failed.is_empty()) {
        out += &format!("\n\nFailed at {}, repeat {}: {}.", step.size, step.repeat, step.failed.join("; "));
    }
    out
}

/// What fits over the smaller sizes predict for the next size, and what was measured there.
#[must_use]
pub fn check_table(record: &Record) -> String {
    let [least, most] = FITTED_SIZES;
    let Some(size) = record.sizes().into_iter().find(|size| *size > most) else {
        return "No larger size was run.".into();
    };
    let mut out = format!(
        "| figure | foretold at {} | measured | off by |\n| --- | --- | --- | --- |",
        grouped(size as f64)
    );
    let (mut within, mut all) = (0, 0);
    for name in record.figure_names() {
        let predicted = record.fit(name, least, most).map(|fit| fit.at(size as f64));
        let (Some(predicted), Some(measured)) = (predicted, record.median(name, size)) else { continue };
        let off = (measured - predicted) / predicted;
        all += 1;
        within += usize::from(off.abs() <= 0.2);
        out += &format!(
            "\n| {name} | {} | {} | {:+.0}% |",
            format_number(predicted),
            format_number(measured),
            off * 100.0
        );
    }
    out += &format!("\n\nWithin a fifth: {within} of {all}.");
    out
}
