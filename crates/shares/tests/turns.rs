//! Turns by weight: parts, bounds, and that neither idling nor debt is of use to anyone.

#![cfg(test)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_shares::Turns;

/// Plays `rounds` turns of members that always have more to do.
fn play(turns: &mut Turns, cost: impl Fn(usize) -> u64, rounds: usize) -> BTreeMap<usize, u64> {
    let mut used = BTreeMap::new();
    for _ in 0..rounds {
        let member = turns.whose().unwrap();
        turns.used(member, cost(member), true);
        *used.entry(member).or_default() += cost(member);
    }
    used
}

#[test]
fn parts_follow_the_weights_and_not_the_cost_of_a_turn() {
    let mut turns = Turns::new(100);
    turns.set(1, 1);
    turns.set(2, 3);
    turns.ready(1);
    turns.ready(2);
    // The one of less weight has turns that cost ten times as much.
    let used = play(&mut turns, |member| if member == 1 { 100 } else { 10 }, 20_000);
    let ratio = used[&2] as f64 / used[&1] as f64;
    assert!((2.95..3.05).contains(&ratio), "{ratio}");
}

#[test]
fn nobody_is_next_when_nobody_is_ready() {
    let mut turns = Turns::new(100);
    turns.set(1, 1);
    assert_eq!(turns.whose(), None);
    turns.ready(1);
    turns.ready(1);
    assert_eq!(turns.whose(), Some(1));
    turns.used(1, 5, false);
    assert_eq!(turns.whose(), None);
    turns.ready(1);
    turns.remove(1);
    assert_eq!(turns.whose(), None);
}

#[test]
fn what_nobody_else_uses_one_may_have() {
    let mut turns = Turns::new(100);
    turns.set(1, 1);
    turns.set(2, 1);
    turns.ready(1);
    let used = play(&mut turns, |_| 70, 1_000);
    assert_eq!(used, BTreeMap::from([(1, 70_000)]));
    // And what it had alone is not held against it when the other comes, nor for it.
    turns.ready(2);
    let used = play(&mut turns, |_| 70, 2_000);
    assert!(used[&1].abs_diff(used[&2]) <= 2 * 170, "{used:?}");
}

#[test]
fn one_that_comes_and_goes_sheds_no_debt() {
    let mut turns = Turns::new(100);
    turns.set(1, 1);
    turns.set(2, 1);
    turns.ready(1);
    turns.ready(2);
    let (mut coming, mut steady) = (0, 0);
    for _ in 0..10_000 {
        match turns.whose().unwrap() {
            // Far more than its credit, and then it has nothing to do for a moment.
            1 => {
                coming += 900;
                turns.used(1, 900, false);
                turns.ready(1);
            }
            _ => {
                steady += 50;
                turns.used(2, 50, true);
            }
        }
    }
    let ratio = f64::from(coming) / f64::from(steady);
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}

proptest! {
    /// The stated bound on the wait of one that becomes ready.
    #[test]
    fn the_wait_for_a_turn_is_bounded(
        weights in prop::collection::vec(1u64..8, 2..12),
        costs in prop::collection::vec(1u64..400, 1..200),
        before in 0usize..300,
    ) {
        const QUANTUM: u64 = 200;
        const MOST: u64 = 400;
        let mut turns = Turns::new(QUANTUM);
        for (member, weight) in weights.iter().enumerate() {
            turns.set(member, *weight);
        }
        for member in 1..weights.len() {
            turns.ready(member);
        }
        let mut costs = costs.iter().cycle();
        for _ in 0..before {
            let member = turns.whose().unwrap();
            turns.used(member, *costs.next().unwrap(), true);
        }
        turns.ready(0);
        let mut waited = 0;
        loop {
            let member = turns.whose().unwrap();
            if member == 0 {
                break;
            }
            let cost = *costs.next().unwrap();
            waited += cost;
            turns.used(member, cost, true);
        }
        let bound: u64 = weights[1..].iter().map(|weight| QUANTUM * weight + MOST).sum();
        prop_assert!(waited <= bound, "{} > {}", waited, bound);
    }

    /// Parts of members that are always ready, to within the stated difference.
    #[test]
    fn parts_follow_the_weights(weights in prop::collection::vec(1u64..8, 2..8), costs in prop::collection::vec(1u64..200, 8)) {
        const QUANTUM: u64 = 200;
        let mut turns = Turns::new(QUANTUM);
        for (member, weight) in weights.iter().enumerate() {
            turns.set(member, *weight);
            turns.ready(member);
        }
        let used = play(&mut turns, |member| costs[member % costs.len()], 5_000);
        let parts: Vec<f64> = weights.iter().enumerate().map(|(member, weight)| {
            used.get(&member).copied().unwrap_or(0) as f64 / *weight as f64
        }).collect();
        for a in &parts {
            for b in &parts {
                prop_assert!((a - b).abs() <= 2.0 * (QUANTUM + 200) as f64, "{:?}", parts);
            }
        }
    }
}
