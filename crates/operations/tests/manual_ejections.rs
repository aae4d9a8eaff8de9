//! Manual ejections and restorations of nodes.

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
fn a_restored_node_warms_up_unless_the_list_gives_a_start_after_its_ejection() {
    let mut ejections = ManualEjections::default();
    assert_eq!(ejections.assumed_start("s-1", 5), 5);
    ejections.eject("s-1", 1000);
    ejections.restore("s-1", 9000);
    // The list gives a start before the ejection: the node may have been restarted since.
    assert_eq!(ejections.assumed_start("s-1", 5), 9000);
    assert_eq!(ejections.assumed_start("s-1", 4000), 4000);
    // After one listed start that is later than the ejection, the listed start always counts.
    assert_eq!(ejections.assumed_start("s-1", 5), 5);
}

#[test]
fn ejections_stored_by_another_process_are_applied() {
    let mut ejections = ManualEjections::new([("s-1".to_string(), 10), ("s-2".to_string(), 20)]);
    let stored: BTreeMap<String, u64> = [("s-2".to_string(), 20), ("s-3".to_string(), 30)].into();
    let mut changed = ejections.update_from(&stored, 50);
    changed.sort();
    assert_eq!(changed, ["s-1", "s-3"]);
    assert!(!ejections.is_ejected("s-1") && ejections.is_ejected("s-2") && ejections.is_ejected("s-3"));
    assert_eq!(ejections.assumed_start("s-1", 0), 50);
    assert!(ejections.update_from(&stored, 60).is_empty());
}
