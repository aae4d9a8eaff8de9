//! Nodes taken out by ejections.

use std::collections::BTreeMap;
use violetyoke_operations::ManualEjections;

#[test]
fn one_restore_undoes_two_ejections() {
    let mut ejections = ManualEjections::default();
    assert!(ejections.eject("s-1", 10));
    assert!(!ejections.eject("s-1", 20));
    assert!(ejections.is_ejected("s-1") && !ejections.is_ejected("s-2"));
    assert!(ejections.restore("s-1", 30));
    assert!(!ejections.restore("s-1", 40));
    assert!(!ejections.is_ejected("s-1"));
}

#[test]
fn a_restored_node_is_cold_unless_the_list_names_its_start() {
    let mut ejections = ManualEjections::default();
    assert_eq!(ejections.assumed_start("s-1", 5), 5);
    ejections.eject("s-1", 1000);
    ejections.restore("s-1", 9000);
    // The list knows of no start since: it may have been started a moment ago.
    assert_eq!(ejections.assumed_start("s-1", 5), 9000);
    assert_eq!(ejections.assumed_start("s-1", 4000), 4000);
    // Told once, the list's word holds.
    assert_eq!(ejections.assumed_start("s-1", 5), 5);
}

#[test]
fn ejections_of_another_process_are_adopted() {
    let mut ejections = ManualEjections::new([("s-1".to_string(), 10), ("s-2".to_string(), 20)]);
    let written: BTreeMap<String, u64> = [("s-2".to_string(), 20), ("s-3".to_string(), 30)].into();
    let mut moved = ejections.update_from(&written, 50);
    moved.sort();
    assert_eq!(moved, ["s-1", "s-3"]);
    assert!(!ejections.is_ejected("s-1") && ejections.is_ejected("s-2") && ejections.is_ejected("s-3"));
    assert_eq!(ejections.assumed_start("s-1", 0), 50);
    assert!(ejections.update_from(&written, 60).is_empty());
}
