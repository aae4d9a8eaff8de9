//! An outside server's answers: in time, late, never; the breaker; and that nothing is left over.

#![allow(
    clippy::match_wildcard_for_single_variants,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_ratelimit::breaker::{self, Breaker, Leave};
use violetyoke_ratelimit::claim::{told, Decided};
use violetyoke_ratelimit::consult::{Ask, Outside, Said, Settings, Silence, Word};

const MS: u64 = 1_000;

fn settings(silence: Silence) -> Settings {
    Settings {
        budget: 100 * MS,
        part: 0.25,
        most_open: 4,
        late: 1_000 * MS,
        credit: 1_000 * MS,
        silence,
        longest_hint: 5_000 * MS,
        breaker: breaker::Settings { failures: 3, pause: 1_000 * MS, longest_pause: 8_000 * MS },
    }
}

fn question(outside: &mut Outside, now: u64, about: u64) -> (u64, u64) {
    match outside.ask(now, now + 2_000 * MS, about) {
        Ask::Question { number, until } => (number, until),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_time_for_an_answer_is_a_part_of_the_request_s() {
    let mut outside = Outside::new(settings(Silence::OwnQuota), 1);
    assert_eq!(outside.ask(0, 2_000 * MS, 1), Ask::Question { number: 1, until: 100 * MS });
    assert_eq!(outside.ask(0, 200 * MS, 1), Ask::Question { number: 2, until: 50 * MS });
    // A request with 3 ms left is not held up for it, and takes no place.
    assert_eq!(outside.ask(0, 3 * MS, 1), Ask::Silent(Word::GoOn));
    assert_eq!(outside.held().0, 2);
}

#[test]
fn answers_in_time_decide() {
    let mut outside = Outside::new(settings(Silence::Refuse), 1);
    let (first, _) = question(&mut outside, 0, 1);
    assert_eq!(outside.answered(10, first, Said::Ok), Some(Word::GoOn));
    outside.ended(20, first, true);
    let (second, _) = question(&mut outside, 30, 1);
    let over = Said::Over { reset: Some(700 * MS) };
    assert_eq!(outside.answered(40, second, over), Some(Word::Over { retry_after: 700 * MS }));
    let (third, _) = question(&mut outside, 50, 1);
    let over = Said::Over { reset: Some(u64::MAX) };
    assert_eq!(outside.answered(60, third, over), Some(Word::Over { retry_after: 5_000 * MS }));
    assert_eq!(outside.held(), (0, 0, 0));
}

#[test]
fn a_late_ok_is_booked_where_it_counted() {
    // Refused as the answer was late: what was counted for it serves the next request about the same.
    let mut outside = Outside::new(settings(Silence::Refuse), 1);
    let (number, until) = question(&mut outside, 0, 7);
    assert_eq!(outside.give_up(until, number), Some(Word::Refuse { retry_after: 0 }));
    // Whoever drops it says that it may have been let in; it has been refused before that.
    outside.ended(until, number, true);
    assert_eq!(outside.answered(until + 1, number, Said::Ok), None);
    assert!(matches!(outside.ask(until + 2, until + 2_000 * MS, 8), Ask::Question { .. }));
    let Ask::Counted { number: credited } = outside.ask(until + 2, until + 2_000 * MS, 7) else {
        panic!("the credit is there")
    };
    // Its request is not let in either: it is there for the next one, until the end that it had.
    outside.ended(until + 3, credited, false);
    let Ask::Counted { number: credited } = outside.ask(until + 4, until + 2_000 * MS, 7) else {
        panic!("the credit is there")
    };
    outside.ended(until + 5, credited, true);
    assert!(matches!(outside.ask(until + 2, until + 2_000 * MS, 7), Ask::Question { .. }));
    assert_eq!((outside.tally.late_unused, outside.tally.credits_used), (1, 1));
    // Let in by the pool's own quota: it has used what was counted, and nothing is over.
    let mut outside = Outside::new(settings(Silence::OwnQuota), 1);
    let (number, until) = question(&mut outside, 0, 7);
    assert_eq!(outside.give_up(until, number), Some(Word::GoOn));
    outside.ended(until, number, true);
    assert_eq!(outside.answered(until + 1, number, Said::Ok), None);
    assert_eq!((outside.tally.late_ok, outside.tally.credited, outside.held()), (1, 0, (0, 0, 0)));
}

#[test]
fn a_late_over_limit_changes_nothing_and_is_told_in_the_tally() {
    let mut outside = Outside::new(settings(Silence::OwnQuota), 1);
    let (number, until) = question(&mut outside, 0, 7);
    assert_eq!(outside.give_up(until, number), Some(Word::GoOn));
    outside.ended(until, number, true);
    assert_eq!(outside.answered(until + 1, number, Said::Over { reset: None }), None);
    assert_eq!((outside.tally.late_over_let_in, outside.tally.credited, outside.held()), (1, 0, (0, 0, 0)));
}

#[test]
fn what_was_counted_for_a_request_that_its_own_quota_refused_serves_the_next() {
    let mut outside = Outside::new(settings(Silence::Refuse), 1);
    let (number, _) = question(&mut outside, 0, 7);
    assert_eq!(outside.answered(1, number, Said::Ok), Some(Word::GoOn));
    outside.ended(2, number, false);
    // But not for ever.
    assert!(matches!(outside.ask(2 + 1_000 * MS, 5_000 * MS, 7), Ask::Question { .. }));
    assert_eq!(outside.held().2, 0);
}

#[test]
fn what_was_not_looked_at_is_asked_once_more_while_somebody_waits() {
    let mut outside = Outside::new(settings(Silence::Refuse), 1);
    let (number, until) = question(&mut outside, 0, 7);
    assert!(outside.again(until - 1, number, until, 1));
    assert!(!outside.again(until - 1, number, until, 2) && !outside.again(until, number, until, 1));
    // Given up on, or its asker gone: counted now, it would be counted for nothing.
    outside.give_up(10, number);
    assert!(!outside.again(11, number, until, 1));
    let (number, until) = question(&mut outside, 20, 7);
    outside.left(21, number);
    assert!(!outside.again(22, number, until, 1));
}

#[test]
fn places_are_held_until_the_end_of_a_question_is_known() {
    let mut outside = Outside::new(settings(Silence::Refuse), 1);
    let numbers: Vec<u64> = (0..4).map(|about| question(&mut outside, 0, about).0).collect();
    assert_eq!(outside.ask(0, 2_000 * MS, 9), Ask::Silent(Word::Refuse { retry_after: 0 }));
    outside.left(1, numbers[0]);
    assert_eq!(outside.held().0, 4);
    outside.lost(numbers[0]);
    assert_eq!(outside.answered(2, numbers[0], Said::Ok), None);
    assert_eq!((outside.held().0, outside.tally.lost), (3, 1));
    assert!(matches!(outside.ask(3, 2_000 * MS, 9), Ask::Question { .. }));
}

#[test]
fn the_breaker_opens_and_one_question_tries_again() {
    let settings = breaker::Settings { failures: 3, pause: 1_000, longest_pause: 3_000 };
    let mut breaker = Breaker::new(settings, 5);
    let ask = |breaker: &mut Breaker, now| match breaker.ask(now) {
        Leave::Ask { epoch } => epoch,
        shut => panic!("{shut:?}"),
    };
    let early = ask(&mut breaker, 0);
    assert!(!breaker.failed(0, early) && !breaker.failed(0, early));
    // A success between them begins anew.
    breaker.succeeded(early);
    assert!(!breaker.failed(0, early) && !breaker.failed(0, early) && breaker.failed(0, early));
    assert!(matches!(breaker.ask(1), Leave::Shut { reopens } if (799..1_000).contains(&reopens)));
    // Success of what was asked before says nothing.
    breaker.succeeded(early);
    assert!(!breaker.is_closed());
    let trial = ask(&mut breaker, 1_000);
    assert!(matches!(breaker.ask(1_000), Leave::Shut { .. }));
    // The trial fails, and the pause doubles; the next one's asker leaves, and another takes its place.
    assert!(breaker.failed(1_000, trial));
    assert!(matches!(breaker.ask(2_500), Leave::Shut { .. }));
    let trial = ask(&mut breaker, 3_000);
    breaker.left(3_000, trial);
    let trial = ask(&mut breaker, 3_000);
    breaker.succeeded(trial);
    assert!(breaker.is_closed());
    // The pauses are at most the longest, and begin short again after a success.
    let epoch = ask(&mut breaker, 4_000);
    assert!(!breaker.failed(4_000, epoch) && !breaker.failed(4_000, epoch) && breaker.failed(4_000, epoch));
    ask(&mut breaker, 5_000);
}

#[test]
fn a_connection_that_breaks_is_one_failure_however_many_it_carried() {
    let mut outside = Outside::new(settings(Silence::Refuse), 1);
    let broke = |connection| Said::Broke { connection };
    // Two of them go at once, and their questions end in any order.
    let numbers: Vec<_> = (0..4).map(|about| question(&mut outside, 0, about).0).collect();
    for (number, connection) in numbers.into_iter().zip([1, 2, 1, 2]) {
        assert!(matches!(outside.answered(1, number, broke(connection)), Some(Word::Refuse { .. })));
    }
    assert!(!outside.is_shut(), "two failures of three");
    let (first, second) = (question(&mut outside, 1, 1).0, question(&mut outside, 1, 2).0);
    outside.answered(2, first, broke(3));
    assert!(outside.is_shut());
    // The trial is on the connection that an older question still breaks under: its own end is told.
    let (trial, _) = question(&mut outside, 2_000 * MS, 3);
    outside.answered(2_000 * MS, second, broke(4));
    outside.answered(2_000 * MS, trial, broke(4));
    assert!(matches!(outside.ask(10_000 * MS, 12_000 * MS, 4), Ask::Question { .. }), "it asks again");
}

#[test]
fn pauses_of_several_ingresses_end_apart() {
    let settings = breaker::Settings { failures: 1, pause: 1_000_000, longest_pause: 8_000_000 };
    let mut ends: Vec<u64> = (0..8)
        .map(|seed| {
            let mut breaker = Breaker::new(settings, seed);
            breaker.failed(0, 0);
            match breaker.ask(0) {
                Leave::Shut { reopens } => reopens,
                Leave::Ask { .. } => 0,
            }
        })
        .collect();
    ends.sort();
    ends.dedup();
    assert!(ends.len() >= 6, "{ends:?}");
}

#[test]
fn an_open_breaker_is_answered_as_silence_is() {
    for (silence, refuses) in [(Silence::OwnQuota, false), (Silence::Refuse, true)] {
        let mut outside = Outside::new(settings(silence), 1);
        for _ in 0..3 {
            let (number, _) = question(&mut outside, 0, 1);
            outside.answered(1, number, Said::Nothing);
        }
        match outside.ask(2, 2_000 * MS, 1) {
            Ask::Silent(Word::GoOn) => assert!(!refuses),
            Ask::Silent(Word::Refuse { retry_after }) => assert!(refuses && retry_after > 700 * MS),
            other => panic!("{other:?}"),
        }
        assert_eq!((outside.tally.opened, outside.is_shut(), outside.held()), (1, true, (0, 0, 0)));
    }
}

#[test]
fn outcomes_that_are_told_of_a_try() {
    assert_eq!(told(Decided::Passes), Some(true));
    assert_eq!(told(Decided::Refused { sent_before: false, retry_after: 5 }), Some(false));
    assert_eq!(told(Decided::Refused { sent_before: false, retry_after: 0 }), None);
    assert_eq!(told(Decided::Refused { sent_before: true, retry_after: 5 }), None);
}

/// One thing that happens to the outside's state; the number chooses among the questions that it can happen to.
#[derive(Clone, Debug)]
enum Step {
    Ask(u64),
    Answer(usize, u8),
    GiveUp(usize),
    Leave(usize),
    End(usize, bool),
    Lose(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3u64).prop_map(Step::Ask),
        4 => (any::<usize>(), 0..3u8).prop_map(|(which, said)| Step::Answer(which, said)),
        2 => any::<usize>().prop_map(Step::GiveUp),
        1 => any::<usize>().prop_map(Step::Leave),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(which, let_in)| Step::End(which, let_in)),
        1 => any::<usize>().prop_map(Step::Lose),
        2 => (1..400 * MS).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 0..200)
}

proptest! {
    /// In any order of events: places are bounded, nobody passes by a credit that was not counted outside for
    /// nothing, each question gives at most one word, and once all have ended nothing is held.
    #[test]
    fn nothing_is_used_twice_and_nothing_leaks(steps in steps(), refuse in any::<bool>()) {
        let silence = if refuse { Silence::Refuse } else { Silence::OwnQuota };
        let settings = settings(silence);
        let mut outside = Outside::new(settings, 3);
        let mut now = 0;
        // Of each question: what it is about, whether a word was given, and whether its answer is still to come.
        let mut questions: BTreeMap<u64, (u64, bool, bool)> = BTreeMap::new();
        let (mut said_ok, mut used) = (0u64, 0u64);
        for step in steps {
            let pick = |which: usize| {
                let numbers: Vec<u64> = questions.keys().copied().collect();
                (!numbers.is_empty()).then(|| numbers[which % numbers.len()])
            };
            match step {
                Step::Ask(about) => match outside.ask(now, now + 1_000 * MS, about) {
                    Ask::Question { number, until } => {
                        prop_assert!(until > now && until <= now + settings.budget);
                        questions.insert(number, (about, false, true));
                    }
                    Ask::Counted { number } => {
                        used += 1;
                        outside.ended(now, number, true);
                    }
                    Ask::Silent(_) => {}
                },
                Step::Answer(which, said) => if let Some(number) = pick(which) {
                    let Some((_, word, coming)) = questions.get_mut(&number) else { continue };
                    if !std::mem::take(coming) {
                        continue;
                    }
                    let said = [Said::Ok, Said::Over { reset: None }, Said::Nothing][usize::from(said)];
                    if said == Said::Ok {
                        said_ok += 1;
                    }
                    let given = outside.answered(now, number, said);
                    prop_assert!(!(given.is_some() && *word), "a second word");
                    *word |= given.is_some();
                },
                Step::GiveUp(which) => if let Some(number) = pick(which) {
                    let given = outside.give_up(now, number);
                    let Some((_, word, _)) = questions.get_mut(&number) else { continue };
                    prop_assert!(!(given.is_some() && *word), "a second word");
                    *word |= given.is_some();
                },
                Step::Leave(which) => if let Some(number) = pick(which) {
                    outside.left(now, number);
                    if let Some((_, word, _)) = questions.get_mut(&number) {
                        *word = true;
                    }
                },
                Step::End(which, let_in) => if let Some(number) = pick(which) {
                    // Only of those that have their word.
                    if questions[&number].1 {
                        outside.ended(now, number, let_in);
                    }
                },
                Step::Lose(which) => if let Some(number) = pick(which) {
                    if questions[&number].1 && questions[&number].2 {
                        outside.lost(number);
                        questions.remove(&number);
                    }
                },
                Step::Wait(time) => now += time,
            }
            prop_assert!(outside.held().0 <= settings.most_open);
            prop_assert!(used <= said_ok, "{used} passed by credits, and OK was said {said_ok} times");
        }
        for number in questions.keys().copied().collect::<Vec<_>>() {
            outside.give_up(now, number);
            outside.ended(now, number, true);
            outside.lost(number);
        }
        let (out, records, _) = outside.held();
        prop_assert_eq!((out, records), (0, 0));
        now += 2 * settings.credit;
        outside.ask(now, now, 0);
        prop_assert_eq!(outside.held().2, 0);
    }

    /// Where each request's end is told once, credits used are at most the OKs whose request was not let in.
    #[test]
    fn an_ok_serves_one_request(ends in prop::collection::vec((0..2u64, any::<bool>()), 1..100)) {
        let mut outside = Outside::new(settings(Silence::OwnQuota), 9);
        let (mut passed, mut ok) = (0u64, 0u64);
        for (now, (about, let_in)) in ends.into_iter().enumerate() {
            let now = now as u64;
            match outside.ask(now, now + 1_000 * MS, about) {
                Ask::Question { number, .. } => {
                    ok += 1;
                    outside.answered(now, number, Said::Ok);
                    outside.ended(now, number, let_in);
                    passed += u64::from(let_in);
                }
                Ask::Counted { number } => {
                    outside.ended(now, number, let_in);
                    passed += u64::from(let_in);
                }
                Ask::Silent(word) => prop_assert!(false, "{word:?}"),
            }
            prop_assert!(passed <= ok);
        }
    }
}
