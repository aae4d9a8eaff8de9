//! The emulated counter: its queues, lifetimes of totals, and lost answers.

use super::{Arrival, Call, Counter};

fn call(name: u64, amount: f64) -> Call {
    Call { ingress: 0, epoch: 0, number: 1, name, amount, lifetime: 10_000_000, sent_at: 0 }
}

#[test]
fn part_completes_calls_in_order_and_refuses_calls_beyond_its_queue() {
    let mut counter = Counter::new(2, 1_000.0, 2);
    assert_eq!(counter.arrive(0, call(2, 3.0)), (0, Arrival::Started(2_000)));
    assert_eq!(counter.arrive(1, call(2, 4.0)), (0, Arrival::Queued));
    assert_eq!(counter.arrive(2, call(2, 5.0)), (0, Arrival::QueueFull));
    assert_eq!(counter.arrive(3, call(3, 1.0)), (1, Arrival::Started(2_003)));
    let first = counter.complete(2_000, 0).expect("a queued call");
    assert_eq!((first.total, first.next), (Some(3.0), Some(4_000)));
    let second = counter.complete(4_000, 0).expect("a queued call");
    assert_eq!((second.total, second.next), (Some(7.0), None));
}

#[test]
fn totals_expire_after_their_lifetime_and_are_lost_when_the_counter_is_cleared() {
    let mut counter = Counter::new(1, 1_000.0, 8);
    let total = |counter: &mut Counter, now| {
        counter.arrive(now, call(7, 1.0));
        counter.complete(now + 1_000, 0).expect("a queued call").total
    };
    assert_eq!(total(&mut counter, 0), Some(1.0));
    assert_eq!(total(&mut counter, 5_000_000), Some(2.0));
    assert_eq!(total(&mut counter, 10_002_000), Some(1.0));
    counter.clear();
    assert_eq!(total(&mut counter, 10_010_000), Some(1.0));
}

#[test]
fn call_whose_answer_is_lost_still_adds_its_units() {
    let mut counter = Counter::new(1, 1_000.0, 8);
    counter.parts[0].answers_lost_until = 2_000;
    counter.arrive(0, call(7, 1.0));
    assert_eq!(counter.complete(1_000, 0).expect("a queued call").total, None);
    counter.arrive(3_000, call(7, 1.0));
    assert_eq!(counter.complete(4_000, 0).expect("a queued call").total, Some(2.0));
}
