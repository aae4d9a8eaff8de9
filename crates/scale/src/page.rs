//! The tables that `docs/CAPACITY.md` quotes, made of the records of the runs. A table stands between two lines,
//! `<!-- table NAME -->` and `<!-- end of table -->`; text around it is written by hand.

use crate::reckon;
use crate::record::Record;
use crate::state::state_table;
use std::fmt::Write;
use std::io;
use std::path::Path;

const BEGIN: &str = "<!-- table ";
const END: &str = "<!-- end of table -->";

/// The least and the greatest size that fits are made of; a greater one checks them.
pub const FITTED: (usize, usize) = (30, 300);

/// Writes the tables of a page anew.
pub fn write(page: &Path, folder: &Path) -> io::Result<()> {
    let text = std::fs::read_to_string(page)?;
    std::fs::write(page, renewed(&text, folder)?)
}

/// A page's text with each table as the records in the folder give it.
pub fn renewed(text: &str, folder: &Path) -> io::Result<String> {
    let mut out = String::new();
    let mut inside = false;
    for line in text.lines() {
        if let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) {
            inside = true;
            out.push_str(&format!("{line}\n{}\n", table(name, folder)?));
        } else if line == END {
            inside = false;
        }
        if !inside {
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
        Some(("role", role)) => reckon::role_table(role, &read("ingresses")?),
        None if name == "state" => Ok(state_table(&[read("routes")?, read("tenants")?, read("backends")?])),
        _ => Err(io::Error::other(format!("no table is called {name}"))),
    }
}

/// A number with three digits that count.
pub fn number(value: f64) -> String {
    match value.abs() {
        0.0 => "0".into(),
        size if size >= 99.95 => grouped(value),
        size if size >= 9.995 => format!("{value:.1}"),
        size if size >= 0.0095 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}

fn grouped(value: f64) -> String {
    let digits = format!("{:.0}", value.abs());
    let mut out = if value < 0.0 { String::from("-") } else { String::new() };
    for (index, digit) in digits.chars().enumerate() {
        if index > 0 && (digits.len() - index).is_multiple_of(3) {
            out.push(',');
        }
        out.push(digit);
    }
    out
}

/// All figures of a record: the middle of the repeats at each size, the fit, and the largest spread of repeats.
pub fn record_table(record: &Record) -> String {
    let sizes = record.sizes();
    let mut out = format!("| {} |", record.axis);
    for size in &sizes {
        let _ = write!(out, " {} |", grouped(*size as f64));
    }
    out.push_str(" power | r2 | spread |\n| --- |");
    out.push_str(&" --- |".repeat(sizes.len() + 3));
    let most = sizes.last().copied().unwrap_or(0);
    for name in record.names() {
        let _ = write!(out, "\n| {name} |");
        for size in &sizes {
            let cell = record.median(name, *size).map_or("-".to_owned(), number);
            let _ = write!(out, " {cell} |");
        }
        match record.fit(name, 0, most) {
            Some(fit) => drop(write!(out, " {:.2} | {:.3} |", fit.power, fit.r2)),
            None => out.push_str(" - | - |"),
        }
        let spread = sizes.iter().filter_map(|size| record.spread(name, *size)).fold(0.0, f64::max);
        let _ = write!(out, " {:.0}% |", spread * 100.0);
    }
    for step in record.steps.iter().filter(|step| !step.failed.is_empty()) {
        let _ =
            write!(out, "\n\nFailed at {}, repeat {}: {}.", step.size, step.repeat, step.failed.join("; "));
    }
    out
}

/// What fits over the smaller sizes foretell for the next size, and what was measured there.
pub fn check_table(record: &Record) -> String {
    let (least, most) = FITTED;
    let Some(size) = record.sizes().into_iter().find(|size| *size > most) else {
        return "No larger size was run.".into();
    };
    let mut out = format!(
        "| figure | foretold at {} | measured | off by |\n| --- | --- | --- | --- |",
        grouped(size as f64)
    );
    let (mut within, mut all) = (0, 0);
    for name in record.names() {
        let foretold = record.fit(name, least, most).map(|fit| fit.at(size as f64));
        let (Some(foretold), Some(measured)) = (foretold, record.median(name, size)) else { continue };
        let off = (measured - foretold) / foretold;
        all += 1;
        within += usize::from(off.abs() <= 0.2);
        let _ =
            write!(out, "\n| {name} | {} | {} | {:+.0}% |", number(foretold), number(measured), off * 100.0);
    }
    let _ = write!(out, "\n\nWithin a fifth: {within} of {all}.");
    out
}
