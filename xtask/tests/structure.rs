//! The shape of the sources: what holds for every crate, and what holds for those that have no exemption any more.

#![cfg(test)]

use std::path::{Path, PathBuf};
use xtask::structure::{survey, CrateShape};

fn shapes() -> Vec<CrateShape> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    survey(&root).expect("the sources of this working copy can be read")
}

/// What `list` holds of all crates that are held to all lints.
fn of_finished_crates<T: Clone>(list: fn(&CrateShape) -> &[T]) -> Vec<(PathBuf, T)> {
    let shapes = shapes();
    let finished = shapes.iter().filter(|shape| shape.has_all_lints);
    finished.flat_map(|shape| list(shape).iter().map(|entry| (shape.folder.clone(), entry.clone()))).collect()
}

/// Surveys a crate that is written for one test, in a folder that ends with it.
fn survey_of(files: &[(&str, &str)]) -> CrateShape {
    let name = format!("violetyoke-structure-{}-{:?}", std::process::id(), std::thread::current().id());
    let root = std::env::temp_dir().join(name);
    let manifest = ("Cargo.toml", "[package]\n\n[lints]\nworkspace = true\n");
    for (path, text) in [manifest].iter().chain(files) {
        let file = root.join("crates/sample").join(path);
        let folder = file.parent().expect("each file has a folder");
        std::fs::create_dir_all(folder).expect("the folder for temporary files can be written");
        std::fs::write(file, text).expect("the folder for temporary files can be written");
    }
    let shape = survey(&root).expect("the files were just written").remove(0);
    std::fs::remove_dir_all(&root).expect("the folder was just written");
    shape
}

#[test]
fn every_crate_is_surveyed() {
    let shapes = shapes();
    assert!(shapes.iter().any(|shape| shape.folder == Path::new("xtask")));
    assert!(shapes.len() > 30, "{} crates", shapes.len());
    assert!(shapes.iter().all(|shape| shape.source_files > 0));
}

#[test]
fn finished_crates_have_no_circles_of_files() {
    assert_eq!(of_finished_crates(|shape| &shape.cycles), []);
}

#[test]
fn finished_crates_have_no_long_source_files() {
    assert_eq!(of_finished_crates(|shape| &shape.long_files), []);
}

#[test]
fn no_crate_has_tests_inside_its_source_files() {
    let inline: Vec<_> = shapes().into_iter().filter(|shape| !shape.inline_tests.is_empty()).collect();
    assert!(inline.is_empty(), "{inline:?}");
}

#[test]
fn the_roadmap_lists_every_crate_that_is_exempt() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/ROADMAP.md");
    let page = std::fs::read_to_string(page).expect("the roadmap can be read");
    let is_listed = |folder: &Path| {
        let name = folder.file_name().expect("each crate has a folder").to_string_lossy();
        page.contains(&format!("\n| `{name}` |"))
    };
    let exempt = shapes().into_iter().filter(|shape| !shape.has_all_lints);
    let missing: Vec<_> = exempt.map(|shape| shape.folder).filter(|folder| !is_listed(folder)).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn files_that_use_one_another_are_a_circle() {
    let shape = survey_of(&[
        ("src/lib.rs", "mod a; mod b; mod c; pub use c::Third;"),
        ("src/a.rs", "use crate::b::{self, Second};"),
        ("src/b.rs", "fn third() -> crate::Third { todo!() }"),
        ("src/c.rs", "use super::a;"),
    ]);
    assert_eq!(shape.cycles, [["a", "b", "c"]]);
}

#[test]
fn a_parent_and_its_children_are_no_circle() {
    let shape = survey_of(&[
        ("src/lib.rs", "mod a; use a::First; pub struct Root;"),
        ("src/a/mod.rs", "mod inner; use inner::Inner; use crate::Root;"),
        ("src/a/inner.rs", "use super::First;"),
    ]);
    assert_eq!(shape.cycles, Vec::<Vec<String>>::new());
}

#[test]
fn comments_and_strings_name_no_modules() {
    let shape = survey_of(&[
        ("src/lib.rs", "mod a; mod b;"),
        ("src/a.rs", "// use crate::b;\n/* use crate::b; */ const X: &str = r#\"crate::b::X \"quoted\"\"#;"),
        ("src/b.rs", "use crate::a::X; fn f<'a>(x: &'a str) -> char { '\"' }"),
    ]);
    assert_eq!(shape.cycles, Vec::<Vec<String>>::new());
}

#[test]
fn an_exemption_in_any_target_takes_a_crate_off_the_finished_ones() {
    let exemption = "#![allow(missing_docs, reason = \"not yet revised for readers: see docs/ROADMAP.md\")]";
    let exempt = survey_of(&[("src/lib.rs", ""), ("tests/a.rs", exemption)]);
    let finished = survey_of(&[("src/lib.rs", ""), ("tests/a.rs", "#[test]\nfn a() {}\n")]);
    assert!(!exempt.has_all_lints);
    assert!(finished.has_all_lints);
    assert_eq!(finished.tests, 1);
}
