//! Emulated nodes: slow start, overload, and the bounded queue.

#![cfg(test)]

use violetyoke_lab::node::{Job, Node, NodeSettings, Placement};

const SETTINGS: NodeSettings = NodeSettings {
    workers: 2,
    queue: 1,
    connections: 10,
    handshake: 1_000,
    initial_speed: 0.25,
    slow_start: 10_000_000,
    overload_factor: 2.0,
    overload_window: 1_000_000,
};

#[test]
fn node_in_slow_start_is_slower_and_fails_under_load_that_another_node_accepts() {
    let mut node = Node::new("n0".into(), 0, 1.0, 1_000_000);
    assert_eq!(node.work_time(1_000_000, 10_000.0, &SETTINGS), 40_000);
    assert_eq!(node.work_time(11_000_000, 10_000.0, &SETTINGS), 10_000);
    // Two workers at a quarter of their speed do 0.5 s of work a second; the node fails above twice that.
    assert!(!node.add_work(1_000_000, 900_000.0, &SETTINGS));
    assert!(node.add_work(1_000_000, 200_000.0, &SETTINGS));
    let mut warm = Node::new("n1".into(), 0, 1.0, 0);
    assert!(!warm.add_work(1_000_000, 90e6, &SETTINGS));
}

#[test]
fn queue_is_bounded_and_handshakes_are_queued_first() {
    let mut node = Node::new("n0".into(), 0, 1.0, 0);
    node.working = vec![1, 2];
    assert_eq!(node.place(Job::Attempt(3), &SETTINGS), Placement::Queued);
    assert_eq!(node.place(Job::Attempt(4), &SETTINGS), Placement::QueueFull);
    assert_eq!(node.place(Job::Handshake(5), &SETTINGS), Placement::Queued);
    assert_eq!(node.queue.front(), Some(&Job::Handshake(5)));
    let mut lost = node.kill();
    lost.sort_unstable();
    assert_eq!((lost, node.epoch), (vec![1, 2, 3, 5], 1));
}
