//! Emulated nodes: warming up, falling over, and the bounded queue.

#![cfg(test)]

use violetyoke_lab::node::{Job, Node, Placed, Rules};

const RULES: Rules = Rules {
    workers: 2,
    queue: 1,
    connections: 10,
    handshake: 1_000,
    cold_share: 0.25,
    cold_time: 10_000_000,
    fall_multiple: 2.0,
    fall_time: 1_000_000,
};

#[test]
fn a_cold_node_is_slower_and_falls_over_where_a_warm_one_only_queues() {
    let mut node = Node::new("n0".into(), 0, 1.0, 1_000_000);
    assert_eq!(node.takes(1_000_000, 10_000.0, &RULES), 40_000);
    assert_eq!(node.takes(11_000_000, 10_000.0, &RULES), 10_000);
    // Two workers at a quarter of their speed do 0.5 s of work a second; it bears twice that.
    assert!(!node.press(1_000_000, 900_000.0, &RULES));
    assert!(node.press(1_000_000, 200_000.0, &RULES));
    let mut warm = Node::new("n1".into(), 0, 1.0, 0);
    assert!(!warm.press(1_000_000, 90e6, &RULES));
}

#[test]
fn the_queue_is_bounded_and_handshakes_go_first() {
    let mut node = Node::new("n0".into(), 0, 1.0, 0);
    node.working = vec![1, 2];
    assert_eq!(node.take(Job::Attempt(3), &RULES), Placed::Waits);
    assert_eq!(node.take(Job::Attempt(4), &RULES), Placed::Full);
    assert_eq!(node.take(Job::Handshake(5), &RULES), Placed::Waits);
    assert_eq!(node.queue.front(), Some(&Job::Handshake(5)));
    let mut lost = node.die();
    lost.sort_unstable();
    assert_eq!((lost, node.epoch), (vec![1, 2, 3, 5], 1));
}
