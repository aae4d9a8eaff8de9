//! The survey as a page of Markdown.

use super::lints::LintCounts;
use super::CrateShape;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// The survey as a table, a row for each crate, with the circles and the long files listed below it.
#[must_use]
pub fn to_markdown(shapes: &[CrateShape], lints: &BTreeMap<PathBuf, LintCounts>) -> String {
    let mut rows = vec![header()];
    rows.extend(shapes.iter().map(|shape| row(shape, counts_of(lints, &shape.folder))));
    rows.push(total(shapes, lints));
    let mut page = rows.join("\n");
    page.push('\n');
    page.push_str(&details(shapes));
    page
}

fn counts_of(lints: &BTreeMap<PathBuf, LintCounts>, folder: &Path) -> LintCounts {
    lints.get(folder).copied().unwrap_or_default()
}

fn header() -> String {
    let names = "crate | files | over 250 lines | of tests | circles | functions over 60 | undocumented | \
                 inline tests | tests | all lints";
    let columns = names.split(" | ").count();
    format!("| {names} |\n|{}", " --- |".repeat(columns))
}

fn row(shape: &CrateShape, lints: LintCounts) -> String {
    format!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        name(&shape.folder),
        shape.source_files,
        shape.long_files.len(),
        shape.long_test_files.len(),
        shape.cycles.len(),
        lints.long_functions,
        lints.undocumented,
        shape.inline_tests.len(),
        shape.tests,
        if shape.has_all_lints { "yes" } else { "no" },
    )
}

fn total(shapes: &[CrateShape], lints: &BTreeMap<PathBuf, LintCounts>) -> String {
    let sum = |count: fn(&CrateShape) -> usize| shapes.iter().map(count).sum::<usize>();
    format!(
        "| **all** | {} | {} | {} | {} | {} | {} | {} | {} | {} of {} |",
        sum(|shape| shape.source_files),
        sum(|shape| shape.long_files.len()),
        sum(|shape| shape.long_test_files.len()),
        sum(|shape| shape.cycles.len()),
        lints.values().map(|counts| counts.long_functions).sum::<usize>(),
        lints.values().map(|counts| counts.undocumented).sum::<usize>(),
        sum(|shape| shape.inline_tests.len()),
        sum(|shape| shape.tests),
        sum(|shape| usize::from(shape.has_all_lints)),
        shapes.len(),
    )
}

fn details(shapes: &[CrateShape]) -> String {
    let mut lines = String::new();
    for shape in shapes {
        let name = name(&shape.folder);
        for cycle in &shape.cycles {
            push_line(&mut lines, &format!("- `{name}`: circle of {}", cycle.join(", ")));
        }
        for (file, length) in &shape.long_files {
            push_line(&mut lines, &format!("- `{name}`: {} has {length} lines", file.display()));
        }
    }
    if lines.is_empty() {
        lines
    } else {
        format!("\n{lines}")
    }
}

fn push_line(lines: &mut String, line: &str) {
    lines.push_str(line);
    lines.push('\n');
}

fn name(folder: &Path) -> String {
    folder.file_name().unwrap_or_default().to_string_lossy().into_owned()
}
