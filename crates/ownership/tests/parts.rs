//! Epochs, fences, deals and declarations, each for itself.

#![cfg(test)]

use proptest::prelude::*;
use violetyoke_ownership::deal::Deal;
use violetyoke_ownership::duty::{Duty, Kind};
use violetyoke_ownership::epochs::{Epochs, BLOCK, FARTHEST};
use violetyoke_ownership::fence::Fence;
use violetyoke_ownership::Name;

fn duty(shards: u32, most: u32) -> Duty {
    Duty {
        name: "probe".into(),
        kind: Kind::Probe,
        shards,
        length_ms: 10_000,
        most,
        span_ms: 60_000,
        nodes: vec!["127.0.0.1:80".parse().unwrap()],
        every_ms: 1_000,
    }
}

fn owners(deal: &Deal, shards: u32) -> Vec<Option<String>> {
    (0..shards).map(|shard| deal.owner(shard, &[]).map(String::from)).collect()
}

proptest! {
    /// Starts with every mix of witnesses lost: an epoch that was used never comes again.
    #[test]
    fn epochs_never_come_again(steps in proptest::collection::vec((0..3u8, 1..40u64, 0..5_000_000u64), 1..30)) {
        let (mut store, mut file, mut highest) = (0u64, 0u64, 0u64);
        for (lost, draws, wall) in steps {
            let backup = store;
            // The store is put back, or the clock is anything; the file stays.
            let mut epochs = Epochs::start(if lost == 0 { backup / 2 } else { backup }, file, wall);
            for _ in 0..draws {
                let epoch = epochs.draw();
                if let Some(mark) = epochs.to_reserve() {
                    file = mark;
                    epochs.reserved(mark);
                }
                prop_assert!(epoch > highest, "{epoch} after {highest}");
                (highest, store) = (epoch, epoch);
            }
        }
    }

    /// One of many leaves: only its own shards move, and each of those to one that is there.
    #[test]
    fn only_the_shards_of_who_leaves_move(candidates in 2..40usize, gone in 0..40usize) {
        let names: Vec<String> = (0..candidates).map(|number| format!("i{number}")).collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        let gone = all[gone % all.len()];
        let rest: Vec<&str> = all.iter().copied().filter(|name| *name != gone).collect();
        let duty = duty(200, 0);
        let before = owners(&Deal::new(&duty, &all), 200);
        let after = owners(&Deal::new(&duty, &rest), 200);
        for (before, after) in before.iter().zip(&after) {
            prop_assert!(after.is_some());
            prop_assert!(before == after || before.as_deref() == Some(gone));
        }
    }
}

#[test]
fn a_holder_s_word_of_a_newer_epoch_is_heard_and_one_from_the_future_is_not() {
    let mut epochs = Epochs::start(10, 0, 0);
    epochs.hear(500);
    assert_eq!(epochs.draw(), 501);
    assert!(!epochs.plausible(501 + FARTHEST + 1));
    epochs.hear(u64::MAX);
    assert_eq!(epochs.draw(), 502);
    assert_eq!(epochs.to_reserve(), Some(502 + BLOCK));
    epochs.reserved(502 + BLOCK);
    assert_eq!(epochs.to_reserve(), None);
}

#[test]
fn a_fence_lets_equal_and_newer_pass_and_keeps_names_apart() {
    let mut fence = Fence::default();
    let (one, two) = (Name::new("report", 0), Name::new("report", 1));
    assert!(fence.pass(&one, 5).is_ok() && fence.pass(&one, 5).is_ok() && fence.pass(&one, 7).is_ok());
    assert_eq!(fence.pass(&one, 6).map_err(|stale| stale.newest), Err(7));
    assert!(fence.pass(&two, 1).is_ok());
    assert_eq!(fence.newest(&one), Some(7));
}

#[test]
fn no_process_gets_more_shards_than_it_may_and_the_rest_is_nobody_s() {
    let deal = Deal::new(&duty(10, 3), &["a", "b"]);
    let owners = owners(&deal, 10);
    for name in ["a", "b"] {
        assert_eq!(owners.iter().flatten().filter(|owner| *owner == name).count(), 3);
    }
    assert_eq!(owners.iter().filter(|owner| owner.is_none()).count(), 4);
}

#[test]
fn who_has_fallen_is_left_out_while_others_are_there() {
    let deal = Deal::new(&duty(1, 0), &["a", "b"]);
    let first = deal.owner(0, &[]).unwrap().to_string();
    let other = deal.owner(0, std::slice::from_ref(&first)).unwrap();
    assert_ne!(first, other);
    // Where all have, they take turns: one that falls again and again keeps it from nobody.
    assert_eq!(deal.owner(0, &["a".into(), "b".into()]), Some("a"));
    assert_eq!(deal.owner(0, &["b".into(), "a".into()]), Some("b"));
}

#[test]
fn what_is_wrong_with_a_duty_is_told_by_field() {
    let wrong = |change: fn(&mut Duty)| {
        let mut duty = duty(4, 0);
        change(&mut duty);
        duty.check().into_iter().map(|(field, _)| field).collect::<Vec<_>>()
    };
    assert_eq!(wrong(|_| {}), Vec::<&str>::new());
    assert_eq!(wrong(|duty| duty.length_ms = 0), ["length_ms"]);
    assert_eq!(wrong(|duty| duty.length_ms = 365 * 86_400_000), ["length_ms"]);
    assert_eq!(wrong(|duty| duty.shards = 0), ["shards"]);
    assert_eq!(wrong(|duty| duty.name = "Big Name".into()), ["name"]);
    assert_eq!(wrong(|duty| duty.nodes.clear()), ["nodes"]);
    assert_eq!(wrong(|duty| duty.kind = Kind::Upkeep), ["shards"]);
}
