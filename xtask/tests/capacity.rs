//! `docs/CAPACITY.md` quotes the bench's sweeps in the journal, and nothing else.

#![cfg(test)]

mod support;

use serde_json::json;
use support::root;
use xtask::capacity::{with_tables, Cell, Sweep};

/// The text of the page.
fn page() -> String {
    std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page")
}

/// The ids of the entries that tables of the page are made of.
fn quoted_ids(page: &str) -> Vec<&str> {
    let tables = page.lines().filter_map(|line| line.strip_prefix("<!-- table "));
    tables.filter_map(|name| name.strip_suffix(" -->")?.split(' ').nth(1)).collect()
}

#[test]
fn each_table_of_the_page_is_what_its_sweep_gives() {
    let page = page();
    assert!(quoted_ids(&page).len() >= 4, "the page quotes the days and the roles of two sweeps at least");
    let updated = with_tables(&page, &root().join("journal")).expect("all entries are there");
    for (line, (stands, gives)) in page.lines().zip(updated.lines()).enumerate() {
        assert_eq!(stands, gives, "line {}: `cargo xtask capacity` writes the tables anew", line + 1);
    }
    assert_eq!(page.lines().count(), updated.lines().count());
}

#[test]
fn each_sweep_has_all_sizes_and_the_page_says_what_it_played() {
    let page = page();
    for id in quoted_ids(&page) {
        let sweep = Sweep::read(&root().join("journal"), id).expect("a sweep");
        assert_eq!(sweep.sizes, [30, 100, 300], "{id}");
        assert!(sweep.rows.len() >= 15 && sweep.days.len() == 3, "{id}: {} rows", sweep.rows.len());
        assert!(page.contains(&format!("`{id}`")), "{id} is named with its command");
    }
}

#[test]
fn a_table_that_was_changed_by_hand_is_corrected() {
    let page = page();
    let id = quoted_ids(&page)[0].to_owned();
    let wrong = format!("before\n<!-- table days {id} -->\n| wrong |\n<!-- end of table -->\nafter\n");
    let updated = with_tables(&wrong, &root().join("journal")).expect("a page");
    assert!(updated.starts_with(&format!("before\n<!-- table days {id} -->\n| machines |")), "{updated}");
    assert!(updated.ends_with("\n<!-- end of table -->\nafter\n") && !updated.contains("wrong"));
    let unknown = "<!-- table nothing 1 -->\n<!-- end of table -->\n";
    assert!(with_tables(unknown, &root().join("journal")).is_err());
    let missing = "<!-- table days ffffffff -->\n<!-- end of table -->\n";
    assert!(with_tables(missing, &root().join("journal")).is_err());
}

#[test]
fn lines_of_a_sweep_are_read_and_slopes_carried_on_within_bounds() {
    let digest = "day own/srv\nmiddle / busiest or longest, by own machines\n  30 100 300 power at null\n\
        proxy: processor % 1.5 / 1.8 1.4 / 1.8 1.6 / 2.0 -0.50 -\nregistry+store: kB a second 1 / 2 10 / 20 50 / 100 1.00 -\n\
        power: the busiest grows as machines";
    let sweep = Sweep::of_entry(&json!({"cmd": "sweep", "digest": digest, "days": []})).expect("a sweep");
    assert_eq!((sweep.sizes.as_slice(), sweep.rows.len()), ([30, 100, 300].as_slice(), 2));
    assert_eq!(sweep.rows[0].cells[2], Cell { middle: 1.6, most: 2.0 });
    assert_eq!(
        sweep.rows[0].reckoned(300, 13_000),
        Some(2.0),
        "what falls with the size is not carried below"
    );
    assert_eq!(sweep.rows[1].reckoned(300, 3_000), Some(1_000.0));
    assert_eq!(Sweep::of_entry(&json!({"cmd": "score", "digest": digest, "days": []})), None);
}
