//! Settings that change while the service runs: units that a customer has used stay used.

mod common;

use common::*;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

/// Answers all counter calls of `actions`, and all that follow from them, from totals in memory. Returns all
/// actions.
fn answer_calls(
    gateway: &mut Gateway,
    now: Micros,
    totals: &mut Vec<(u64, f64)>,
    actions: Vec<Action>,
) -> Vec<Action> {
    let mut handled = Vec::new();
    let mut pending: Vec<Action> = actions.into_iter().rev().collect();
    while let Some(action) = pending.pop() {
        if let Action::AddToCounter { counter_id, amount, .. } = action {
            if !totals.iter().any(|(name, _)| *name == counter_id) {
                totals.push((counter_id, 0.0));
            }
            let total = totals.iter_mut().find(|(name, _)| *name == counter_id).unwrap();
            total.1 += amount;
            let event =
                Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total: total.1, elapsed: 1_000 };
            pending.extend(step(gateway, now, event).into_iter().rev());
        }
        handled.push(action);
    }
    handled
}

/// Whether a request of customer 1 is forwarded.
fn is_forwarded(gateway: &mut Gateway, now: Micros, id: RequestId, totals: &mut Vec<(u64, f64)>) -> bool {
    let actions = step(gateway, now, Event::Request(Request { gateway_count: 1.0, ..request(id, 1) }));
    let actions = answer_calls(gateway, now, totals, actions);
    for action in &actions {
        if let Action::Send { request, backend, .. } = action {
            step(gateway, now + 1_000, attempt_ended(*request, 0, *backend, Outcome::Ok));
        }
    }
    actions.iter().any(|action| matches!(action, Action::Send { request, .. } if *request == id))
}

/// How many of the requests are forwarded, which arrive every 10 ms from `now` on.
fn count_forwarded(
    gateway: &mut Gateway,
    now: Micros,
    ids: std::ops::Range<u32>,
    totals: &mut Vec<(u64, f64)>,
) -> usize {
    ids.enumerate().filter(|(i, id)| is_forwarded(gateway, now + *i as u64 * 10_000, *id, totals)).count()
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
fn reload_does_not_reset_the_used_quota() {
    // The windows of the plan (rate 5, burst 10) stay the same, get longer or get shorter.
    for (rate, burst) in [(5.0, 10.0), (5.0, 20.0), (5.0, 5.0), (10.0, 10.0), (2.0, 10.0), (0.5, 10.0)] {
        let (settings, mut gateway) = one_gateway();
        let mut totals = Vec::new();
        assert!(count_forwarded(&mut gateway, START, 1..40, &mut totals) >= 10);
        let now = START + 500_000;
        gateway.reconfigure(now, with_plan(&settings, rate, burst));
        // The burst of the new plan beyond the used one, and the units refilled in the meantime.
        let forwarded = count_forwarded(&mut gateway, now, 100..140, &mut totals) as f64;
        let limit = (burst - 10.0).max(0.0) + rate * 1.0 + 1.0;
        assert!(forwarded <= limit, "{forwarded} of {limit} at rate {rate} and burst {burst}");
    }
}

#[test]
fn fifty_reloads_do_not_increase_the_quota() {
    let mut forwarded_by_run = Vec::new();
    for reloads in [0, 50] {
        let (settings, mut gateway) = one_gateway();
        let (mut totals, mut sent) = (Vec::new(), 0);
        for i in 0..500 {
            let now = START + i * 10_000;
            sent += usize::from(is_forwarded(&mut gateway, now, i as u32 + 1, &mut totals));
            if reloads > 0 && i % 10 == 9 {
                let burst = if i % 20 == 9 { 9.0 } else { 10.0 };
                gateway.reconfigure(now, with_plan(&settings, 5.0, burst));
            }
        }
        forwarded_by_run.push(sent);
    }
    // Five seconds at five units a second, a burst of ten, and an estimation error of one or two units.
    assert!(forwarded_by_run[0] >= 30 && forwarded_by_run[0] <= 37, "{forwarded_by_run:?}");
    assert!(
        forwarded_by_run[1] <= forwarded_by_run[0] + 2 && forwarded_by_run[1] + 6 >= forwarded_by_run[0],
        "{forwarded_by_run:?}"
    );
}

#[test]
fn counter_calls_pending_at_a_reload_still_count() {
    let (settings, mut gateway) = one_gateway();
    let mut totals = Vec::new();
    let mut counter_calls = Vec::new();
    for id in 1..=10 {
        let actions =
            step(&mut gateway, START, Event::Request(Request { gateway_count: 1.0, ..request(id, 1) }));
        counter_calls
            .extend(actions.into_iter().filter(|action| matches!(action, Action::AddToCounter { .. })));
    }
    assert_eq!(counter_calls.len(), 10);
    gateway.reconfigure(START + 1_000, with_plan(&settings, 5.0, 20.0));
    // They are answered under their old counter ids, and their requests are forwarded.
    answer_calls(&mut gateway, START + 2_000, &mut totals, counter_calls);
    let forwarded = count_forwarded(&mut gateway, START + 10_000, 100..130, &mut totals);
    assert!(forwarded <= 12, "{forwarded}");
}

#[test]
fn reduced_plan_applies_immediately_and_open_requests_fail_exactly_once() {
    let (settings, mut gateway) = one_gateway();
    let mut totals = Vec::new();
    let actions =
        step(&mut gateway, START, Event::Request(Request { gateway_count: 1.0, class: 2, ..request(1, 1) }));
    let actions = answer_calls(&mut gateway, START, &mut totals, actions);
    let target = actions.iter().find_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    });
    gateway.reconfigure(START + 1_000, with_plan(&settings, 1.0, 2.0));
    let end = step(&mut gateway, START + 2_000, attempt_ended(1, 0, target.unwrap(), Outcome::Reset));
    assert_eq!(
        end.iter().filter(|action| matches!(action, Action::Fail { request: 1, .. })).count(),
        1,
        "{end:?}"
    );
    let forwarded = count_forwarded(&mut gateway, START + 3_000, 100..120, &mut totals);
    assert!(forwarded <= 2, "{forwarded}");
}

#[test]
fn plans_and_classes_added_by_a_reload_can_be_used() {
    let (mut settings, mut gateway) = one_gateway();
    settings.plans.push(Plan { rate: 1.0, burst: 3.0, value: 1.0, ..Plan::default() });
    settings.classes.push(class(Idempotency::Idempotent, DedupScope::All));
    gateway.reconfigure(START + 1, settings);
    let mut totals = Vec::new();
    let mut sent = 0;
    for id in 1..10 {
        let added = Request { class: 3, plan: 3, gateway_count: 1.0, ..request(id, 9) };
        let actions = step(&mut gateway, START + 2, Event::Request(added));
        let actions = answer_calls(&mut gateway, START + 2, &mut totals, actions);
        sent += actions.iter().filter(|action| matches!(action, Action::Send { .. })).count();
    }
    assert_eq!(sent, 3);
}

#[test]
fn quota_state_reports_remaining_units_and_time_to_reset() {
    let (_, mut gateway) = one_gateway();
    assert_eq!(gateway.quota_state(1), None);
    let mut totals = Vec::new();
    let sent = count_forwarded(&mut gateway, START, 1..5, &mut totals) as f64;
    let quota_state = gateway.quota_state(1).unwrap();
    assert_eq!((quota_state.burst, quota_state.rate, sent), (10.0, 5.0, 4.0));
    assert!((quota_state.remaining - 6.0).abs() < 0.5, "{quota_state:?}");
    let full = (quota_state.burst - quota_state.remaining) / quota_state.rate * 1e6;
    assert!((quota_state.reset_after as f64 - full).abs() < 2.0, "{quota_state:?}");
    count_forwarded(&mut gateway, START + 100_000, 10..40, &mut totals);
    assert!(gateway.quota_state(1).unwrap().remaining < 1.0);
    // A plan without a quota has no quota state.
    step(&mut gateway, START + 500_000, Event::Request(Request { plan: 2, ..request(50, 2) }));
    assert_eq!(gateway.quota_state(2), None);
}

#[test]
fn admission_check_is_counted_but_not_sent_and_can_be_withdrawn() {
    let admission_only_class =
        Class { admission_only: true, ..class(Idempotency::Idempotent, DedupScope::All) };
    let settings = Settings { gateways: 1, ..settings() };
    let classes = settings.classes.iter().cloned().chain([admission_only_class]).collect();
    let mut gateway = gateway(Settings { classes, ..settings }, &[]);
    let mut totals = Vec::new();
    let is_admitted = |gateway: &mut Gateway, totals: &mut Vec<(u64, f64)>, id, now| {
        let event = Event::Request(Request { class: 3, gateway_count: 1.0, units: 2.0, ..request(id, 1) });
        let actions = step(gateway, now, event);
        let actions = answer_calls(gateway, now, totals, actions);
        assert!(!actions.iter().any(|action| matches!(action, Action::Send { .. })));
        actions.iter().any(|action| matches!(action, Action::Admit { request } if *request == id))
    };
    // There is no backend. Five admission checks of two units use up the burst of ten.
    assert!((1..=5).all(|id| is_admitted(&mut gateway, &mut totals, id, START)));
    assert!(!is_admitted(&mut gateway, &mut totals, 6, START));
    let withdrawn = step(&mut gateway, START + 1, Event::Withdrawn { request: 5 });
    let withdrawn = answer_calls(&mut gateway, START + 1, &mut totals, withdrawn);
    let amounts = withdrawn.iter().filter_map(|action| match action {
        Action::AddToCounter { amount, .. } => Some(*amount),
        _ => None,
    });
    assert_eq!(amounts.sum::<f64>(), -2.0, "{withdrawn:?}");
    step(&mut gateway, START + 1, Event::Abandoned { request: 4 });
    // One more is admitted because one was withdrawn. An abandoned one can no longer be withdrawn.
    assert!(step(&mut gateway, START + 2, Event::Withdrawn { request: 4 }).is_empty());
    assert!(is_admitted(&mut gateway, &mut totals, 7, START + 2));
    assert!(!is_admitted(&mut gateway, &mut totals, 8, START + 2));
    // No timer of any of them remains.
    assert!(step(&mut gateway, START + 10 * SECOND, Event::Timer { token: 0 }).is_empty());
}
