//! Shares by weight, the stated bounds, and that no member gains by idling or by overrunning its credit.

#![cfg(test)]

use proptest::prelude::*;
use std::collections::BTreeMap;
use violetyoke_shares::FairScheduler;

/// Runs `turns` turns of members that always have more work. Returns the cost that each member used.
fn run_turns(
    scheduler: &mut FairScheduler,
    cost: impl Fn(usize) -> u64,
    turns: usize,
) -> BTreeMap<usize, u64> {
    let mut used = BTreeMap::new();
    for _ in 0..turns {
        let member = scheduler.next_turn().unwrap();
        scheduler.end_turn(member, cost(member), true);
        *used.entry(member).or_default() += cost(member);
    }
    used
}

#[test]
fn shares_follow_weights_and_not_the_cost_of_a_turn() {
    let mut scheduler = FairScheduler::new(100);
    scheduler.set_weight(1, 1);
    scheduler.set_weight(2, 3);
    scheduler.mark_ready(1);
    scheduler.mark_ready(2);
    // Turns of the member with less weight cost ten times as much.
    let used = run_turns(&mut scheduler, |member| if member == 1 { 100 } else { 10 }, 20_000);
    let ratio = used[&2] as f64 / used[&1] as f64;
    assert!((2.95..3.05).contains(&ratio), "{ratio}");
}

#[test]
fn no_member_is_next_when_none_is_ready() {
    let mut scheduler = FairScheduler::new(100);
    scheduler.set_weight(1, 1);
    assert_eq!(scheduler.next_turn(), None);
    scheduler.mark_ready(1);
    scheduler.mark_ready(1);
    assert_eq!(scheduler.next_turn(), Some(1));
    scheduler.end_turn(1, 5, false);
    assert_eq!(scheduler.next_turn(), None);
    scheduler.mark_ready(1);
    scheduler.remove(1);
    assert_eq!(scheduler.next_turn(), None);
}

#[test]
fn a_single_ready_member_uses_what_others_do_not() {
    let mut scheduler = FairScheduler::new(100);
    scheduler.set_weight(1, 1);
    scheduler.set_weight(2, 1);
    scheduler.mark_ready(1);
    let used = run_turns(&mut scheduler, |_| 70, 1_000);
    assert_eq!(used, BTreeMap::from([(1, 70_000)]));
    // What it used while it was alone counts neither for it nor against it once the other is ready.
    scheduler.mark_ready(2);
    let used = run_turns(&mut scheduler, |_| 70, 2_000);
    assert!(used[&1].abs_diff(used[&2]) <= 2 * 170, "{used:?}");
}

#[test]
fn becoming_ready_again_does_not_clear_negative_credit() {
    let mut scheduler = FairScheduler::new(100);
    scheduler.set_weight(1, 1);
    scheduler.set_weight(2, 1);
    scheduler.mark_ready(1);
    scheduler.mark_ready(2);
    let (mut bursty, mut steady) = (0, 0);
    for _ in 0..10_000 {
        match scheduler.next_turn().unwrap() {
            // Uses far more than its credit, then is idle for a moment.
            1 => {
                bursty += 900;
                scheduler.end_turn(1, 900, false);
                scheduler.mark_ready(1);
            }
            _ => {
                steady += 50;
                scheduler.end_turn(2, 50, true);
            }
        }
    }
    let ratio = f64::from(bursty) / f64::from(steady);
    assert!((0.9..1.1).contains(&ratio), "{ratio}");
}

proptest! {
    /// The documented bound on the wait of a member that becomes ready.
    #[test]
    fn the_wait_for_a_turn_is_bounded(
        weights in prop::collection::vec(1u64..8, 2..12),
        costs in prop::collection::vec(1u64..400, 1..200),
        turns_before in 0usize..300,
    ) {
        const QUANTUM: u64 = 200;
        const MAX_COST: u64 = 400;
        let mut scheduler = FairScheduler::new(QUANTUM);
        for (member, weight) in weights.iter().enumerate() {
            scheduler.set_weight(member, *weight);
        }
        for member in 1..weights.len() {
            scheduler.mark_ready(member);
        }
        let mut costs = costs.iter().cycle();
        for _ in 0..turns_before {
            let member = scheduler.next_turn().unwrap();
            scheduler.end_turn(member, *costs.next().unwrap(), true);
        }
        scheduler.mark_ready(0);
        let mut waited = 0;
        loop {
            let member = scheduler.next_turn().unwrap();
            if member == 0 {
                break;
            }
            let cost = *costs.next().unwrap();
            waited += cost;
            scheduler.end_turn(member, cost, true);
        }
        let bound: u64 = weights[1..].iter().map(|weight| QUANTUM * weight + MAX_COST).sum();
        prop_assert!(waited <= bound, "{} > {}", waited, bound);
    }

    /// Members that are always ready get shares by weight, up to the documented difference.
    #[test]
    fn shares_of_ready_members_follow_weights(weights in prop::collection::vec(1u64..8, 2..8), costs in prop::collection::vec(1u64..200, 8)) {
        const QUANTUM: u64 = 200;
        let mut scheduler = FairScheduler::new(QUANTUM);
        for (member, weight) in weights.iter().enumerate() {
            scheduler.set_weight(member, *weight);
            scheduler.mark_ready(member);
        }
        let used = run_turns(&mut scheduler, |member| costs[member % costs.len()], 5_000);
        let costs_per_weight: Vec<f64> = weights.iter().enumerate().map(|(member, weight)| {
            used.get(&member).copied().unwrap_or(0) as f64 / *weight as f64
        }).collect();
        for a in &costs_per_weight {
            for b in &costs_per_weight {
                prop_assert!((a - b).abs() <= 2.0 * (QUANTUM + 200) as f64, "{:?}", costs_per_weight);
            }
        }
    }
}
