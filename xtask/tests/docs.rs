//! What the pages point to exists: the targets of their links, and the files and functions that they name.

#![cfg(test)]

mod support;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use support::{pages, root, rust_files, Page};

/// Checks that everything that pages name in one way exists; `least` is how many names there are at the least, so that
/// a change of form does not leave the test with nothing to check.
fn check(least: usize, names: impl Fn(&Page) -> Vec<&str>, exists: impl Fn(&Page, &str) -> bool) {
    let pages = pages();
    let named: Vec<(&Page, &str)> =
        pages.iter().flat_map(|page| names(page).into_iter().map(move |name| (page, name))).collect();
    assert!(named.len() >= least, "only {} names were found", named.len());
    let missing = named.iter().filter(|(page, name)| !exists(page, name));
    let lines: Vec<String> = missing.map(|(page, name)| format!("{}: {name}", page.path.display())).collect();
    assert!(lines.is_empty(), "{} names do not exist:\n{}", lines.len(), lines.join("\n"));
}

fn code_spans(page: &Page, is_meant: impl Fn(&str) -> bool) -> Vec<&str> {
    page.code_spans().into_iter().filter(|span| is_meant(span)).collect()
}

#[test]
fn links_lead_to_files_that_exist() {
    check(40, Page::links, |page, target| {
        let file = target.split('#').next().unwrap_or_default();
        let is_outside = target.starts_with("http") || file.is_empty();
        let folder = page.path.parent().unwrap_or(Path::new(""));
        is_outside || root().join(folder).join(file).exists()
    });
}

/// Whether a code span is the full path of a file or folder of the repository, without anything left open.
fn is_repository_path(span: &str) -> bool {
    let folders = ["crates/", "docs/", "deploy/", "xtask/", ".ci/", "journal/"];
    folders.iter().any(|folder| span.starts_with(folder))
        && !span.contains(['*', '<', '…', ' ', '{', '$'])
        && span.chars().any(|sign| sign == '/')
}

#[test]
fn full_paths_in_pages_exist() {
    check(60, |page| code_spans(page, is_repository_path), |_, path| root().join(path).exists());
}

/// Every ending of a file's path under which a page may name it: from `crates/store/src/register/mod.rs`, also
/// `store/register/mod.rs` and `register/mod.rs`.
fn short_names(file: &Path) -> Vec<PathBuf> {
    let parts: Vec<_> = file.iter().filter(|part| *part != "src").collect();
    (0..parts.len()).map(|from| parts[from..].iter().collect()).collect()
}

#[test]
fn source_files_named_in_pages_exist() {
    let known: BTreeSet<PathBuf> =
        rust_files().iter().flat_map(|file| short_names(file).into_iter().chain([file.clone()])).collect();
    let is_file = |span: &str| span.ends_with(".rs") && !span.contains([' ', '*', '{']);
    check(120, |page| code_spans(page, is_file), |_, file| known.contains(Path::new(file)));
}

/// Whether a code span is the name of a test, whole or with `…` for what is left out.
fn is_test_name(span: &str) -> bool {
    let is_name =
        span.chars().all(|sign| sign.is_ascii_lowercase() || sign.is_ascii_digit() || "_…".contains(sign));
    let is_figure = span.starts_with("violetyoke_");
    is_name && !is_figure && (span.matches('_').count() >= 4 || (span.contains('…') && span.contains('_')))
}

/// Whether `name` has the parts of `pattern` round each `…`, in their order.
fn matches(pattern: &str, name: &str) -> bool {
    let mut parts = pattern.split('…');
    let Some(mut rest) = parts.next().and_then(|start| name.strip_prefix(start)) else { return false };
    let mut last = None;
    for part in parts {
        let Some(at) = rest.find(part) else { return false };
        rest = &rest[at + part.len()..];
        last = Some(part);
    }
    match last {
        None => rest.is_empty(),
        Some(part) => part.is_empty() || name.ends_with(part),
    }
}

/// Whether a code span is the name of a function, a field, a constant or a type: `choose_leader`, `IDLE_TIMEOUT`,
/// `ReplicaConfig`.
fn is_identifier(span: &str) -> bool {
    let is_word = span.chars().all(|sign| sign.is_ascii_alphanumeric() || sign == '_');
    let capitals = span.chars().filter(char::is_ascii_uppercase).count();
    let is_type = span.starts_with(|sign: char| sign.is_ascii_uppercase())
        && (2..span.len()).contains(&capitals)
        && span.chars().any(|sign| sign.is_ascii_lowercase());
    let is_figure = span.starts_with("violetyoke_");
    is_word && !is_figure && (is_type || span.trim_matches('_').contains('_'))
}

/// Names of status codes that the gRPC page quotes from its protocol.
const OF_OTHER_PROTOCOLS: [&str; 2] = ["INVALID_ARGUMENT", "OUT_OF_RANGE"];

#[test]
fn identifiers_named_in_pages_exist() {
    let mut words = BTreeSet::new();
    for file in rust_files() {
        let text = std::fs::read_to_string(root().join(file)).expect("a source can be read");
        let in_file = text.split(|sign: char| !sign.is_alphanumeric() && sign != '_');
        words.extend(in_file.map(str::to_string));
    }
    let is_known = |name: &str| words.contains(name) || OF_OTHER_PROTOCOLS.contains(&name);
    check(120, |page| code_spans(page, is_identifier), |_, name| is_known(name));
}

#[test]
fn tests_named_in_pages_exist() {
    let mut functions = BTreeSet::new();
    for file in rust_files() {
        let text = std::fs::read_to_string(root().join(file)).expect("a source can be read");
        for rest in text.split("fn ").skip(1) {
            let name: String =
                rest.chars().take_while(|sign| sign.is_alphanumeric() || *sign == '_').collect();
            functions.insert(name);
        }
    }
    let exists = |pattern: &str| functions.iter().any(|name| matches(pattern, name));
    check(50, |page| code_spans(page, is_test_name), |_, pattern| exists(pattern));
}
