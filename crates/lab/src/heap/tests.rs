//! The order of events that are due at one time.

use super::*;

#[test]
fn events_of_one_time_come_in_the_order_in_which_they_were_set() {
    let mut heap = Heap::default();
    for (at, event) in [(5, "b"), (3, "a"), (5, "c"), (9, "late"), (5, "d")] {
        heap.set(at, event);
    }
    let order: Vec<_> = std::iter::from_fn(|| heap.pop(9)).collect();
    assert_eq!(order, [(3, "a"), (5, "b"), (5, "c"), (5, "d")]);
}
