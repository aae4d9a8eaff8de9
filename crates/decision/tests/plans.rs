//! Settings that change while the service runs: what a customer has used stays used.

mod common;

use common::*;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

/// A counter in memory: answers each call of `actions` at once, and all that follow from it.
fn answer(
    gateway: &mut Gateway,
    now: Micros,
    totals: &mut Vec<(u64, f64)>,
    actions: Vec<Action>,
) -> Vec<Action> {
    let mut seen = Vec::new();
    let mut todo: Vec<Action> = actions.into_iter().rev().collect();
    while let Some(action) = todo.pop() {
        if let Action::AddToCounter { counter_id, amount, .. } = action {
            if !totals.iter().any(|(name, _)| *name == counter_id) {
                totals.push((counter_id, 0.0));
            }
            let total = totals.iter_mut().find(|(name, _)| *name == counter_id).unwrap();
            total.1 += amount;
            let event =
                Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total: total.1, elapsed: 1_000 };
            todo.extend(step(gateway, now, event).into_iter().rev());
        }
        seen.push(action);
    }
    seen
}

/// Whether a request of customer 1 is sent on.
fn passes(gateway: &mut Gateway, now: Micros, id: RequestId, totals: &mut Vec<(u64, f64)>) -> bool {
    let actions = step(gateway, now, Event::Request(Request { gateway_count: 1.0, ..request(id, 1) }));
    let actions = answer(gateway, now, totals, actions);
    for action in &actions {
        if let Action::Send { request, backend, .. } = action {
            step(gateway, now + 1_000, attempt_ended(*request, 0, *backend, Outcome::Ok));
        }
    }
    actions.iter().any(|action| matches!(action, Action::Send { request, .. } if *request == id))
}

/// How many of `tries` requests pass, 10 ms apart from `now` on.
fn passed(
    gateway: &mut Gateway,
    now: Micros,
    ids: std::ops::Range<u32>,
    totals: &mut Vec<(u64, f64)>,
) -> usize {
    ids.enumerate().filter(|(i, id)| passes(gateway, now + *i as u64 * 10_000, *id, totals)).count()
}

fn one_gateway() -> (Settings, Gateway) {
    let settings = Settings { gateways: 1, ..settings() };
    (settings.clone(), gateway(settings, &[1, 2]))
}

fn with_plan(settings: &Settings, rate: f64, burst: f64) -> Settings {
    let mut settings = settings.clone();
    (settings.plans[0].rate, settings.plans[0].burst) = (rate, burst);
    settings
}

#[test]
fn a_reload_hands_nobody_its_quota_anew() {
    // The windows of the plan (rate 5, burst 10) get longer, shorter, and stay as they are.
    for (rate, burst) in [(5.0, 10.0), (5.0, 20.0), (5.0, 5.0), (10.0, 10.0), (2.0, 10.0), (0.5, 10.0)] {
        let (settings, mut gateway) = one_gateway();
        let mut totals = Vec::new();
        assert!(passed(&mut gateway, START, 1..40, &mut totals) >= 10);
        let now = START + 500_000;
        gateway.reconfigure(now, with_plan(&settings, rate, burst));
        // What the new plan holds beyond what was used, and what refills meanwhile.
        let more = passed(&mut gateway, now, 100..140, &mut totals) as f64;
        let room = (burst - 10.0).max(0.0) + rate * 1.0 + 1.0;
        assert!(more <= room, "{more} of {room} at {rate} a second and {burst} at once");
    }
}

#[test]
fn fifty_reloads_give_no_more_than_none() {
    let mut most = Vec::new();
    for reloads in [0, 50] {
        let (settings, mut gateway) = one_gateway();
        let (mut totals, mut sent) = (Vec::new(), 0);
        for i in 0..500 {
            let now = START + i * 10_000;
            sent += usize::from(passes(&mut gateway, now, i as u32 + 1, &mut totals));
            if reloads > 0 && i % 10 == 9 {
                let burst = if i % 20 == 9 { 9.0 } else { 10.0 };
                gateway.reconfigure(now, with_plan(&settings, 5.0, burst));
            }
        }
        most.push(sent);
    }
    // Five seconds of five units, ten at once, and the estimate's error of a unit or two.
    assert!(most[0] >= 30 && most[0] <= 37, "{most:?}");
    assert!(most[1] <= most[0] + 2 && most[1] + 6 >= most[0], "{most:?}");
}

#[test]
fn what_was_on_its_way_to_the_counter_at_a_reload_still_counts() {
    let (settings, mut gateway) = one_gateway();
    let mut totals = Vec::new();
    let mut out = Vec::new();
    for id in 1..=10 {
        let actions =
            step(&mut gateway, START, Event::Request(Request { gateway_count: 1.0, ..request(id, 1) }));
        out.extend(actions.into_iter().filter(|action| matches!(action, Action::AddToCounter { .. })));
    }
    assert_eq!(out.len(), 10);
    gateway.reconfigure(START + 1_000, with_plan(&settings, 5.0, 20.0));
    // They are answered under their old names, and their requests sent.
    answer(&mut gateway, START + 2_000, &mut totals, out);
    let more = passed(&mut gateway, START + 10_000, 100..130, &mut totals);
    assert!(more <= 12, "{more}");
}

#[test]
fn a_shrunk_plan_holds_at_once_and_open_requests_end_once() {
    let (settings, mut gateway) = one_gateway();
    let mut totals = Vec::new();
    let actions =
        step(&mut gateway, START, Event::Request(Request { gateway_count: 1.0, class: 2, ..request(1, 1) }));
    let actions = answer(&mut gateway, START, &mut totals, actions);
    let to = actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    });
    gateway.reconfigure(START + 1_000, with_plan(&settings, 1.0, 2.0));
    let end = step(&mut gateway, START + 2_000, attempt_ended(1, 0, to.unwrap(), Outcome::Reset));
    assert_eq!(
        end.iter().filter(|action| matches!(action, Action::Fail { request: 1, .. })).count(),
        1,
        "{end:?}"
    );
    let more = passed(&mut gateway, START + 3_000, 100..120, &mut totals);
    assert!(more <= 2, "{more}");
}

#[test]
fn plans_and_classes_that_are_added_can_be_used() {
    let (mut settings, mut gateway) = one_gateway();
    settings.plans.push(Plan { rate: 1.0, burst: 3.0, value: 1.0, ..Plan::default() });
    settings.classes.push(class(Idempotency::Idempotent, DedupScope::All));
    gateway.reconfigure(START + 1, settings);
    let mut totals = Vec::new();
    let mut sent = 0;
    for id in 1..10 {
        let fresh = Request { class: 3, plan: 3, gateway_count: 1.0, ..request(id, 9) };
        let actions = step(&mut gateway, START + 2, Event::Request(fresh));
        let actions = answer(&mut gateway, START + 2, &mut totals, actions);
        sent += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
    }
    assert_eq!(sent, 3);
}

#[test]
fn what_stands_of_a_quota_can_be_read() {
    let (_, mut gateway) = one_gateway();
    assert_eq!(gateway.quota_state(1), None);
    let mut totals = Vec::new();
    let sent = passed(&mut gateway, START, 1..5, &mut totals) as f64;
    let standing = gateway.quota_state(1).unwrap();
    assert_eq!((standing.burst, standing.rate, sent), (10.0, 5.0, 4.0));
    assert!((standing.remaining - 6.0).abs() < 0.5, "{standing:?}");
    let full = (standing.burst - standing.remaining) / standing.rate * 1e6;
    assert!((standing.reset_after as f64 - full).abs() < 2.0, "{standing:?}");
    passed(&mut gateway, START + 100_000, 10..40, &mut totals);
    assert!(gateway.quota_state(1).unwrap().remaining < 1.0);
    // A plan without a quota has none to tell of.
    step(&mut gateway, START + 500_000, Event::Request(Request { plan: 2, ..request(50, 2) }));
    assert_eq!(gateway.quota_state(2), None);
}

#[test]
fn what_only_asks_is_counted_and_sent_nowhere_and_can_be_taken_back() {
    let asking = Class { admission_only: true, ..class(Idempotency::Idempotent, DedupScope::All) };
    let settings = Settings { gateways: 1, ..settings() };
    let classes = settings.classes.iter().cloned().chain([asking]).collect();
    let mut gateway = gateway(Settings { classes, ..settings }, &[]);
    let mut totals = Vec::new();
    let ask = |gateway: &mut Gateway, totals: &mut Vec<(u64, f64)>, id, now| {
        let event = Event::Request(Request { class: 3, gateway_count: 1.0, units: 2.0, ..request(id, 1) });
        let actions = step(gateway, now, event);
        let actions = answer(gateway, now, totals, actions);
        assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })));
        actions.iter().any(|action| matches!(action, Action::Admit { request } if *request == id))
    };
    // There is no backend at all: five questions of two units are the burst of ten.
    assert!((1..=5).all(|id| ask(&mut gateway, &mut totals, id, START)));
    assert!(!ask(&mut gateway, &mut totals, 6, START));
    let taken_back = step(&mut gateway, START + 1, Event::Withdrawn { request: 5 });
    let taken_back = answer(&mut gateway, START + 1, &mut totals, taken_back);
    let amounts = taken_back.iter().filter_map(|action| match action {
        Action::AddToCounter { amount, .. } => Some(*amount),
        _ => None,
    });
    assert_eq!(amounts.sum::<f64>(), -2.0, "{taken_back:?}");
    step(&mut gateway, START + 1, Event::Abandoned { request: 4 });
    // One more has room, as one was taken back; one that has been settled can't be.
    assert!(step(&mut gateway, START + 2, Event::Withdrawn { request: 4 }).is_empty());
    assert!(ask(&mut gateway, &mut totals, 7, START + 2));
    assert!(!ask(&mut gateway, &mut totals, 8, START + 2));
    // None of them is left to fall due.
    assert!(step(&mut gateway, START + 10 * SECOND, Event::Timer { token: 0 }).is_empty());
}
