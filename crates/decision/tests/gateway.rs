//! A single gateway: one test for each fault that occurred or must not occur.

mod common;

use common::*;
use std::collections::BTreeMap;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

fn counter_calls(actions: &[Action]) -> Vec<(u64, f64)> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::AddToCounter { counter_id, amount, .. } => Some((*counter_id, *amount)),
        _ => None,
    });
    calls.collect()
}

fn send_targets(actions: &[Action]) -> Vec<BackendId> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    });
    sends.collect()
}

fn is_rejected(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// A stub of the counter service that answers every call at once. It contains the totals by counter id.
#[derive(Default)]
struct CounterStub(BTreeMap<u64, f64>);

impl CounterStub {
    fn answer_calls(&mut self, gateway: &mut Gateway, now: Micros, actions: &[Action]) -> Vec<Action> {
        let mut all = actions.to_vec();
        let mut calls = counter_calls(actions);
        while let Some((counter_id, amount)) = calls.pop() {
            let total = self.0.entry(counter_id).or_default();
            *total += amount;
            let answer =
                Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total: *total, elapsed: 4_000 };
            let next = step(gateway, now, answer);
            calls.extend(counter_calls(&next));
            all.extend(next);
        }
        all
    }

    /// Handles a request and its successful response. Returns whether it was forwarded.
    fn serve(&mut self, gateway: &mut Gateway, now: Micros, request: Request) -> bool {
        let id = request.id;
        let actions = step(gateway, now, Event::Request(request));
        let actions = self.answer_calls(gateway, now, &actions);
        let targets = send_targets(&actions);
        if let Some(backend) = targets.first() {
            step(gateway, now, attempt_ended(id, 0, *backend, Outcome::Ok));
        }
        !targets.is_empty()
    }
}

#[test]
fn every_request_calls_the_counter_and_the_previous_window_is_read_once_if_it_matters() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let counter_answer = |counter_id, total| Event::CounterAnswered {
        counter_id,
        outcome: Outcome::Ok,
        total,
        elapsed: 4_000,
    };
    let actions = step(&mut gateway, START, Event::Request(request(1, 9)));
    let [(current_window, 1.0)] = counter_calls(&actions)[..] else { panic!("one call of one unit") };
    let actions = step(&mut gateway, START, counter_answer(current_window, 1.0));
    assert!(send_targets(&actions).is_empty(), "a full previous window would exceed the quota");
    let [(previous_window, 0.0)] = counter_calls(&actions)[..] else { panic!("a call that only reads") };
    assert_ne!(current_window, previous_window, "each window has its own counter");
    assert_eq!(send_targets(&step(&mut gateway, START, counter_answer(previous_window, 0.0))).len(), 1);
    let again = step(&mut gateway, START, Event::Request(request(2, 9)));
    assert_eq!(counter_calls(&again), [(current_window, 1.0)]);
    assert!(
        counter_calls(&step(&mut gateway, START, counter_answer(current_window, 2.0))).is_empty(),
        "the previous window is not read twice"
    );
    // Late in a window the request is within the quota even after a full previous window, which is not read.
    let late = START + 3 * SECOND;
    let actions = step(&mut gateway, late, Event::Request(request(3, 8)));
    let actions = step(&mut gateway, late, counter_answer(counter_calls(&actions)[0].0, 1.0));
    assert_eq!((send_targets(&actions).len(), counter_calls(&actions).len()), (1, 0));
}

#[test]
fn requests_beyond_the_burst_are_rejected_and_their_units_are_returned() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut counter = CounterStub::default();
    let forwarded = (0..20).filter(|id| counter.serve(&mut gateway, START, request(*id, 9))).count();
    assert_eq!(forwarded, 10);
    assert_eq!(counter.0.values().sum::<f64>(), 10.0, "units of rejected requests are not counted");
}

#[test]
fn units_used_early_in_a_window_are_refilled_before_the_window_ends() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut counter = CounterStub::default();
    let mut forwarded_at = |now, ids: std::ops::Range<u32>| {
        ids.filter(|id| counter.serve(&mut gateway, now, request(*id, 9))).count()
    };
    assert_eq!(forwarded_at(START, 0..20), 10);
    // One second later five units are refilled at a rate of 5, although the window has not ended.
    assert_eq!(forwarded_at(START + SECOND, 20..40), 5);
}

#[test]
fn previous_window_counts_in_full_at_a_gateway_that_did_not_observe_it() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let counter_answer = |counter_id, total| Event::CounterAnswered {
        counter_id,
        outcome: Outcome::Ok,
        total,
        elapsed: 4_000,
    };
    let current_window = counter_calls(&step(&mut gateway, START, Event::Request(request(1, 9))))[0].0;
    let previous_window = counter_calls(&step(&mut gateway, START, counter_answer(current_window, 1.0)))[0].0;
    let actions = step(&mut gateway, START, counter_answer(previous_window, 25.0));
    assert!(is_rejected(&actions), "use in the previous window counts in full when the next one starts");
}

#[test]
fn request_is_not_queued_beyond_its_timeout_while_the_counter_does_not_answer() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let urgent = Request { timeout: 20_000, ..request(1, 9) };
    let actions = step(&mut gateway, START, Event::Request(urgent));
    let timer = actions.iter().find_map(|action| match action {
        Action::Timer { at, token } => Some((*at, *token)),
        _ => None,
    });
    let (due, token) = timer.expect("a timer is set");
    assert!(due < START + 20_000, "the wait for the counter ends before the request's time-out");
    let actions = step(&mut gateway, due, Event::Timer { token });
    assert_eq!(send_targets(&actions).len() + usize::from(is_rejected(&actions)), 1);
}

#[test]
fn requests_do_not_wait_for_an_unhealthy_counter_but_are_still_limited() {
    let mut gateway = gateway(settings(), &[1, 2]);
    for id in 0..3 {
        for (counter_id, _) in
            counter_calls(&step(&mut gateway, START, Event::Request(request(id, u64::from(id)))))
        {
            let timeout =
                Event::CounterAnswered { counter_id, outcome: Outcome::Timeout, total: 0.0, elapsed: 50_000 };
            step(&mut gateway, START, timeout);
        }
    }
    let now = START + TICK;
    let forwarded_ids = (10..40)
        .filter(|id| !send_targets(&step(&mut gateway, now, Event::Request(request(*id, 77)))).is_empty());
    let forwarded = forwarded_ids.count();
    assert!(
        (1..=10).contains(&forwarded),
        "{forwarded} of 30 forwarded by one of two gateways with a burst of 10"
    );
}

#[test]
fn rejected_counter_call_of_a_request_that_was_sent_does_not_send_it_again() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let counter_answer =
        |counter_id, outcome| Event::CounterAnswered { counter_id, outcome, total: 1.0, elapsed: 4_000 };
    let current_window = counter_calls(&step(&mut gateway, START, Event::Request(request(1, 9))))[0].0;
    let previous_window =
        counter_calls(&step(&mut gateway, START, counter_answer(current_window, Outcome::Ok)))[0].0;
    let first = step(&mut gateway, START, counter_answer(previous_window, Outcome::Full));
    assert_eq!(send_targets(&first).len(), 1, "the read was rejected: decided from the known totals");
    let later = START + SECOND;
    let again = counter_calls(&step(&mut gateway, later, Event::Request(request(2, 9))))[0].0;
    assert_eq!(send_targets(&step(&mut gateway, later, counter_answer(again, Outcome::Full))).len(), 1);
    assert!(send_targets(&step(&mut gateway, later, counter_answer(again, Outcome::Full))).is_empty());
}

/// Settings of one of a hundred gateways, and requests of a customer that uses thirty of them.
fn hundred_gateways() -> (Settings, impl Fn(RequestId, CustomerId) -> Request) {
    let mut settings = Settings { gateways: 100, index: 3, ..settings() };
    settings.limits.peer_messages = true;
    (settings, |id, customer| Request { gateway_count: 30.0, ..request(id, customer) })
}

#[test]
fn gateway_without_a_counter_forwards_about_its_share_of_the_quota() {
    // If each own unit counted thirty times it would exceed the burst. Neither rejecting nor forwarding all
    // requests is correct.
    let (settings, request) = hundred_gateways();
    let mut gateway = gateway(settings, &[1, 2]);
    let mut forwarded = 0;
    for id in 0..400 {
        let now = START + u64::from(id) * 100_000;
        let actions = step(&mut gateway, now, Event::Request(request(id, 77)));
        for (counter_id, _) in counter_calls(&actions) {
            let timeout =
                Event::CounterAnswered { counter_id, outcome: Outcome::Timeout, total: 0.0, elapsed: 50_000 };
            forwarded += send_targets(&step(&mut gateway, now, timeout)).len();
        }
        forwarded += send_targets(&actions).len();
    }
    // A thirtieth of five units a second is less than seven units in forty seconds.
    assert!((4..=15).contains(&forwarded), "{forwarded} forwarded");
}

#[test]
fn concurrency_limit_shrinks_while_attempts_time_out_but_stays_above_zero() {
    // Many gateways that each keep a high limit overload the fleet. But a fleet that only fails one class of
    // requests is not overloaded.
    let mut gateway = gateway(Settings { gateways: 8, ..settings() }, &(1..=40).collect::<Vec<_>>());
    let (mut in_flight, mut peaks) = (Vec::new(), [0; 40]);
    let record = |in_flight: &mut Vec<_>, now: Micros, actions: Vec<Action>| {
        in_flight.extend(actions.into_iter().filter_map(|action| match action {
            Action::Send { request, backend, .. } => Some((now, request, backend)),
            _ => None,
        }));
    };
    for id in 0..4_000u32 {
        let now = START + u64::from(id) * 10_000;
        let unlimited = Request { plan: 2, class: 2, ..request(id, 9) };
        let actions = step(&mut gateway, now, Event::Request(unlimited));
        record(&mut in_flight, now, actions);
        while in_flight.first().is_some_and(|(sent, ..)| sent + 500_000 < now) {
            let (_, id, to) = in_flight.remove(0);
            let Event::AttemptEnded(end) = attempt_ended(id, 0, to, Outcome::Timeout) else { unreachable!() };
            let end = Event::AttemptEnded(AttemptEnd { elapsed: 500_000, ..end });
            let actions = step(&mut gateway, now, end);
            record(&mut in_flight, now, actions);
        }
        peaks[id as usize / 100] = in_flight.len().max(peaks[id as usize / 100]);
    }
    assert!(peaks[39] * 2 <= peaks[0] + 1 && peaks[39] >= 5, "{peaks:?}");
}

#[test]
fn counter_that_lost_its_totals_gets_the_gateways_own_units_again() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut counter = CounterStub::default();
    (0..8).for_each(|id| assert!(counter.serve(&mut gateway, START, request(id, 9))));
    counter.0.clear();
    for id in 20..30 {
        counter.serve(&mut gateway, START + TICK, request(id, 9));
    }
    let total = counter.0.values().copied().fold(0.0, f64::max);
    assert!(total >= 8.0, "{total} units on the counter after eight were forwarded before the loss");
}

#[test]
fn new_gateway_under_a_hard_limit_starts_without_unconfirmed_allowance() {
    let mut settings = settings();
    settings.counter = None;
    let mut gateway = gateway(settings, &[1, 2]);
    let limited = |id| Event::Request(Request { plan: 1, ..request(id, 9) });
    assert!(
        is_rejected(&step(&mut gateway, START, limited(1))),
        "the unconfirmed allowance is empty at the start"
    );
    let actions = step(&mut gateway, START + SECOND, limited(2));
    assert_eq!(
        send_targets(&actions).len(),
        1,
        "the allowance refills at the difference between hard limit and quota"
    );
}

#[test]
fn draining_backend_gets_no_new_attempts() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let entries = vec![entry(1, Condition::Draining, 0)];
    step(&mut gateway, START, Event::Backends { kind: ListKind::Delta, version: 2, entries });
    for id in 0..6 {
        let unlimited = Request { plan: 2, ..request(id, 9) };
        assert!(!send_targets(&step(&mut gateway, START, Event::Request(unlimited))).contains(&1));
    }
}

#[test]
fn attempts_are_spread_evenly_over_equal_backends() {
    let mut gateway = gateway(settings(), &[1, 2, 3, 4]);
    let mut attempts: BTreeMap<BackendId, u32> = BTreeMap::new();
    for id in 0..400 {
        let now = START + u64::from(id) * 10_000;
        let targets =
            send_targets(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        *attempts.entry(targets[0]).or_default() += 1;
        step(&mut gateway, now, attempt_ended(id, 0, targets[0], Outcome::Ok));
    }
    assert!(attempts.values().all(|count| (80..=120).contains(count)), "{attempts:?}");
}

#[test]
fn backend_that_fails_fast_gets_only_a_few_trial_attempts() {
    let mut gateway = gateway(settings(), &[1, 2, 3, 4]);
    let mut to_failing = 0;
    for id in 0..400 {
        let now = START + u64::from(id) * 10_000;
        let targets =
            send_targets(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        to_failing += u32::from(targets[0] == 1);
        let outcome = if targets[0] == 1 { Outcome::Error } else { Outcome::Ok };
        let retries = send_targets(&step(&mut gateway, now, attempt_ended(id, 0, targets[0], outcome)));
        for backend in retries {
            assert_ne!(backend, 1, "the retry goes to another backend");
            step(&mut gateway, now, attempt_ended(id, 1, backend, Outcome::Ok));
        }
    }
    assert!(to_failing < 40, "{to_failing} of 400");
}

/// How many of 200 attempts go to one of four backends that has just started and responds in this time.
fn attempts_in_slow_start(elapsed: Micros) -> u32 {
    let mut gateway = gateway(settings(), &[1, 2, 3, 4]);
    let mut attempts = 0;
    for id in 0..600 {
        let now = START + u64::from(id) * 10_000;
        if id == 400 {
            let entries = vec![entry(1, Condition::Ready, now)];
            step(&mut gateway, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
        }
        let targets =
            send_targets(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        let is_starting = id >= 400 && targets[0] == 1;
        attempts += u32::from(is_starting);
        let Event::AttemptEnded(end) = attempt_ended(id, 0, targets[0], Outcome::Ok) else { unreachable!() };
        let elapsed = if is_starting { elapsed } else { end.elapsed };
        step(&mut gateway, now, Event::AttemptEnded(AttemptEnd { elapsed, ..end }));
    }
    attempts
}

#[test]
fn backend_in_slow_start_gets_less_than_an_equal_share() {
    let attempts = attempts_in_slow_start(100_000);
    assert!((1..=20).contains(&attempts), "{attempts} of 200, an equal share is 50");
}

#[test]
fn backend_in_slow_start_with_fast_responses_gets_more_but_not_enough_to_overload_it() {
    let (by_age, by_latency) = (attempts_in_slow_start(100_000), attempts_in_slow_start(20_000));
    assert!(by_latency > by_age, "{by_latency} instead of {by_age}");
    // By its age alone it gets at most about 20; 36 is still safe if its capacity is only what its age says.
    assert!(by_latency <= 36, "{by_latency} of 200, an equal share is 50");
}

#[test]
fn backends_in_slow_start_get_load_in_proportion_to_the_capacity_of_the_fleet() {
    // Two backends at full capacity and, after three seconds, six that started four seconds earlier. Their slow
    // start takes ten seconds, so each of them has half of the full capacity.
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut to_each = BTreeMap::new();
    for id in 0..2_000 {
        let now = START + u64::from(id) * 2_000;
        if id == 1_500 {
            let started_at = now - 4 * SECOND;
            let entries = (3..=8).map(|id| entry(id, Condition::Ready, started_at)).collect();
            step(&mut gateway, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
        }
        let targets =
            send_targets(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        *to_each.entry(targets[0]).or_insert(0u32) += u32::from(id >= 1_600);
        step(&mut gateway, now, attempt_ended(id, 0, targets[0], Outcome::Ok));
    }
    let in_slow_start = (3..=8).map(|id| to_each.get(&id).copied().unwrap_or(0)).sum::<u32>();
    // In proportion to their capacity they would get six tenths; in equal turns with the whole fleet, three
    // eighths.
    assert!((180..=260).contains(&in_slow_start), "{in_slow_start} of 400 in slow start: {to_each:?}");
}

#[test]
fn backend_that_times_out_gets_one_attempt_and_leaves_the_concurrency_to_others() {
    let mut gateway = gateway(Settings { gateways: 1, ..settings() }, &[1, 2]);
    let send = |gateway: &mut Gateway, id, now| {
        send_targets(&step(gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })))
    };
    // Attempts at backend 1 time out; the other one is slow too, so that no backend is ejected for its missing
    // responses.
    for id in 0..200 {
        let now = START + u64::from(id) * 20_000;
        let Some(backend) = send(&mut gateway, id, now).first().copied() else { continue };
        let (outcome, elapsed) =
            if backend == 1 { (Outcome::Timeout, 500_000) } else { (Outcome::Ok, 150_000) };
        let end = AttemptEnd { outcome, elapsed, closed: true, ..end_of(id, backend) };
        step(&mut gateway, now, Event::AttemptEnded(end));
    }
    let now = START + 60 * SECOND;
    let targets: Vec<BackendId> = (1000..1012).flat_map(|id| send(&mut gateway, id, now)).collect();
    let slow = targets.iter().filter(|target| **target == 1).count();
    assert!(slow <= 1 && targets.len() - slow >= 4, "{targets:?}");
}

#[test]
fn unconfirmed_units_can_be_spent_again_once_a_counter_total_includes_them() {
    let mut gateway = gateway(settings(), &[1]);
    let request_event = |id| Event::Request(Request { plan: 1, ..request(id, 9) });
    // After two rejected calls requests no longer wait for the counter. A hard limit of twice the quota leaves
    // an allowance of five unconfirmed units for each gateway.
    let mut calls = Vec::new();
    for id in 1..=2 {
        calls = counter_calls(&step(&mut gateway, START, request_event(id)));
        let rejected = Event::CounterAnswered {
            counter_id: calls[0].0,
            outcome: Outcome::Full,
            total: 0.0,
            elapsed: 1_000,
        };
        step(&mut gateway, START, rejected);
    }
    let now = START + SECOND;
    let count_forwarded = |gateway: &mut Gateway, ids: std::ops::Range<u32>| {
        ids.filter(|id| !send_targets(&step(gateway, now, request_event(*id))).is_empty()).count()
    };
    let first = count_forwarded(&mut gateway, 10..20);
    assert!((1..=4).contains(&first), "{first} of 10");
    assert_eq!(count_forwarded(&mut gateway, 20..30), 0, "no more unconfirmed units");
    // A later answer for the same counter includes the units that were forwarded.
    let total = Event::CounterAnswered {
        counter_id: calls[0].0,
        outcome: Outcome::Ok,
        total: first as f64,
        elapsed: 1_000,
    };
    step(&mut gateway, now, total);
    let second = count_forwarded(&mut gateway, 30..40);
    assert!((1..=first).contains(&second), "{second} after {first}");
}

#[test]
fn slow_responses_shrink_the_concurrency_limit() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let forward = |gateway: &mut Gateway, ids: std::ops::Range<u32>, now| -> Vec<(RequestId, BackendId)> {
        let mut send =
            |id| send_targets(&step(gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        ids.map(|id| (id, send(id)))
            .filter_map(|(id, targets)| targets.first().map(|target| (id, *target)))
            .collect()
    };
    let first = forward(&mut gateway, 0..100, START);
    for (id, backend) in &first {
        let end = AttemptEnd { elapsed: 490_000, ..end_of(*id, *backend) };
        step(&mut gateway, START + u64::from(*id) * 100_000, Event::AttemptEnded(end));
    }
    let second = forward(&mut gateway, 1000..1100, START + 60 * SECOND);
    assert!(!second.is_empty() && second.len() < first.len(), "{} then {}", first.len(), second.len());
}

fn end_of(request: RequestId, backend: BackendId) -> AttemptEnd {
    match attempt_ended(request, 0, backend, Outcome::Ok) {
        Event::AttemptEnded(end) => end,
        other => panic!("{other:?}"),
    }
}

#[test]
fn request_without_any_backend_is_still_rejected() {
    let mut gateway = gateway(settings(), &[]);
    let actions = step(&mut gateway, START, Event::Request(Request { plan: 2, ..request(1, 9) }));
    assert!(actions.iter().any(|action| matches!(action, Action::Timer { .. })));
    assert!(is_rejected(&step(&mut gateway, START + SECOND, Event::Timer { token: 0 })));
}

#[test]
fn events_of_unknown_or_finished_requests_attempts_and_calls_are_ignored() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let stale_events = [
        Event::Timer { token: 99 },
        Event::Abandoned { request: 5 },
        attempt_ended(5, 0, 1, Outcome::Timeout),
        Event::CounterAnswered { counter_id: 5, outcome: Outcome::Ok, total: 1.0, elapsed: 1 },
        Event::ResponseStarted { request: 5, attempt: 0, backend: 1, elapsed: 1 },
        Event::PeerMessage { from: 1, data: vec![1, 2, 3] },
        Event::Probed { backend: 8, outcome: Outcome::Ok, elapsed: 1, report: Vec::new() },
    ];
    for event in stale_events {
        assert_eq!(step(&mut gateway, START, event), []);
    }
    let unknown = Request { class: 40, ..request(1, 9) };
    assert_eq!(
        step(&mut gateway, START, Event::Request(unknown)),
        [Action::Fail { request: 1, reason: RejectionReason::Unknown }]
    );
}

#[test]
fn many_gateways_notified_of_a_start_at_once_do_not_flood_the_backend() {
    // Three hundred gateways send five requests a second each to ten backends, the tenth of which has just
    // started. Its equal share is 150 a second. At a fifth of its capacity it may get at most three times 30.
    let mut first_second = 0;
    for seed in 0..300 {
        let mut gateway = Gateway::new(Settings { gateways: 300, ..settings() }, seed);
        let ids: Vec<BackendId> = (1..=9).collect();
        step(&mut gateway, START, full_list(&ids));
        for id in 0..75 {
            let now = START + u64::from(id) * SECOND / 5;
            if id == 50 {
                let entries = vec![entry(10, Condition::Ready, now)];
                step(&mut gateway, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
            }
            let actions = step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) }));
            let targets = send_targets(&actions);
            first_second += usize::from((50..55).contains(&id) && targets.contains(&10));
            targets
                .iter()
                .for_each(|target| drop(step(&mut gateway, now, attempt_ended(id, 0, *target, Outcome::Ok))));
        }
    }
    assert!((5..=60).contains(&first_second), "{first_second} attempts in the first second");
}

#[test]
fn state_of_idle_customers_and_removed_backends_is_evicted() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut now = START;
    // Each customer sends a single request, and backends are replaced continually.
    for number in 0..2_000u32 {
        now += 50_000;
        let mut events = vec![Event::Request(request(number, 100 + u64::from(number)))];
        while let Some(event) = events.pop() {
            events.extend(step(&mut gateway, now, event).into_iter().filter_map(|action| match action {
                Action::AddToCounter { counter_id, .. } => Some(Event::CounterAnswered {
                    counter_id,
                    outcome: Outcome::Ok,
                    total: 1.0,
                    elapsed: 1_000,
                }),
                Action::Send { request, backend, .. } => {
                    Some(attempt_ended(request, 0, backend, Outcome::Ok))
                }
                _ => None,
            }));
        }
        if number % 10 == 0 {
            step(&mut gateway, now, full_list(&[number, number + 1]));
        }
    }
    // The customers of a few windows of two seconds each, and the backends of the last list.
    let (customers, backends) = gateway.entry_counts();
    assert!((1..500).contains(&customers), "{customers}");
    assert_eq!(backends, 2);
    // A late event of an evicted request or call has no effect.
    step(&mut gateway, now, attempt_ended(3, 0, 1, Outcome::Reset));
    step(
        &mut gateway,
        now,
        Event::CounterAnswered { counter_id: 7, outcome: Outcome::Ok, total: 1.0, elapsed: 1_000 },
    );
}

/// Units that the actions report to all peers, summed over customers.
fn units_sent_to_peers(actions: &[Action]) -> f64 {
    let data = actions.iter().filter_map(|action| match action {
        Action::SendPeerMessage { to: None, data } => Some(data),
        _ => None,
    });
    let records = data.flat_map(|data| data.chunks_exact(12));
    records.map(|record| f64::from(f32::from_le_bytes(record[8..].try_into().unwrap()))).sum()
}

#[test]
fn gateways_with_an_overloaded_counter_report_units_to_peers_and_share_one_quota() {
    let mut settings = settings();
    (settings.limits.peer_messages, settings.limits.peer_message_rate) = (true, 40.0);
    let mut gateways: Vec<_> = (0..2)
        .map(|index| {
            let mut gateway = Gateway::new(Settings { index, ..settings.clone() }, 7 + u64::from(index));
            step(&mut gateway, START, full_list(&[1, 2, 3]));
            gateway
        })
        .collect();
    let (mut sent, mut reported) = (0.0, 0);
    // All counter calls time out. The customer sends four times its quota of 5 units a second, and alternates
    // between the two gateways every 60 requests, so that the shares learned before are of no use.
    let settling_time = 10 * SECOND;
    for number in 0..800u32 {
        let (now, index) = (START + u64::from(number) * 50_000, usize::from(number / 60 % 2 == 1));
        let mut events = vec![(index, Event::Request(request(number, 42)))];
        while let Some((index, event)) = events.pop() {
            let actions = step(&mut gateways[index], now, event);
            reported += units_sent_to_peers(&actions) as usize;
            events.extend(actions.into_iter().filter_map(|action| match action {
                Action::AddToCounter { counter_id, .. } => {
                    let (outcome, total) = (Outcome::Timeout, 0.0);
                    Some((index, Event::CounterAnswered { counter_id, outcome, total, elapsed: 50_000 }))
                }
                Action::Send { request, backend, .. } => {
                    sent += if now > START + settling_time { 1.0 } else { 0.0 };
                    Some((index, attempt_ended(request, 0, backend, Outcome::Ok)))
                }
                Action::SendPeerMessage { data, .. } => {
                    Some((1 - index, Event::PeerMessage { from: index as u32, data }))
                }
                _ => None,
            }));
        }
    }
    assert!(reported > 0, "units were reported to peers");
    // 30 s at 5 units a second, plus a burst of 10.
    assert!((100.0..185.0).contains(&sent), "{sent}");
}

/// The interval of counter calls (µs) after requests of different customers, while the counter answers after
/// `elapsed`.
fn counter_interval_after(gateway: &mut Gateway, ids: std::ops::Range<RequestId>, elapsed: Micros) -> f64 {
    for id in ids {
        let now = START + u64::from(id) * 100_000;
        for (counter_id, _) in
            counter_calls(&step(gateway, now, Event::Request(request(id, 500 + u64::from(id)))))
        {
            let answer = Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total: 1.0, elapsed };
            step(gateway, now + elapsed, answer);
        }
    }
    gateway.fleet_view().counter_query_interval
}

#[test]
fn counter_that_gets_slower_counts_as_overloaded_but_a_distant_one_does_not() {
    // Answers arrive in time, but after more than half of the time-out.
    let mut distant = gateway(settings(), &[1, 2]);
    assert_eq!(counter_interval_after(&mut distant, 1..200, 29_000), 0.0);
    // The same latency from a counter that answered faster before shows that calls are queued there.
    let mut near = gateway(settings(), &[1, 2]);
    assert_eq!(counter_interval_after(&mut near, 1..10, 2_000), 0.0);
    assert!(counter_interval_after(&mut near, 10..20, 29_000) >= 50_000.0);
    // Once it answers fast again, requests call it again.
    assert!(counter_interval_after(&mut near, 20..400, 2_000) < 4_000.0);
    // A distant counter that replaces it does not count as a slower one.
    near.counter_replaced();
    assert!(counter_interval_after(&mut near, 400..600, 29_000) < 4_000.0);
}
