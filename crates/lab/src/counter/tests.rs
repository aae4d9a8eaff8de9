//! The emulated counter: its queue, how long numbers live, and answers that are lost.

use super::*;

fn call(name: u64, amount: f64) -> Call {
    Call { ingress: 0, epoch: 0, number: 1, name, amount, life: 10_000_000, made: 0 }
}

#[test]
fn a_part_works_one_call_after_another_and_turns_away_what_its_line_does_not_hold() {
    let mut counter = Counter::new(2, 1_000.0, 2);
    assert_eq!(counter.take(0, call(2, 3.0)), (0, Taken::Starts(2_000)));
    assert_eq!(counter.take(1, call(2, 4.0)), (0, Taken::Waits));
    assert_eq!(counter.take(2, call(2, 5.0)), (0, Taken::Full));
    assert_eq!(counter.take(3, call(3, 1.0)), (1, Taken::Starts(2_003)));
    let (_, total, next) = counter.done(2_000, 0).expect("in line");
    assert_eq!((total, next), (Some(3.0), Some(4_000)));
    let (_, total, next) = counter.done(4_000, 0).expect("in line");
    assert_eq!((total, next), (Some(7.0), None));
}

#[test]
fn numbers_end_with_their_life_and_are_lost_when_it_is_emptied() {
    let mut counter = Counter::new(1, 1_000.0, 8);
    let total = |counter: &mut Counter, now| {
        counter.take(now, call(7, 1.0));
        counter.done(now + 1_000, 0).expect("in line").1
    };
    assert_eq!(total(&mut counter, 0), Some(1.0));
    assert_eq!(total(&mut counter, 5_000_000), Some(2.0));
    assert_eq!(total(&mut counter, 10_002_000), Some(1.0));
    counter.empty();
    assert_eq!(total(&mut counter, 10_010_000), Some(1.0));
}

#[test]
fn an_answer_can_be_lost_with_its_units_added() {
    let mut counter = Counter::new(1, 1_000.0, 8);
    counter.parts[0].deaf_until = 2_000;
    counter.take(0, call(7, 1.0));
    assert_eq!(counter.done(1_000, 0).expect("in line").1, None);
    counter.take(3_000, call(7, 1.0));
    assert_eq!(counter.done(4_000, 0).expect("in line").1, Some(2.0));
}
