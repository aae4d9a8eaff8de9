//! State handover between two processes of a gateway: the importing process acts on the state as the exporting
//! one would have, nothing counts in both, and state that is too old is not imported.

mod common;

use common::*;
use violetyoke_decision::interface::*;
use violetyoke_decision::{Gateway, LearnedState};

const NODES: [BackendId; 3] = [1, 2, 3];

/// Settings of a single gateway. The tests let its counter time out, so that all requests are decided
/// unconfirmed.
fn settings_of_one_gateway() -> Settings {
    Settings { gateways: 1, counter: Some(Counter { timeout: 50_000, fee: 0.0 }), ..settings() }
}

/// Sends requests that are served at once, from `now` on. Returns the nodes that they were sent to.
fn serve(gateway: &mut Gateway, now: &mut Micros, first: RequestId, count: u32) -> Vec<BackendId> {
    let mut nodes = Vec::new();
    for id in first..first + count {
        *now += 20_000;
        // A plan without a quota, so that the counter is not called.
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

/// Fails all attempts at `node` until the gateway ejects it.
fn fail_until_ejected(gateway: &mut Gateway, now: &mut Micros, node: BackendId) {
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
        if gateway.fleet_view().backends.iter().any(|backend| backend.id == node && backend.ejected) {
            return;
        }
    }
    panic!("the node was not ejected");
}

fn successor(settings: Settings, now: Micros, state: LearnedState) -> (Gateway, bool) {
    let mut new = Gateway::new(settings, 8);
    step(&mut new, now, full_list(&NODES));
    new.set_overlapping(true);
    let imported = new.import_state(now, state);
    (new, imported)
}

#[test]
fn ejected_node_stays_ejected_after_a_handover() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    fail_until_ejected(&mut old, &mut now, 2);
    let state = old.export_state(now);
    let (mut new, imported) = successor(settings(), now, state);
    assert!(imported);
    assert!(!serve(&mut new, &mut now, 5_000, 6).contains(&2));
    // Without the imported state the node is used.
    let mut fresh = gateway(settings(), &NODES);
    assert!(serve(&mut fresh, &mut now, 6_000, 6).contains(&2));
}

#[test]
fn state_that_is_too_old_or_from_the_future_is_not_imported() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    fail_until_ejected(&mut old, &mut now, 2);
    let state = old.export_state(now);
    let now = state.exported_at();
    let ejected = |gateway: &Gateway| gateway.fleet_view().backends.iter().any(|node| node.ejected);
    for (at, is_imported) in [
        (now - 200_000, false),
        (now - 50_000, true),
        (now + 10 * SECOND, true),
        (now + 10 * SECOND + 1, false),
        (now + 3_600 * SECOND, false),
    ] {
        let (new, imported) = successor(settings(), at, state.clone());
        assert_eq!(
            (imported, ejected(&new)),
            (is_imported, is_imported),
            "imported at {at}, exported at {now}"
        );
    }
}

#[test]
fn imported_failure_rates_decay_with_their_age() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    fail_until_ejected(&mut old, &mut now, 2);
    let failure_rate = |gateway: &Gateway| {
        gateway.fleet_view().backends.iter().find(|node| node.id == 2).unwrap().failure_rate
    };
    let (before, state) = (failure_rate(&old), old.export_state(now));
    let (fresh, _) = successor(settings(), now, state.clone());
    let (aged, _) = successor(settings(), now + 5 * SECOND, state);
    assert_eq!(failure_rate(&fresh), before);
    assert!(
        failure_rate(&aged) > 0.5 * before && failure_rate(&aged) < 0.7 * before,
        "{} of {before}",
        failure_rate(&aged)
    );
}

#[test]
fn state_of_a_node_that_has_restarted_since_is_dropped() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    fail_until_ejected(&mut old, &mut now, 2);
    let state = old.export_state(now);
    let mut new = Gateway::new(settings(), 8);
    let entries = NODES.map(|id| entry(id, Condition::Ready, if id == 2 { now } else { 0 })).to_vec();
    step(&mut new, now, Event::Backends { kind: ListKind::Full, version: 1, entries });
    assert!(new.import_state(now, state));
    let node = new.fleet_view().backends.into_iter().find(|node| node.id == 2).unwrap();
    assert_eq!((node.ejected, node.failure_rate, node.warming_up), (false, 0.0, true));
}

#[test]
fn node_in_slow_start_is_in_slow_start_in_both_processes() {
    let now = START;
    let mut old = gateway(settings(), &NODES);
    let entries = vec![entry(3, Condition::Ready, now)];
    step(&mut old, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
    let state = old.export_state(now + SECOND);
    // The new process's list does not contain the restart.
    let (new, _) = successor(settings(), now + SECOND, state);
    let warming_up: Vec<_> =
        new.fleet_view().backends.into_iter().filter(|node| node.warming_up).map(|node| node.id).collect();
    assert_eq!(warming_up, [3]);
}

/// How many of `count` requests of a customer under a hard limit are forwarded while the counter does not
/// answer.
fn count_unconfirmed(gateway: &mut Gateway, now: Micros, first: RequestId, count: u32) -> u32 {
    let mut sent = 0;
    let mut actions = Vec::new();
    for id in first..first + count {
        let request = Request { plan: 1, gateway_count: 1.0, units: 2.0, ..request(id, 77) };
        gateway.handle(now, Event::Request(request), &mut actions);
    }
    // Each request waits for the time-out of the counter and is then decided without it.
    gateway.handle(now + 60_000, Event::Timer { token: 0 }, &mut actions);
    for action in actions {
        sent += u32::from(matches!(action, Action::Send { .. }));
    }
    sent
}

/// A gateway that has known the customer long enough for a full allowance of unconfirmed units.
fn gateway_with_full_allowance() -> (Gateway, Micros) {
    let mut old = gateway(settings_of_one_gateway(), &NODES);
    let mut now = START;
    count_unconfirmed(&mut old, now, 1, 1);
    now += 5 * SECOND;
    (old, now)
}

#[test]
fn unconfirmed_allowance_is_split_between_both_processes() {
    let (mut control, now) = gateway_with_full_allowance();
    let total = count_unconfirmed(&mut control, now, 100, 20);
    assert!(total >= 2, "{total} of 20 were forwarded");
    let (mut old, now) = gateway_with_full_allowance();
    let state = old.export_state(now);
    let (mut new, _) = successor(settings_of_one_gateway(), now, state);
    let (by_old, by_new) =
        (count_unconfirmed(&mut old, now, 100, 20), count_unconfirmed(&mut new, now, 200, 20));
    assert_eq!((by_old, by_new), (total / 2, total / 2));
    // Each refills at half the rate until the old process has ended.
    let later = now + 5 * SECOND;
    let (by_old, by_new) =
        (count_unconfirmed(&mut old, later, 300, 20), count_unconfirmed(&mut new, later, 400, 20));
    assert_eq!((by_old, by_new), (total / 2, total / 2));
    new.set_overlapping(false);
    assert_eq!(count_unconfirmed(&mut new, later + 5 * SECOND, 500, 20), total);
    // A process without imported state starts with no allowance.
    let (mut fresh, _) = successor(settings_of_one_gateway(), now, LearnedState::default());
    assert_eq!(count_unconfirmed(&mut fresh, now, 300, 20), 0);
}

#[test]
fn reclaimed_allowance_must_refill_before_it_is_spent() {
    let (mut old, now) = gateway_with_full_allowance();
    let (mut control, _) = gateway_with_full_allowance();
    let total = count_unconfirmed(&mut control, now, 100, 20);
    let state = old.export_state(now);
    assert_eq!(count_unconfirmed(&mut old, now, 100, 20), total / 2);
    let later = now + 70_000;
    old.reclaim_state(later, &state);
    // The other process may have used its half, so it comes back only by refilling.
    assert!(count_unconfirmed(&mut old, later, 200, 20) <= 1);
    assert_eq!(count_unconfirmed(&mut old, later + 5 * SECOND, 300, 20), total);
}

#[test]
fn units_not_yet_added_to_the_counter_are_added_by_one_process_only() {
    // Requests are decided without the counter, which can't be reached. Their units are added with the next
    // call.
    let gateway_with_pending_units = || {
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
        // Long enough that the next request calls the counter again.
        (old, now + SECOND)
    };
    let units_added = |gateway: &mut Gateway, now: Micros, id: RequestId| -> f64 {
        let actions = step(gateway, now, Event::Request(request(id, 5)));
        let amounts = actions.iter().filter_map(|action| match action {
            Action::AddToCounter { amount, .. } => Some(*amount),
            _ => None,
        });
        amounts.sum()
    };
    let (mut control, now) = gateway_with_pending_units();
    let total = units_added(&mut control, now, 9);
    assert!(total >= 3.0, "{total} units");
    let (mut old, now) = gateway_with_pending_units();
    let state = old.export_state(now);
    let (mut new, _) = successor(settings(), now, state);
    let (by_old, by_new) = (units_added(&mut old, now, 9), units_added(&mut new, now, 10));
    // Each process also adds the unit of its own request, unless the request does not wait for the counter.
    assert!(by_old <= 1.0, "{by_old}");
    assert!((total..=total + 1.0).contains(&by_new), "{by_new} of {total}");
    // After the state is reclaimed, the old process adds them.
    let (mut old, now) = gateway_with_pending_units();
    let state = old.export_state(now);
    old.reclaim_state(now, &state);
    assert_eq!(units_added(&mut old, now, 9), total);
}

#[test]
fn concurrency_limit_is_split_between_both_processes() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    serve(&mut old, &mut now, 1, 40);
    let concurrency_limit = old.fleet_view().concurrency_limit;
    for id in 100..104 {
        step(&mut old, now, Event::Request(Request { plan: 2, ..request(id, 900 + u64::from(id)) }));
    }
    let in_flight = old.fleet_view().in_flight;
    assert_eq!(in_flight, 4);
    let state = old.export_state(now);
    let (new, _) = successor(settings(), now, state);
    assert_eq!(
        (old.fleet_view().concurrency_limit, new.fleet_view().concurrency_limit),
        (4.0, concurrency_limit - 4.0)
    );
}

#[test]
fn used_quota_is_known_to_the_new_process() {
    let remaining_quota = |gateway: &Gateway| gateway.quota_state(5).map(|quota| quota.remaining);
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
    assert_eq!(remaining_quota(&old), Some(2.0));
    let state = old.export_state(START + 1);
    let (new, _) = successor(settings(), START + 1, state);
    let (after, before) = (remaining_quota(&new).unwrap(), remaining_quota(&old).unwrap());
    assert!((after - before).abs() < 1e-3, "{after} of {before}");
}

#[test]
fn state_of_unknown_nodes_and_plans_is_dropped() {
    let (mut now, mut old) = (START, gateway(settings(), &NODES));
    fail_until_ejected(&mut old, &mut now, 2);
    let mut state = old.export_state(now);
    // Node 2 has the number 3 in the new process. The other nodes, and all plans but the first, are unknown.
    state.renumber(|id| (id == 2).then_some(3), Some, |plan| (plan == 0).then_some(0));
    assert_eq!(state.entry_counts(), (1, 0));
    let (new, _) = successor(settings(), now, state);
    let ejected: Vec<_> = new.fleet_view().backends.into_iter().filter(|node| node.ejected).collect();
    assert_eq!(ejected.iter().map(|node| node.id).collect::<Vec<_>>(), [3]);
}
