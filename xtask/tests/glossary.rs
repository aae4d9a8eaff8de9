//! Each term of the glossary lives where the glossary says.

#![cfg(test)]

mod support;

use std::path::{Path, PathBuf};
use support::{root, rust_files};

/// The cells of the table's rows: words, term, definition, place.
fn rows() -> Vec<Vec<String>> {
    let page = std::fs::read_to_string(root().join("docs/GLOSSARY.md")).expect("the glossary can be read");
    let lines = page.lines().filter(|line| line.starts_with("| ") && !line.starts_with("| ---"));
    let cells =
        |line: &str| line.trim_matches('|').split(" | ").map(|cell| cell.trim().to_string()).collect();
    let is_heading = |row: &Vec<String>| row.first().is_some_and(|cell| cell == "words");
    lines.map(cells).filter(|row| !is_heading(row)).collect()
}

fn code_spans(cell: &str) -> Vec<&str> {
    cell.split('`').skip(1).step_by(2).collect()
}

/// The files of a crate's sources that hold the module `path`, as far as it leads to files, and what is left of it.
fn module_files<'a>(sources: &Path, path: &[&'a str]) -> (Vec<PathBuf>, Vec<&'a str>) {
    let mut folder = sources.to_path_buf();
    let mut files = vec![sources.join("lib.rs"), sources.join("main.rs")];
    let mut rest = path.to_vec();
    while let Some(segment) = rest.first() {
        let candidates = [folder.join(format!("{segment}.rs")), folder.join(segment).join("mod.rs")];
        if !candidates.iter().any(|file| root().join(file).exists()) {
            break;
        }
        folder.push(segment);
        files = candidates.to_vec();
        rest.remove(0);
    }
    (files, rest)
}

fn contains_word(text: &str, word: &str) -> bool {
    let is_word_sign = |sign: char| sign.is_alphanumeric() || sign == '_';
    text.match_indices(word).any(|(at, _)| {
        let before = text[..at].chars().next_back();
        let after = text[at + word.len()..].chars().next();
        !before.is_some_and(is_word_sign) && !after.is_some_and(is_word_sign)
    })
}

fn defines(text: &str, item: &str) -> bool {
    let kinds = ["struct", "enum", "trait", "fn", "const", "static", "type", "mod"];
    kinds.iter().any(|kind| contains_word(text, &format!("{kind} {item}")))
}

/// Whether `path` (`violetyoke_store::register::Role`, also of a variant, field or method) leads to something. What a
/// module re-exports may be defined anywhere in its crate.
fn exists(path: &str) -> bool {
    let segments: Vec<&str> = path.split("::").collect();
    let Some(name) = segments[0].strip_prefix("violetyoke_") else { return false };
    let sources = Path::new("crates").join(name.replace('_', "-")).join("src");
    let (files, items) = module_files(&sources, &segments[1..]);
    let read = |file: &PathBuf| std::fs::read_to_string(root().join(file)).unwrap_or_default();
    let module: String = files.iter().map(read).collect();
    match items.as_slice() {
        [] => !module.is_empty(),
        [item, members @ ..] => {
            let in_crate = rust_files().into_iter().filter(|file| file.starts_with(&sources));
            let definition = std::iter::once(module.clone()).chain(in_crate.map(|file| read(&file)));
            let mut definitions = definition.filter(|text| defines(text, item));
            let is_visible = contains_word(&module, item) || module.contains("::*;");
            is_visible && definitions.any(|text| members.iter().all(|member| contains_word(&text, member)))
        }
    }
}

#[test]
fn every_term_has_words_a_definition_and_a_place() {
    let rows = rows();
    assert!(rows.len() > 50, "{} rows", rows.len());
    for row in rows {
        assert!(row.len() == 4 && row.iter().all(|cell| !cell.is_empty()), "{row:?}");
        assert!(!code_spans(&row[3]).is_empty(), "{row:?} names no place");
    }
}

#[test]
fn terms_live_where_the_glossary_says() {
    let is_missing = |place: &str| {
        if place.contains('/') {
            !root().join(place).exists()
        } else {
            !exists(place)
        }
    };
    let rows = rows();
    let places = rows.iter().flat_map(|row| code_spans(&row[3]));
    let missing: Vec<&str> = places.filter(|place| is_missing(place)).collect();
    assert!(missing.is_empty(), "{} places do not exist:\n{}", missing.len(), missing.join("\n"));
}
