//! The order of events that are due at one time.

use super::EventQueue;

#[test]
fn events_of_one_time_come_in_the_order_in_which_they_were_scheduled() {
    let mut queue = EventQueue::default();
    for (at, event) in [(5, "b"), (3, "a"), (5, "c"), (9, "late"), (5, "d")] {
        queue.schedule(at, event);
    }

    let order: Vec<_> = std::iter::from_fn(|| queue.pop_before(9)).collect();

    assert_eq!(order, [(3, "a"), (5, "b"), (5, "c"), (5, "d")]);
}
