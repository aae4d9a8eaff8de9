//! Counters that are kept in the process: their totals and their expiry.

use super::*;

#[test]
fn counters_keep_their_total_until_they_expire_and_namespaces_are_separate() {
    let counters = EmbeddedCounters::default();
    let (a, b): (Rc<str>, Rc<str>) = ("a".into(), "b".into());
    assert_eq!(counters.add(1_000, &a, 7, 2.0, 5_000_000), 2.0);
    assert_eq!(counters.add(2_000, &a, 7, 1.5, 90_000_000), 3.5);
    assert_eq!(counters.add(2_000, &b, 7, 1.0, 5_000_000), 1.0);
    assert_eq!(counters.add(5_000_999, &a, 7, -0.5, 5_000_000), 3.0);
    assert_eq!(counters.state.borrow().totals.len(), 2);
    // Later additions do not extend the time to live.
    assert_eq!(counters.add(5_001_000, &a, 7, 1.0, 5_000_000), 1.0);
    assert_eq!(counters.add(5_003_000, &b, 8, 1.0, 5_000_000), 1.0);
    assert_eq!(counters.state.borrow().totals.len(), 2);
}
