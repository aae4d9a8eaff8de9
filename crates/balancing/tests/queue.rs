//! The order in which pending requests are woken, and the removal of their entries.

#![cfg(test)]

use violetyoke_balancing::queue::{PendingQueue, MAX_PENDING};

#[test]
fn pending_requests_are_served_by_priority_then_by_arrival() {
    let mut queue = PendingQueue::default();
    queue.enqueue("finder", 2, 500, "second").expect("a place");
    let first = queue.enqueue("finder", 1, 500, "first").expect("a place");
    let expiring = queue.enqueue("finder", 0, 50, "expiring").expect("a place");
    assert_eq!(queue.take_first_waker("finder", 10), Some("expiring"));
    queue.rearm("finder", 0, expiring, "expiring");
    assert_eq!(queue.take_first_waker("finder", 100), Some("first"), "the expired request is skipped");
    queue.remove("finder", 1, first);
    queue.remove("finder", 0, expiring);
    assert_eq!(queue.take_first_waker("finder", 100), Some("second"));
    assert_eq!(queue.take_first_waker("ledger", 100), None);
}

#[test]
fn two_free_backends_wake_two_requests() {
    let mut queue = PendingQueue::default();
    let first = queue.enqueue("finder", 0, 500, "first").expect("a place");
    queue.enqueue("finder", 0, 500, "second").expect("a place");

    assert_eq!(queue.take_first_waker("finder", 10), Some("first"));
    assert_eq!(queue.take_first_waker("finder", 10), Some("second"), "the first request is already awake");
    assert_eq!(queue.take_first_waker("finder", 10), None);

    queue.rearm("finder", 0, first, "first again");
    assert_eq!(queue.take_first_waker("finder", 10), Some("first again"), "the request kept its position");
}

#[test]
fn removed_request_reports_whether_it_was_awake_and_its_entry_is_gone() {
    let mut queue = PendingQueue::default();
    let asleep = queue.enqueue("finder", 0, 500, "asleep").expect("a place");
    assert!(!queue.remove("finder", 0, asleep));
    let awake = queue.enqueue("finder", 0, 500, "awake").expect("a place");
    assert!(queue.take_first_waker("finder", 10).is_some());
    assert!(queue.remove("finder", 0, awake), "another request has to be woken instead");
    assert!(queue.is_empty("finder"));
    assert_eq!((queue.longest_queue_len(), queue.take_all_wakers().len()), (0, 0));
}

#[test]
fn full_queue_accepts_no_request_until_one_is_removed() {
    let mut queue = PendingQueue::default();
    let tickets: Vec<_> =
        (0..MAX_PENDING).map(|_| queue.enqueue("finder", 0, 500, ()).expect("a place")).collect();
    assert_eq!((queue.enqueue("finder", 0, 500, ()), queue.longest_queue_len()), (None, MAX_PENDING));
    assert!(queue.enqueue("ledger", 0, 500, ()).is_some(), "each service has its own queue");
    assert!(queue.is_full("finder") && !queue.is_full("ledger"));
    queue.remove("finder", 0, tickets[7]);
    assert!(!queue.is_full("finder"));
    assert!(queue.enqueue("finder", 0, 500, ()).is_some());
}
