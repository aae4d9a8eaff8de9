//! A gateway takes the place of another: what it is handed acts in it as it would have in the other one,
//! nothing is in both, and what is too old is not believed.

mod common;

use common::*;
use violetyoke_decision::interface::*;
use violetyoke_decision::{Gateway, LearnedState};

const NODES: [BackendId; 3] = [1, 2, 3];

/// A gateway with no counter to ask in time: all is decided untold.
fn alone() -> Settings {
    Settings { gateways: 1, counter: Some(Counter { timeout: 50_000, fee: 0.0 }), ..settings() }
}

/// Sends of one request each, served at once, from `now` on; which nodes they went to.
fn serve(gateway: &mut Gateway, now: &mut Micros, first: RequestId, many: u32) -> Vec<BackendId> {
    let mut nodes = Vec::new();
    for id in first..first + many {
        *now += 20_000;
        // Of a plan without a quota: the counter is not asked.
        let request = Request { plan: 2, ..request(id, 1_000 + u64::from(id)) };
        for action in step(gateway, *now, Event::Request(request)) {
            if let Action::Send { backend, .. } = action {
                nodes.push(backend);
                *now += 20_000;
                step(gateway, *now, attempt_ended(id, 0, backend, Outcome::Ok));
            }
        }
    }
    nodes
}

/// Fails every attempt at `node` until the gateway leaves it out.
fn make_sick(gateway: &mut Gateway, now: &mut Micros, node: BackendId) {
    for id in 1..2_000 {
        *now += 20_000;
        let request = Request { plan: 2, class: 2, ..request(id, 1_000 + u64::from(id)) };
        let sent = step(gateway, *now, Event::Request(request)).into_iter().find_map(|action| match action {
            Action::Send { backend, .. } => Some(backend),
            _ => None,
        });
        let Some(backend) = sent else { continue };
        let outcome = if backend == node { Outcome::Reset } else { Outcome::Ok };
        step(gateway, *now + 10_000, attempt_ended(id, 0, backend, outcome));
        if gateway.fleet_view().backends.iter().any(|known| known.id == node && known.ejected) {
            return;
        }
    }
    panic!("it was never left out");
}

fn successor(settings: Settings, now: Micros, belief: LearnedState) -> (Gateway, bool) {
    let mut new = Gateway::new(settings, 8);
    step(&mut new, now, full_list(&NODES));
    new.set_overlapping(true);
    let believed = new.import_state(now, belief);
    (new, believed)
}

#[test]
fn a_sick_node_stays_left_out() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    make_sick(&mut old, &mut now, 2);
    let belief = old.export_state(now);
    let (mut new, believed) = successor(settings(), now, belief);
    assert!(believed);
    assert!(!serve(&mut new, &mut now, 5_000, 6).contains(&2));
    // Without what was handed down it is met anew.
    let mut ignorant = gateway(settings(), &NODES);
    assert!(serve(&mut ignorant, &mut now, 6_000, 6).contains(&2));
}

#[test]
fn what_is_too_old_or_of_a_time_to_come_is_not_believed() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    make_sick(&mut old, &mut now, 2);
    let belief = old.export_state(now);
    let now = belief.exported_at();
    let left_out = |gateway: &Gateway| gateway.fleet_view().backends.iter().any(|node| node.ejected);
    for (at, believes) in [
        (now - 200_000, false),
        (now - 50_000, true),
        (now + 10 * SECOND, true),
        (now + 10 * SECOND + 1, false),
        (now + 3_600 * SECOND, false),
    ] {
        let (new, believed) = successor(settings(), at, belief.clone());
        assert_eq!((believed, left_out(&new)), (believes, believes), "at {at}, written at {now}");
    }
}

#[test]
fn trust_in_a_nodes_figures_fades_with_their_age() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    make_sick(&mut old, &mut now, 2);
    let fails = |gateway: &Gateway| {
        gateway.fleet_view().backends.iter().find(|node| node.id == 2).unwrap().failure_rate
    };
    let (before, belief) = (fails(&old), old.export_state(now));
    let (fresh, _) = successor(settings(), now, belief.clone());
    let (aged, _) = successor(settings(), now + 5 * SECOND, belief);
    assert_eq!(fails(&fresh), before);
    assert!(fails(&aged) > 0.5 * before && fails(&aged) < 0.7 * before, "{} of {before}", fails(&aged));
}

#[test]
fn a_node_that_has_started_since_is_another() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    make_sick(&mut old, &mut now, 2);
    let belief = old.export_state(now);
    let mut new = Gateway::new(settings(), 8);
    let entries = NODES.map(|id| entry(id, Condition::Ready, if id == 2 { now } else { 0 })).to_vec();
    step(&mut new, now, Event::Backends { kind: ListKind::Full, version: 1, entries });
    assert!(new.import_state(now, belief));
    let node = new.fleet_view().backends.into_iter().find(|node| node.id == 2).unwrap();
    assert_eq!((node.ejected, node.failure_rate, node.warming_up), (false, 0.0, true));
}

#[test]
fn a_node_that_was_put_back_cold_is_cold_to_both() {
    let now = START;
    let mut old = gateway(settings(), &NODES);
    let entries = vec![entry(3, Condition::Ready, now)];
    step(&mut old, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
    let belief = old.export_state(now + SECOND);
    // The new process's list has not heard of the start.
    let (new, _) = successor(settings(), now + SECOND, belief);
    let cold: Vec<_> =
        new.fleet_view().backends.into_iter().filter(|node| node.warming_up).map(|node| node.id).collect();
    assert_eq!(cold, [3]);
}

/// How many of `many` requests of one account under a ceiling go on while the counter never answers.
fn untold(gateway: &mut Gateway, now: Micros, first: RequestId, many: u32) -> u32 {
    let mut sent = 0;
    let mut actions = Vec::new();
    for id in first..first + many {
        let request = Request { plan: 1, gateway_count: 1.0, units: 2.0, ..request(id, 77) };
        gateway.handle(now, Event::Request(request), &mut actions);
    }
    // Each waits as long as the counter is given, and is then decided alone.
    gateway.handle(now + 60_000, Event::Timer { token: 0 }, &mut actions);
    for action in actions {
        sent += u32::from(matches!(action, Action::Send { .. }));
    }
    sent
}

/// One that has been asked often enough to have filled what may be sent untold.
fn seasoned() -> (Gateway, Micros) {
    let mut old = gateway(alone(), &NODES);
    let mut now = START;
    untold(&mut old, now, 1, 1);
    now += 5 * SECOND;
    (old, now)
}

#[test]
fn what_may_be_sent_untold_is_handed_over_and_not_doubled() {
    let (mut control, now) = seasoned();
    let all = untold(&mut control, now, 100, 20);
    assert!(all >= 2, "{all} of 20 went on");
    let (mut old, now) = seasoned();
    let belief = old.export_state(now);
    let (mut new, _) = successor(alone(), now, belief);
    let (by_old, by_new) = (untold(&mut old, now, 100, 20), untold(&mut new, now, 200, 20));
    assert_eq!((by_old, by_new), (all / 2, all / 2));
    // And each earns half, until the older one is no more.
    let later = now + 5 * SECOND;
    let (by_old, by_new) = (untold(&mut old, later, 300, 20), untold(&mut new, later, 400, 20));
    assert_eq!((by_old, by_new), (all / 2, all / 2));
    new.set_overlapping(false);
    assert_eq!(untold(&mut new, later + 5 * SECOND, 500, 20), all);
    // One that is handed nothing begins with none.
    let (mut ignorant, _) = successor(alone(), now, LearnedState::default());
    assert_eq!(untold(&mut ignorant, now, 300, 20), 0);
}

#[test]
fn what_nobody_came_for_is_taken_back_and_refills() {
    let (mut old, now) = seasoned();
    let (mut control, _) = seasoned();
    let all = untold(&mut control, now, 100, 20);
    let belief = old.export_state(now);
    assert_eq!(untold(&mut old, now, 100, 20), all / 2);
    let later = now + 70_000;
    old.reclaim_state(later, &belief);
    // The other may have used its half: it comes back as it refills.
    assert!(untold(&mut old, later, 200, 20) <= 1);
    assert_eq!(untold(&mut old, later + 5 * SECOND, 300, 20), all);
}

#[test]
fn units_owed_to_the_counter_are_added_by_one_of_them() {
    // Decided alone, as the counter is unwell: its units are owed until the next call.
    let owing = || {
        let mut old = gateway(settings(), &NODES);
        let mut now = START;
        for id in 1..=3 {
            let counts = step(&mut old, now, Event::Request(request(id, 5)));
            let counter_id = counts.iter().find_map(|action| match action {
                Action::AddToCounter { counter_id, .. } => Some(*counter_id),
                _ => None,
            });
            now += 60_000;
            if let Some(counter_id) = counter_id {
                let event = Event::CounterAnswered {
                    counter_id,
                    outcome: Outcome::ConnectFailed,
                    total: 0.0,
                    elapsed: 1_000,
                };
                step(&mut old, now, event);
            }
        }
        // Long enough that the next request asks the counter again.
        (old, now + SECOND)
    };
    let added = |gateway: &mut Gateway, now: Micros, id: RequestId| -> f64 {
        let actions = step(gateway, now, Event::Request(request(id, 5)));
        let amounts = actions.iter().filter_map(|action| match action {
            Action::AddToCounter { amount, .. } => Some(*amount),
            _ => None,
        });
        amounts.sum()
    };
    let (mut control, now) = owing();
    let all = added(&mut control, now, 9);
    assert!(all >= 3.0, "{all} units");
    let (mut old, now) = owing();
    let belief = old.export_state(now);
    let (mut new, _) = successor(settings(), now, belief);
    let (by_old, by_new) = (added(&mut old, now, 9), added(&mut new, now, 10));
    // Each adds its own request's unit besides, unless it does not wait for the counter.
    assert!(by_old <= 1.0, "{by_old}");
    assert!((all..=all + 1.0).contains(&by_new), "{by_new} of {all}");
    // Taken back, they are added here after all.
    let (mut old, now) = owing();
    let belief = old.export_state(now);
    old.reclaim_state(now, &belief);
    assert_eq!(added(&mut old, now, 9), all);
}

#[test]
fn the_bound_on_attempts_out_is_shared_out() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    serve(&mut old, &mut now, 1, 40);
    let room = old.fleet_view().concurrency_limit;
    for id in 100..104 {
        step(&mut old, now, Event::Request(Request { plan: 2, ..request(id, 900 + u64::from(id)) }));
    }
    let out = old.fleet_view().in_flight;
    assert_eq!(out, 4);
    let belief = old.export_state(now);
    let (new, _) = successor(settings(), now, belief);
    assert_eq!((old.fleet_view().concurrency_limit, new.fleet_view().concurrency_limit), (4.0, room - 4.0));
}

#[test]
fn a_quotas_use_is_known_to_the_new_process() {
    let use_of = |gateway: &Gateway| gateway.quota_state(5).map(|standing| standing.remaining);
    let mut old = gateway(settings(), &NODES);
    for id in 1..=4 {
        let actions = step(&mut old, START, Event::Request(Request { units: 2.0, ..request(id, 5) }));
        for action in actions {
            if let Action::AddToCounter { counter_id, .. } = action {
                let total = f64::from(id) * 2.0;
                step(
                    &mut old,
                    START,
                    Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total, elapsed: 1_000 },
                );
            }
        }
    }
    assert_eq!(use_of(&old), Some(2.0));
    let belief = old.export_state(START + 1);
    let (new, _) = successor(settings(), START + 1, belief);
    let (left, before) = (use_of(&new).unwrap(), use_of(&old).unwrap());
    assert!((left - before).abs() < 1e-3, "{left} of {before}");
}

#[test]
fn names_that_are_not_known_here_are_left_out() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    make_sick(&mut old, &mut now, 2);
    let mut belief = old.export_state(now);
    // Node 2 goes by the number 3 here; the others, and all plans but the first, are unknown.
    belief.renumber(|id| (id == 2).then_some(3), Some, |plan| (plan == 0).then_some(0));
    assert_eq!(belief.entry_counts(), (1, 0));
    let (new, _) = successor(settings(), now, belief);
    let left_out: Vec<_> = new.fleet_view().backends.into_iter().filter(|node| node.ejected).collect();
    assert_eq!(left_out.iter().map(|node| node.id).collect::<Vec<_>>(), [3]);
}
