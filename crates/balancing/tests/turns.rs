//! Further attempts and turns at what is short.

use violetyoke_balancing::budget::{self, Budget};
use violetyoke_balancing::queue::Queue;

#[test]
fn further_attempts_stay_within_the_part_of_one_ingress() {
    let terms = budget::Terms { ratio: 0.2, window_ms: 10_000, slack: 58.0 };
    let mut budget = Budget::new(terms);
    let mut further: Vec<u64> = Vec::new();
    for now in (0..40_000u64).step_by(10) {
        budget.request(now);
        if budget.further(now, 9) {
            further.push(now);
        }
    }
    for start in (0..30_000).step_by(333) {
        let within = further.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        assert!(within as f64 <= 0.2 * 1000.0 + 58.0 / 9.0, "{within} from {start}");
    }
    assert!(further.len() > 400, "{}", further.len());
}

#[test]
fn who_waits_goes_by_rank_then_by_arrival() {
    let mut queue = Queue::default();
    let second = queue.wait("finder", 2, 500).expect("a place");
    let first = queue.wait("finder", 1, 500).expect("a place");
    let late = queue.wait("finder", 0, 50).expect("a place");
    assert_eq!(queue.first("finder", 10), Some(late));
    assert_eq!(queue.first("finder", 100), Some(first), "one whose time is up is passed over");
    queue.leave("finder", 1, first);
    queue.leave("finder", 0, late);
    assert_eq!(queue.first("finder", 100), Some(second));
    assert_eq!(queue.first("ledger", 100), None);
}
