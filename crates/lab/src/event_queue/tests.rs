//! The order of events that are due at one time.

use super::EventQueue;

#[test]
fn events_of_the_same_time_are_popped_in_scheduling_order() {
    let mut queue = EventQueue::default();
    for (at, event) in [(5, "b"), (3, "a"), (5, "c"), (9, "late"), (5, "d")] {
        queue.schedule(at, event);
    }

    let order: Vec<_> = std::iter::from_fn(|| queue.pop_before(9)).collect();

    assert_eq!(order, [(3, "a"), (5, "b"), (5, "c"), (5, "d")]);
}
