//! The order in which pending requests get free capacity.

#![cfg(test)]

use violetyoke_balancing::queue::PendingQueue;

#[test]
fn pending_requests_are_served_by_priority_then_by_arrival() {
    let mut queue = PendingQueue::default();
    let second = queue.enqueue("finder", 2, 500).expect("a place");
    let first = queue.enqueue("finder", 1, 500).expect("a place");
    let expiring = queue.enqueue("finder", 0, 50).expect("a place");
    assert_eq!(queue.first_unexpired("finder", 10), Some(expiring));
    assert_eq!(queue.first_unexpired("finder", 100), Some(first), "an expired one is passed over");
    queue.remove("finder", 1, first);
    queue.remove("finder", 0, expiring);
    assert_eq!(queue.first_unexpired("finder", 100), Some(second));
    assert_eq!(queue.first_unexpired("ledger", 100), None);
}
