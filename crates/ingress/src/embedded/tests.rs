//! Counts that are kept in the process: how they add up and when they expire.

use super::*;

#[test]
fn numbers_add_up_until_their_life_is_over_and_spaces_never_meet() {
    let counts = Counts::default();
    let (a, b): (Rc<str>, Rc<str>) = ("a".into(), "b".into());
    assert_eq!(counts.add(1_000, &a, 7, 2.0, 5_000_000), 2.0);
    assert_eq!(counts.add(2_000, &a, 7, 1.5, 90_000_000), 3.5);
    assert_eq!(counts.add(2_000, &b, 7, 1.0, 5_000_000), 1.0);
    assert_eq!(counts.add(5_000_999, &a, 7, -0.5, 5_000_000), 3.0);
    assert_eq!(counts.state.borrow().numbers.len(), 2);
    // Later calls do not make a life longer.
    assert_eq!(counts.add(5_001_000, &a, 7, 1.0, 5_000_000), 1.0);
    assert_eq!(counts.add(5_003_000, &b, 8, 1.0, 5_000_000), 1.0);
    assert_eq!(counts.state.borrow().numbers.len(), 2);
}
