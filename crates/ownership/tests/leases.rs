//! Grantor and holder together, in virtual time: what each hard case does to both.

#![cfg(test)]

mod desk;

use desk::*;
use violetyoke_ownership::grantor::Word;
use violetyoke_ownership::holder::{Change, Holder, Why};
use violetyoke_ownership::{Claim, Lost, Name};

#[test]
fn a_lease_counts_from_before_its_call_was_sent_less_what_clocks_may_differ_by() {
    let (mut desk, mut a) = (Desk::new(1), Holder::new("a", duties()));
    // The first call brings nothing but that answers come.
    let (number, ask) = a.ask(0);
    let answer = desk.ask(ask, 0);
    assert!(a.answer(number, answer, 0).is_empty());
    let (number, ask) = a.ask(0);
    let answer = desk.ask(ask, 400_000);
    let claim = gained(&a.answer(number, answer, 900_000)).remove(0);
    assert!(a.may(&claim, 979_999));
    assert!(!a.may(&claim, 980_000));
    assert_eq!(a.lapse(980_000), [Change::Lost { claim, why: Why::OverTime }]);
}

#[test]
fn an_answer_that_comes_after_the_end_twice_or_in_another_order_lengthens_nothing() {
    let (mut desk, mut a) = (Desk::new(1), Holder::new("a", duties()));
    let claim = one(&mut desk, &mut a, 0);
    a.moved(&claim, 1);
    let (first, ask) = a.ask(100_000);
    let early = desk.ask(ask, 100_000);
    a.moved(&claim, 1);
    let (second, ask) = a.ask(300_000);
    let late = desk.ask(ask, 300_000);
    a.answer(second, late.clone(), 310_000);
    a.answer(first, early, 320_000);
    a.answer(second, late, 900_000);
    assert!(a.may(&claim, 1_279_999) && !a.may(&claim, 1_280_000));
    // One that comes when all is over brings nothing back.
    a.moved(&claim, 1);
    let (third, ask) = a.ask(1_200_000);
    let answer = desk.ask(ask, 1_200_000);
    a.lapse(1_300_000);
    assert!(a.answer(third, answer.clone(), 2_200_000).is_empty(), "{answer:?}");
    assert!(!a.may(&claim, 2_200_000));
}

#[test]
fn a_worker_that_hangs_is_not_renewed_and_its_shard_goes_to_another() {
    let (mut desk, mut a, mut b) = (Desk::new(1), Holder::new("a", duties()), Holder::new("b", duties()));
    let claim = one(&mut desk, &mut a, 0);
    // It calls as before, with nothing to renew after the first.
    for now in (0..1_500_000).step_by(300_000) {
        call(&mut desk, &mut a, now);
        call(&mut desk, &mut b, now);
        desk.pass(now);
    }
    let renewed = desk.store[&claim.name].beat;
    assert_eq!(renewed, 1, "the gain itself is a sign of work, and nothing after it");
    let mut to_b = Vec::new();
    for now in (1_500_000..4_000_000).step_by(100_000) {
        desk.pass(now);
        a.lapse(now);
        call(&mut desk, &mut a, now);
        to_b.extend(gained(&call(&mut desk, &mut b, now)));
        // The other one works.
        to_b.iter().for_each(|claim| b.moved(claim, 1));
    }
    assert_eq!(to_b.len(), 1, "it goes to the other, and not back to the one that hung");
    assert!(to_b[0].epoch > claim.epoch);
}

#[test]
fn a_shard_that_is_handed_over_is_nobody_s_for_no_length_and_never_two_s() {
    let (mut desk, mut a, mut b) = (Desk::new(8), Holder::new("a", duties()), Holder::new("b", duties()));
    let all = gained(&call(&mut desk, &mut a, 0));
    assert_eq!(all.len(), 8);
    assert!(call(&mut desk, &mut b, 10).is_empty(), "what is held is not taken");
    all.iter().for_each(|claim| a.moved(claim, 1));
    let over: Vec<Claim> = (call(&mut desk, &mut a, 300_000).into_iter())
        .map(|change| match change {
            Change::HandOver(claim) => claim,
            other => panic!("{other:?}"),
        })
        .collect();
    assert!(!over.is_empty() && over.len() < 8, "some move, and some stay: {}", over.len());
    assert!(call(&mut desk, &mut b, 310_000).is_empty(), "not before their work has ended");
    over.iter().for_each(|claim| a.ended(claim));
    assert!(a.urgent());
    call(&mut desk, &mut a, 320_000);
    assert_eq!(gained(&call(&mut desk, &mut b, 320_100)).len(), over.len());
    assert_eq!(a.owned().count() + b.owned().count(), 8);
}

#[test]
fn a_grantor_that_starts_anew_takes_from_nobody_for_a_length() {
    let (mut desk, mut a, mut b) = (Desk::new(1), Holder::new("a", duties()), Holder::new("b", duties()));
    let claim = one(&mut desk, &mut a, 0);
    desk.restart(900_000);
    for now in [900_000, 1_500_000, 1_899_000] {
        desk.pass(now);
        assert!(call(&mut desk, &mut b, now).is_empty(), "at {now}");
    }
    desk.pass(1_900_000);
    let next = one(&mut desk, &mut b, 1_900_000);
    assert!(next.epoch > claim.epoch);
}

#[test]
fn a_store_that_is_put_back_gives_nothing_that_may_still_be_held() {
    let (mut desk, mut a, mut b) = (Desk::new(1), Holder::new("a", duties()), Holder::new("b", duties()));
    let yesterday = desk.store.clone();
    let claim = one(&mut desk, &mut a, 0);
    desk.store = yesterday;
    desk.restart(100_000);
    assert!(call(&mut desk, &mut b, 100_000).is_empty(), "the record is gone, and the holder is not");
    a.moved(&claim, 1);
    let changes = call(&mut desk, &mut a, 200_000);
    assert_eq!(changes, [Change::Lost { claim: claim.clone(), why: Why::Told(Lost::Unknown) }]);
    let both = [call(&mut desk, &mut a, 1_100_000), call(&mut desk, &mut b, 1_100_000)].concat();
    assert_eq!(gained(&both).len(), 1, "one of them has it");
}

#[test]
fn five_owners_that_fall_at_once_set_a_shard_aside_and_ones_that_did_something_do_not() {
    for (acts, aside) in [(0, true), (1, false)] {
        let mut desk = Desk::new(1);
        let mut now = 0;
        for number in 0..6 {
            let mut holder = Holder::new(format!("h{number}"), duties());
            let Some(claim) = gained(&call(&mut desk, &mut holder, now)).first().cloned() else { break };
            holder.moved(&claim, acts);
            call(&mut desk, &mut holder, now + 10);
            // Then it is no more.
            now += 2 * LENGTH;
            desk.pass(now);
        }
        let record = &desk.store[&Name::new("report", 0)];
        assert_eq!(record.held_back.is_some(), aside, "{record:?}");
        assert_eq!(record.epoch, if aside { 5 } else { 6 });
    }
}

#[test]
fn an_operator_s_word_gives_a_shard_to_one_life_of_a_process_and_holds_it_back() {
    let mut desk = Desk::new(4);
    let (mut a, mut b) = (Holder::new("a#1", duties()), Holder::new("b#1", duties()));
    call(&mut desk, &mut a, 0);
    call(&mut desk, &mut b, 0);
    let shard = Name::new("report", 2);
    let word = Word { next: Some("b".into()), held_back: None };
    desk.grantor.words([(shard.clone(), word)].into());
    let held = a.owned().find(|claim| claim.name == shard).expect("the first had all");
    a.moved(&held, 1);
    assert!(call(&mut desk, &mut a, 1_000).contains(&Change::HandOver(held.clone())));
    a.ended(&held);
    call(&mut desk, &mut a, 2_000);
    assert!(gained(&call(&mut desk, &mut b, 3_000)).iter().any(|claim| claim.name == shard));
    let word = Word { next: None, held_back: Some("by hand".into()) };
    desk.grantor.words([(shard.clone(), word)].into());
    let held = b.owned().find(|claim| claim.name == shard).unwrap();
    b.moved(&held, 1);
    assert!(call(&mut desk, &mut b, 4_000).contains(&Change::HandOver(held.clone())));
    b.ended(&held);
    call(&mut desk, &mut b, 5_000);
    for holder in [&mut a, &mut b] {
        assert!(gained(&call(&mut desk, holder, 6_000)).iter().all(|claim| claim.name != shard));
    }
}

#[test]
fn a_lost_renewal_is_made_again_and_a_hung_worker_s_is_not() {
    let (mut desk, mut a) = (Desk::new(1), Holder::new("a", duties()));
    let claim = one(&mut desk, &mut a, 0);
    a.moved(&claim, 1);
    let (number, ask) = a.ask(100_000);
    assert_eq!(ask.renew.len(), 1);
    a.unanswered(number);
    let (number, ask) = a.ask(200_000);
    assert_eq!(ask.renew.len(), 1, "the work had gone on, and nobody has heard");
    let answer = desk.ask(ask, 200_000);
    a.answer(number, answer, 200_000);
    assert_eq!(a.ask(300_000).1.renew.len(), 0);
}

#[test]
fn a_grant_that_is_overtaken_by_a_later_answer_is_taken_all_the_same() {
    let (mut desk, mut a) = (Desk::new(1), Holder::new("a", duties()));
    let (hello, ask) = a.ask(0);
    let answer = desk.ask(ask, 0);
    a.answer(hello, answer, 0);
    let (first, ask) = a.ask(1_000);
    let grant = desk.ask(ask, 1_000);
    let (second, ask) = a.ask(2_000);
    let nothing = desk.ask(ask, 2_000);
    assert!(a.answer(second, nothing, 3_000).is_empty());
    let claim = gained(&a.answer(first, grant, 4_000)).remove(0);
    // It counts from its own call, not from the later one.
    assert!(a.may(&claim, 980_999) && !a.may(&claim, 981_000));
}

#[test]
fn who_hears_no_answers_is_given_nothing() {
    let (mut desk, mut a, mut b) = (Desk::new(4), Holder::new("a", duties()), Holder::new("b", duties()));
    call(&mut desk, &mut b, 0);
    // It calls and calls, and no answer reaches it.
    for now in (0..2 * LENGTH).step_by(300_000) {
        let (_, ask) = a.ask(now);
        assert!(desk.ask(ask, now).given.is_empty(), "at {now}");
        call(&mut desk, &mut b, now);
        let owned: Vec<Claim> = b.owned().collect();
        owned.iter().for_each(|claim| b.moved(claim, 1));
    }
    assert_eq!(b.owned().count(), 4, "and nothing is kept for it");
}

#[test]
fn a_fence_s_word_ends_the_work_and_the_holder_asks_like_any_other() {
    let (mut desk, mut a) = (Desk::new(1), Holder::new("a", duties()));
    let claim = one(&mut desk, &mut a, 0);
    let changes = a.fenced(&claim, claim.epoch + 7);
    assert_eq!(
        changes,
        [Change::Lost { claim: claim.clone(), why: Why::Fenced { newest: claim.epoch + 7 } }]
    );
    assert!(!a.may(&claim, 1));
    let (_, ask) = a.ask(2);
    assert_eq!((ask.seen, ask.renew.len(), ask.duties.len()), (claim.epoch + 7, 0, 1));
}
