//! A page with tables of sweeps. A table stands between two lines, `<!-- table KIND ID -->` and `<!-- end of table -->`; the text
//! around it is written by hand.

use super::format::figure;
use super::{CapacityError, Sweep};
use std::path::Path;

const BEGIN: &str = "<!-- table ";
const END: &str = "<!-- end of table -->";
/// Proxies of the operators' size in two years.
const TARGET: u64 = 13_000;
/// The amounts of a day that the page shows.
const AMOUNTS: [&str; 4] =
    ["GB between zones", "GB between regions", "cloud calls", "new connections to servers"];

/// Writes the tables of a page anew.
///
/// # Errors
/// When the page can't be read or written, or the journal lacks what it asks for.
pub fn update(page: &Path, journal: &Path) -> Result<(), CapacityError> {
    let file_error = |error| CapacityError::File(page.to_path_buf(), error);
    let text = std::fs::read_to_string(page).map_err(file_error)?;
    std::fs::write(page, with_tables(&text, journal)?).map_err(file_error)
}

/// A page's text with each table as the journal gives it.
///
/// # Errors
/// When the journal lacks an entry that the page asks for, or the page asks for an unknown table.
pub fn with_tables(text: &str, journal: &Path) -> Result<String, CapacityError> {
    let mut out = String::new();
    let mut is_in_table = false;
    for line in text.lines() {
        if let Some(name) = line.strip_prefix(BEGIN).and_then(|rest| rest.strip_suffix(" -->")) {
            is_in_table = true;
            out.push_str(&format!("{line}\n{}", table(name, journal)?));
        } else if line == END {
            is_in_table = false;
        }
        if !is_in_table {
            out.push_str(&format!("{line}\n"));
        }
    }
    Ok(out)
}

/// `roles ID` or `days ID`.
fn table(name: &str, journal: &Path) -> Result<String, CapacityError> {
    match name.split_once(' ') {
        Some(("roles", id)) => Ok(role_table(&Sweep::read(journal, id)?)),
        Some(("days", id)) => Ok(day_table(&Sweep::read(journal, id)?)),
        _ => Err(CapacityError::UnknownTable(name.to_owned())),
    }
}

fn header(cells: impl IntoIterator<Item = String>) -> String {
    let cells: Vec<String> = cells.into_iter().collect();
    format!("| {} |\n|{}\n", cells.join(" | "), " --- |".repeat(cells.len()))
}

/// Each figure at each size, its slope, and what that makes of the target.
fn role_table(sweep: &Sweep) -> String {
    let sizes = sweep.sizes.iter().map(u64::to_string);
    let target = format!("at {} (reckoned)", figure(TARGET as f64));
    let mut out = header(
        ["middle / busiest, by machines".to_owned()].into_iter().chain(sizes).chain(["power".into(), target]),
    );
    let largest = sweep.sizes.last().copied().unwrap_or(1);
    for row in &sweep.rows {
        out += &format!("| {} |", row.name);
        for cell in &row.cells {
            out += &format!(" {} / {} |", figure(cell.middle), figure(cell.most));
        }
        let reckoned = row.reckoned(largest, TARGET).map_or("-".to_owned(), figure);
        out += &format!(" {:.2} | {reckoned} |\n", row.power);
    }
    out
}

/// What the days of a sweep came to.
fn day_table(sweep: &Sweep) -> String {
    let columns = ["machines", "served", "score", "rules broken"].into_iter().chain(AMOUNTS);
    let mut out = header(columns.map(str::to_owned));
    for day in &sweep.days {
        out += &format!("| {} | {:.3} | {:.2} | {} |", day.machines, day.served, day.score, day.broken);
        for amount in AMOUNTS {
            let value = day.priced.iter().find(|(name, _)| name == amount);
            out += &format!(" {} |", value.map_or("-".to_owned(), |(_, value)| amount_text(*value)));
        }
        out.push('\n');
    }
    out
}

/// Amounts of bytes are in GB: three digits after the point.
fn amount_text(value: f64) -> String {
    if value < 1.0 {
        format!("{value:.3}")
    } else {
        figure(value)
    }
}
