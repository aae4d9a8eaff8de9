//! The time-outs on the architecture page are those of the code.

#![cfg(test)]

mod support;

use support::root;

/// One row of the table: a value in milliseconds, the file, and the name of the constant.
struct Timeout {
    ms: u64,
    file: String,
    constant: String,
}

/// Rows such as `| what | 700 ms | ... | crates/.../file.rs: NAME |`, with the place in backticks.
fn timeouts() -> Vec<Timeout> {
    let page = std::fs::read_to_string(root().join("docs/ARCHITECTURE.md")).expect("the page can be read");
    page.lines().filter(|line| line.starts_with('|')).filter_map(timeout).collect()
}

fn timeout(row: &str) -> Option<Timeout> {
    let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
    let place = cells.last()?.trim_matches('`');
    let (file, constant) = place.split_once(": ")?;
    let (number, unit) =
        cells.iter().find_map(|cell| cell.split_once(' ').filter(|(_, unit)| is_unit(unit)))?;
    let number: f64 = number.replace(',', "").parse().ok()?;
    let ms = if unit == "ms" { number } else { number * 1_000.0 };
    Some(Timeout { ms: ms.round() as u64, file: file.to_string(), constant: constant.to_string() })
}

fn is_unit(unit: &str) -> bool {
    matches!(unit, "ms" | "s")
}

/// The milliseconds that a constant stands for: `Duration::from_secs(1)`, `Duration::from_millis(700)` or a number.
fn value_in_code(text: &str, constant: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.contains(&format!("const {constant}:")))?;
    let value = line.split_once('=')?.1;
    let digits: String = value.chars().filter(char::is_ascii_digit).collect();
    let number: u64 = digits.parse().ok()?;
    Some(if value.contains("from_secs") { number * 1_000 } else { number })
}

#[test]
fn timeouts_on_the_page_are_those_of_the_code() {
    let timeouts = timeouts();
    assert!(timeouts.len() >= 20, "{} time-outs", timeouts.len());
    for Timeout { ms, file, constant } in timeouts {
        let text = std::fs::read_to_string(root().join(&file)).unwrap_or_default();
        assert_eq!(value_in_code(&text, &constant), Some(ms), "{constant} in {file}");
    }
}
