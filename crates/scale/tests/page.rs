//! `docs/CAPACITY.md` quotes the records of the last runs, and nothing else.

#![cfg(test)]

use std::path::{Path, PathBuf};
use violetyoke_scale::page::with_tables;
use violetyoke_scale::record::Record;
use violetyoke_scale::{row_cost_table, slope};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

#[test]
fn each_table_of_the_page_is_what_its_record_gives() {
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    assert!(page.contains("<!-- table run ingresses -->"), "the page quotes the scale run");
    let updated = with_tables(&page, &docs().join("capacity")).unwrap();
    for (line, (stands, gives)) in page.lines().zip(updated.lines()).enumerate() {
        assert_eq!(stands, gives, "line {}: `violetyoke-scale page` writes the tables anew", line + 1);
    }
    assert_eq!(page.lines().count(), updated.lines().count());
}

#[test]
fn each_record_names_the_command_that_writes_it() {
    let page = std::fs::read_to_string(docs().join("CAPACITY.md")).unwrap();
    for entry in std::fs::read_dir(docs().join("capacity")).unwrap() {
        let record = Record::read(&entry.unwrap().path()).unwrap();
        assert!(!record.command.contains("--out"), "a path of one machine");
        assert!(record.command.starts_with(&format!("violetyoke-scale run {}", record.axis)));
        assert!(!record.steps.is_empty() && page.contains(&record.command), "{}", record.command);
    }
}

#[test]
fn a_table_that_was_changed_by_hand_is_corrected() {
    let page = "before\n<!-- table run ingresses -->\n| wrong |\n<!-- end of table -->\nafter\n";
    let updated = with_tables(page, &docs().join("capacity")).unwrap();
    assert!(updated.starts_with("before\n<!-- table run ingresses -->\n| ingresses |"));
    assert!(updated.ends_with("\n<!-- end of table -->\nafter\n") && !updated.contains("wrong"));
}

#[test]
fn bytes_of_each_row_are_slopes_over_the_sizes() {
    let record = |axis: &str| Record::read(&docs().join(format!("capacity/{axis}.json"))).unwrap();
    let bytes = slope(&record("routes"), "configuration.bytes").unwrap();
    assert!((80.0..95.0).contains(&bytes), "an order has {bytes} bytes for each route");
    let table = row_cost_table(&["routes", "tenants", "backends"].map(record));
    assert!(table.lines().skip(2).all(|line| line.matches('|').count() == 7), "{table}");
}
