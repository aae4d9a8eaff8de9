//! The decision module on its own: one small test for each thing that once went wrong or must not.

mod common;

use common::*;
use std::collections::BTreeMap;
use violetyoke_decision::interface::*;
use violetyoke_decision::Gateway;

fn counts(actions: &[Action]) -> Vec<(u64, f64)> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::AddToCounter { counter_id, amount, .. } => Some((*counter_id, *amount)),
        _ => None,
    });
    calls.collect()
}

fn sent(actions: &[Action]) -> Vec<BackendId> {
    let sends = actions.iter().filter_map(|action| match action {
        Action::Send { backend, .. } => Some(*backend),
        _ => None,
    });
    sends.collect()
}

fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Reject { .. }))
}

/// A counter service that answers every call at once.
#[derive(Default)]
struct Figures(BTreeMap<u64, f64>);

impl Figures {
    fn answer(&mut self, gateway: &mut Gateway, now: Micros, actions: &[Action]) -> Vec<Action> {
        let mut all = actions.to_vec();
        let mut calls = counts(actions);
        while let Some((counter_id, amount)) = calls.pop() {
            let total = self.0.entry(counter_id).or_default();
            *total += amount;
            let answer =
                Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total: *total, elapsed: 4_000 };
            let further = step(gateway, now, answer);
            calls.extend(counts(&further));
            all.extend(further);
        }
        all
    }

    /// Plays one request and its good answer; tells whether it was sent on.
    fn play(&mut self, gateway: &mut Gateway, now: Micros, request: Request) -> bool {
        let id = request.id;
        let actions = step(gateway, now, Event::Request(request));
        let actions = self.answer(gateway, now, &actions);
        let to = sent(&actions);
        if let Some(backend) = to.first() {
            step(gateway, now, ended(id, 0, *backend, Outcome::Ok));
        }
        !to.is_empty()
    }
}

#[test]
fn every_request_asks_the_counter_and_the_last_window_is_read_once_where_it_matters() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let told = |counter_id, total| Event::CounterAnswered {
        counter_id,
        outcome: Outcome::Ok,
        total,
        elapsed: 4_000,
    };
    let actions = step(&mut gateway, START, Event::Request(request(1, 9)));
    let [(this, 1.0)] = counts(&actions)[..] else { panic!("one call of one unit") };
    let actions = step(&mut gateway, START, told(this, 1.0));
    assert!(sent(&actions).is_empty(), "a full last window would not leave room for it");
    let [(last, 0.0)] = counts(&actions)[..] else { panic!("a call that only reads") };
    assert_ne!(this, last, "two windows, two names");
    assert_eq!(sent(&step(&mut gateway, START, told(last, 0.0))).len(), 1);
    let again = step(&mut gateway, START, Event::Request(request(2, 9)));
    assert_eq!(counts(&again), [(this, 1.0)]);
    assert!(counts(&step(&mut gateway, START, told(this, 2.0))).is_empty(), "it is not read twice");
    // Late in a window, even a full last one leaves room: no need to read it.
    let late = START + 3 * SECOND;
    let actions = step(&mut gateway, late, Event::Request(request(3, 8)));
    let actions = step(&mut gateway, late, told(counts(&actions)[0].0, 1.0));
    assert_eq!((sent(&actions).len(), counts(&actions).len()), (1, 0));
}

#[test]
fn a_burst_passes_and_what_goes_past_it_is_refused_at_once_and_given_back() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut figures = Figures::default();
    let let_in = (0..20).filter(|id| figures.play(&mut gateway, START, request(*id, 9))).count();
    assert_eq!(let_in, 10);
    assert_eq!(figures.0.values().sum::<f64>(), 10.0, "refused units are not in the counts");
}

#[test]
fn units_seen_to_come_early_in_a_window_wear_off() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut figures = Figures::default();
    let mut at = |now, ids: std::ops::Range<u32>| {
        ids.filter(|id| figures.play(&mut gateway, now, request(*id, 9))).count()
    };
    assert_eq!(at(START, 0..20), 10);
    // One second later, five units of rate 5 have been refilled, though the window has not closed.
    assert_eq!(at(START + SECOND, 20..40), 5);
}

#[test]
fn the_previous_window_weighs_in_at_a_gateway_that_did_not_watch_it() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let told = |counter_id, total| Event::CounterAnswered {
        counter_id,
        outcome: Outcome::Ok,
        total,
        elapsed: 4_000,
    };
    let this = counts(&step(&mut gateway, START, Event::Request(request(1, 9))))[0].0;
    let last = counts(&step(&mut gateway, START, told(this, 1.0)))[0].0;
    let actions = step(&mut gateway, START, told(last, 25.0));
    assert!(refused(&actions), "use of the last window stands in full as the next begins");
}

#[test]
fn a_silent_counter_holds_no_request_past_its_budget() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let hasty = Request { timeout: 20_000, ..request(1, 9) };
    let actions = step(&mut gateway, START, Event::Request(hasty));
    let due = actions.iter().find_map(|action| match action {
        Action::Timer { at, token } => Some((*at, *token)),
        _ => None,
    });
    let (at, token) = due.expect("a timer is set");
    assert!(at < START + 20_000, "the wait for the counter ends with the request's budget");
    let actions = step(&mut gateway, at, Event::Timer { token });
    assert_eq!(sent(&actions).len() + usize::from(refused(&actions)), 1);
}

#[test]
fn requests_stop_waiting_for_an_unwell_counter_and_are_still_limited() {
    let mut gateway = gateway(settings(), &[1, 2]);
    for id in 0..3 {
        for (counter_id, _) in counts(&step(&mut gateway, START, Event::Request(request(id, u64::from(id)))))
        {
            let late =
                Event::CounterAnswered { counter_id, outcome: Outcome::Timeout, total: 0.0, elapsed: 50_000 };
            step(&mut gateway, START, late);
        }
    }
    let now = START + TICK;
    let at_once =
        (10..40).filter(|id| !sent(&step(&mut gateway, now, Event::Request(request(*id, 77)))).is_empty());
    let let_in = at_once.count();
    assert!((1..=10).contains(&let_in), "{let_in} of 30 let in by one of two gateways on a burst of 10");
}

#[test]
fn a_call_turned_away_after_its_request_was_sent_does_not_send_it_again() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let told =
        |counter_id, outcome| Event::CounterAnswered { counter_id, outcome, total: 1.0, elapsed: 4_000 };
    let this = counts(&step(&mut gateway, START, Event::Request(request(1, 9))))[0].0;
    let last = counts(&step(&mut gateway, START, told(this, Outcome::Ok)))[0].0;
    let first = step(&mut gateway, START, told(last, Outcome::Full));
    assert_eq!(sent(&first).len(), 1, "the read was turned away: decided from what is known");
    let later = START + SECOND;
    let again = counts(&step(&mut gateway, later, Event::Request(request(2, 9))))[0].0;
    assert_eq!(sent(&step(&mut gateway, later, told(again, Outcome::Full))).len(), 1);
    assert!(sent(&step(&mut gateway, later, told(again, Outcome::Full))).is_empty());
}

/// Settings and a request of a customer that comes through thirty of a hundred gateways.
fn many() -> (Settings, impl Fn(RequestId, CustomerId) -> Request) {
    let mut settings = Settings { gateways: 100, index: 3, ..settings() };
    settings.limits.peer_messages = true;
    (settings, |id, customer| Request { gateway_count: 30.0, ..request(id, customer) })
}

#[test]
fn alone_a_gateway_of_many_sends_about_its_part_of_the_quota() {
    // One unit of thirty times as much would stand for more than a burst: refusing all alone is no way out,
    // nor is letting in all.
    let (settings, request) = many();
    let mut gateway = gateway(settings, &[1, 2]);
    let mut let_in = 0;
    for id in 0..400 {
        let now = START + u64::from(id) * 100_000;
        let actions = step(&mut gateway, now, Event::Request(request(id, 77)));
        for (counter_id, _) in counts(&actions) {
            let late =
                Event::CounterAnswered { counter_id, outcome: Outcome::Timeout, total: 0.0, elapsed: 50_000 };
            let_in += sent(&step(&mut gateway, now, late)).len();
        }
        let_in += sent(&actions).len();
    }
    // Forty seconds of a thirtieth of five units a second are less than seven.
    assert!((4..=15).contains(&let_in), "{let_in} let in");
}

#[test]
fn what_is_out_shrinks_while_nothing_comes_back_in_time_but_not_to_nothing() {
    // Many gateways that each expect the best drown a fleet; a fleet that fails one kind is not drowned.
    let mut gateway = gateway(Settings { gateways: 8, ..settings() }, &(1..=40).collect::<Vec<_>>());
    let (mut out, mut most) = (Vec::new(), [0; 40]);
    let note = |out: &mut Vec<_>, now: Micros, actions: Vec<Action>| {
        out.extend(actions.into_iter().filter_map(|action| match action {
            Action::Send { request, backend, .. } => Some((now, request, backend)),
            _ => None,
        }));
    };
    for id in 0..4_000u32 {
        let now = START + u64::from(id) * 10_000;
        let free = Request { plan: 2, class: 2, ..request(id, 9) };
        let actions = step(&mut gateway, now, Event::Request(free));
        note(&mut out, now, actions);
        while out.first().is_some_and(|(sent, ..)| sent + 500_000 < now) {
            let (_, id, to) = out.remove(0);
            let Event::AttemptEnded(end) = ended(id, 0, to, Outcome::Timeout) else { unreachable!() };
            let end = Event::AttemptEnded(AttemptEnd { elapsed: 500_000, ..end });
            let actions = step(&mut gateway, now, end);
            note(&mut out, now, actions);
        }
        most[id as usize / 100] = out.len().max(most[id as usize / 100]);
    }
    assert!(most[39] * 2 <= most[0] + 1 && most[39] >= 5, "{most:?}");
}

#[test]
fn a_counter_that_lost_its_numbers_gets_the_own_part_back() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut figures = Figures::default();
    (0..8).for_each(|id| assert!(figures.play(&mut gateway, START, request(id, 9))));
    figures.0.clear();
    for id in 20..30 {
        figures.play(&mut gateway, START + TICK, request(id, 9));
    }
    let total = figures.0.values().copied().fold(0.0, f64::max);
    assert!(total >= 8.0, "{total} units on the counter after eight were let in before the loss");
}

#[test]
fn under_a_ceiling_a_fresh_gateway_sends_nothing_unconfirmed() {
    let mut settings = settings();
    settings.counter = None;
    let mut gateway = gateway(settings, &[1, 2]);
    let limited = |id| Event::Request(Request { plan: 1, ..request(id, 9) });
    assert!(refused(&step(&mut gateway, START, limited(1))), "the store opens empty");
    let actions = step(&mut gateway, START + SECOND, limited(2));
    assert_eq!(sent(&actions).len(), 1, "and fills with what lies between quota and ceiling");
}

#[test]
fn a_draining_backend_gets_nothing_new() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let entries = vec![entry(1, Condition::Draining, 0)];
    step(&mut gateway, START, Event::Backends { kind: ListKind::Delta, version: 2, entries });
    for id in 0..6 {
        let free = Request { plan: 2, ..request(id, 9) };
        assert!(!sent(&step(&mut gateway, START, Event::Request(free))).contains(&1));
    }
}

#[test]
fn sends_take_turns_among_equal_backends() {
    let mut gateway = gateway(settings(), &[1, 2, 3, 4]);
    let mut seen: BTreeMap<BackendId, u32> = BTreeMap::new();
    for id in 0..400 {
        let now = START + u64::from(id) * 10_000;
        let to = sent(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        *seen.entry(to[0]).or_default() += 1;
        step(&mut gateway, now, ended(id, 0, to[0], Outcome::Ok));
    }
    assert!(seen.values().all(|count| (80..=120).contains(count)), "{seen:?}");
}

#[test]
fn a_backend_that_fails_fast_is_left_alone_but_for_trials() {
    let mut gateway = gateway(settings(), &[1, 2, 3, 4]);
    let mut to_failing = 0;
    for id in 0..400 {
        let now = START + u64::from(id) * 10_000;
        let to = sent(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        to_failing += u32::from(to[0] == 1);
        let outcome = if to[0] == 1 { Outcome::Error } else { Outcome::Ok };
        let again = sent(&step(&mut gateway, now, ended(id, 0, to[0], outcome)));
        for backend in again {
            assert_ne!(backend, 1, "a second attempt goes elsewhere");
            step(&mut gateway, now, ended(id, 1, backend, Outcome::Ok));
        }
    }
    assert!(to_failing < 40, "{to_failing} of 400");
}

/// Of 200 attempts, how many go to one of four backends that has just started and answers in that time.
fn sent_to_cold(elapsed: Micros) -> u32 {
    let mut gateway = gateway(settings(), &[1, 2, 3, 4]);
    let mut cold = 0;
    for id in 0..600 {
        let now = START + u64::from(id) * 10_000;
        if id == 400 {
            let entries = vec![entry(1, Condition::Ready, now)];
            step(&mut gateway, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
        }
        let to = sent(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        let to_cold = id >= 400 && to[0] == 1;
        cold += u32::from(to_cold);
        let Event::AttemptEnded(end) = ended(id, 0, to[0], Outcome::Ok) else { unreachable!() };
        let elapsed = if to_cold { elapsed } else { end.elapsed };
        step(&mut gateway, now, Event::AttemptEnded(AttemptEnd { elapsed, ..end }));
    }
    cold
}

#[test]
fn a_cold_backend_gets_less_than_its_turn() {
    let cold = sent_to_cold(100_000);
    assert!((1..=20).contains(&cold), "{cold} of 200 where a full turn is 50");
}

#[test]
fn a_cold_backend_whose_answers_are_quick_gets_more_and_not_what_would_push_it_over() {
    let (by_age, by_answers) = (sent_to_cold(100_000), sent_to_cold(20_000));
    assert!(by_answers > by_age, "{by_answers} instead of {by_age}");
    // By its age alone it would be some 20 at most, and 36 is what is safe where only its age is right.
    assert!(by_answers <= 36, "{by_answers} of 200 where a full turn is 50");
}

#[test]
fn cold_backends_get_their_part_of_the_load_by_what_the_whole_fleet_can_do() {
    // Two warm ones and, from the fourth second on, six that started four seconds before, of ten: each of those
    // can do half of what a warm one can.
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut to_each = BTreeMap::new();
    for id in 0..2_000 {
        let now = START + u64::from(id) * 2_000;
        if id == 1_500 {
            let born = now - 4 * SECOND;
            let entries = (3..=8).map(|id| entry(id, Condition::Ready, born)).collect();
            step(&mut gateway, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
        }
        let to = sent(&step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        *to_each.entry(to[0]).or_insert(0u32) += u32::from(id >= 1_600);
        step(&mut gateway, now, ended(id, 0, to[0], Outcome::Ok));
    }
    let cold = (3..=8).map(|id| to_each.get(&id).copied().unwrap_or(0)).sum::<u32>();
    // By their capacity they would get six tenths; by turns of the whole fleet, three in eight.
    assert!((180..=260).contains(&cold), "{cold} of 400 to the cold: {to_each:?}");
}

#[test]
fn a_backend_that_answers_too_late_holds_one_attempt_and_leaves_the_places_to_others() {
    let mut gateway = gateway(Settings { gateways: 1, ..settings() }, &[1, 2]);
    let ask = |gateway: &mut Gateway, id, now| {
        sent(&step(gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })))
    };
    // What it is sent times out; the other one is busy, so that nothing is left out for want of an answer.
    for id in 0..200 {
        let now = START + u64::from(id) * 20_000;
        let Some(to) = ask(&mut gateway, id, now).first().copied() else { continue };
        let (outcome, elapsed) = if to == 1 { (Outcome::Timeout, 500_000) } else { (Outcome::Ok, 150_000) };
        let end = AttemptEnd { outcome, elapsed, closed: true, ..end_of(id, to) };
        step(&mut gateway, now, Event::AttemptEnded(end));
    }
    let now = START + 60 * SECOND;
    let to: Vec<BackendId> = (1000..1012).flat_map(|id| ask(&mut gateway, id, now)).collect();
    let late = to.iter().filter(|to| **to == 1).count();
    assert!(late <= 1 && to.len() - late >= 4, "{to:?}");
}

#[test]
fn units_sent_untold_may_be_sent_again_once_a_total_has_shown_them() {
    let mut gateway = gateway(settings(), &[1]);
    let ask = |id| Event::Request(Request { plan: 1, ..request(id, 9) });
    // Turned away twice, the counter is not waited for; a ceiling of twice the quota leaves five units a gateway.
    let mut calls = Vec::new();
    for id in 1..=2 {
        calls = counts(&step(&mut gateway, START, ask(id)));
        let full = Event::CounterAnswered {
            counter_id: calls[0].0,
            outcome: Outcome::Full,
            total: 0.0,
            elapsed: 1_000,
        };
        step(&mut gateway, START, full);
    }
    let now = START + SECOND;
    let alone = |gateway: &mut Gateway, ids: std::ops::Range<u32>| {
        ids.filter(|id| !sent(&step(gateway, now, ask(*id))).is_empty()).count()
    };
    let first = alone(&mut gateway, 10..20);
    assert!((1..=4).contains(&first), "{first} of 10");
    assert_eq!(alone(&mut gateway, 20..30), 0, "no more untold units");
    // The call that all of them asked for in vain shows what was sent.
    let total = Event::CounterAnswered {
        counter_id: calls[0].0,
        outcome: Outcome::Ok,
        total: first as f64,
        elapsed: 1_000,
    };
    step(&mut gateway, now, total);
    let again = alone(&mut gateway, 30..40);
    assert!((1..=first).contains(&again), "{again} after {first}");
}

#[test]
fn slow_answers_shrink_what_is_out() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let out = |gateway: &mut Gateway, ids: std::ops::Range<u32>, now| -> Vec<(RequestId, BackendId)> {
        let mut send = |id| sent(&step(gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) })));
        ids.map(|id| (id, send(id))).filter_map(|(id, to)| to.first().map(|to| (id, *to))).collect()
    };
    let first = out(&mut gateway, 0..100, START);
    for (id, backend) in &first {
        let late = AttemptEnd { elapsed: 490_000, ..end_of(*id, *backend) };
        step(&mut gateway, START + u64::from(*id) * 100_000, Event::AttemptEnded(late));
    }
    let second = out(&mut gateway, 1000..1100, START + 60 * SECOND);
    assert!(!second.is_empty() && second.len() < first.len(), "{} then {}", first.len(), second.len());
}

fn end_of(request: RequestId, backend: BackendId) -> AttemptEnd {
    match ended(request, 0, backend, Outcome::Ok) {
        Event::AttemptEnded(end) => end,
        other => panic!("{other:?}"),
    }
}

#[test]
fn no_backend_at_all_still_ends_every_request() {
    let mut gateway = gateway(settings(), &[]);
    let actions = step(&mut gateway, START, Event::Request(Request { plan: 2, ..request(1, 9) }));
    assert!(actions.iter().any(|action| matches!(action, Action::Timer { .. })));
    assert!(refused(&step(&mut gateway, START + SECOND, Event::Timer { token: 0 })));
}

#[test]
fn what_is_over_is_ignored() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let strange = [
        Event::Timer { token: 99 },
        Event::Abandoned { request: 5 },
        ended(5, 0, 1, Outcome::Timeout),
        Event::CounterAnswered { counter_id: 5, outcome: Outcome::Ok, total: 1.0, elapsed: 1 },
        Event::ResponseStarted { request: 5, attempt: 0, backend: 1, elapsed: 1 },
        Event::PeerMessage { from: 1, data: vec![1, 2, 3] },
        Event::Probed { backend: 8, outcome: Outcome::Ok, elapsed: 1, report: Vec::new() },
    ];
    for event in strange {
        assert_eq!(step(&mut gateway, START, event), []);
    }
    let unknown = Request { class: 40, ..request(1, 9) };
    assert_eq!(
        step(&mut gateway, START, Event::Request(unknown)),
        [Action::Fail { request: 1, reason: RejectionReason::Unknown }]
    );
}

#[test]
fn many_gateways_told_of_a_start_at_once_do_not_all_begin_at_once() {
    // Three hundred gateways, each sending five requests a second to ten backends, the tenth just started:
    // its usual share is 150 a second, and at a fifth of its capacity it may get no more than three times 30.
    let mut first_second = 0;
    for seed in 0..300 {
        let mut gateway = Gateway::new(Settings { gateways: 300, ..settings() }, seed);
        let ids: Vec<BackendId> = (1..=9).collect();
        step(&mut gateway, START, list(&ids));
        for id in 0..75 {
            let now = START + u64::from(id) * SECOND / 5;
            if id == 50 {
                let entries = vec![entry(10, Condition::Ready, now)];
                step(&mut gateway, now, Event::Backends { kind: ListKind::Delta, version: 2, entries });
            }
            let actions = step(&mut gateway, now, Event::Request(Request { plan: 2, ..request(id, 9) }));
            let to = sent(&actions);
            first_second += usize::from((50..55).contains(&id) && to.contains(&10));
            to.iter().for_each(|to| drop(step(&mut gateway, now, ended(id, 0, *to, Outcome::Ok))));
        }
    }
    assert!((5..=60).contains(&first_second), "{first_second} attempts in the first second");
}

#[test]
fn customers_and_backends_that_are_gone_are_forgotten() {
    let mut gateway = gateway(settings(), &[1, 2]);
    let mut now = START;
    // Each comes once only, and backends are replaced all the while.
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
                Action::Send { request, backend, .. } => Some(ended(request, 0, backend, Outcome::Ok)),
                _ => None,
            }));
        }
        if number % 10 == 0 {
            step(&mut gateway, now, list(&[number, number + 1]));
        }
    }
    // Some windows of customers, of two seconds each, and the backends of the last list.
    let (customers, backends) = gateway.entry_counts();
    assert!((1..500).contains(&customers), "{customers}");
    assert_eq!(backends, 2);
    // A late word of one that is forgotten ends nothing.
    step(&mut gateway, now, ended(3, 0, 1, Outcome::Reset));
    step(
        &mut gateway,
        now,
        Event::CounterAnswered { counter_id: 7, outcome: Outcome::Ok, total: 1.0, elapsed: 1_000 },
    );
}

/// Units that are said to peers, by customer.
fn told(actions: &[Action]) -> f64 {
    let data = actions.iter().filter_map(|action| match action {
        Action::SendPeerMessage { to: None, data } => Some(data),
        _ => None,
    });
    let records = data.flat_map(|data| data.chunks_exact(12));
    records.map(|record| f64::from(f32::from_le_bytes(record[8..].try_into().unwrap()))).sum()
}

#[test]
fn while_the_counter_is_crowded_peers_tell_of_units_and_hold_one_quota() {
    let mut settings = settings();
    (settings.limits.peer_messages, settings.limits.peer_message_rate) = (true, 40.0);
    let mut gateways: Vec<_> = (0..2)
        .map(|index| {
            let mut gateway = Gateway::new(Settings { index, ..settings.clone() }, 7 + u64::from(index));
            step(&mut gateway, START, list(&[1, 2, 3]));
            gateway
        })
        .collect();
    let (mut sent, mut bytes) = (0.0, 0);
    // No call is answered in time. The customer asks for four times its quota of 5 units a second, all of it at
    // one gateway in one half of the time and at the other in the other: parts learned before tell nothing.
    let calm = 10 * SECOND;
    for number in 0..800u32 {
        let (now, at) = (START + u64::from(number) * 50_000, usize::from(number / 60 % 2 == 1));
        let mut events = vec![(at, Event::Request(request(number, 42)))];
        while let Some((at, event)) = events.pop() {
            let actions = step(&mut gateways[at], now, event);
            bytes += told(&actions) as usize;
            events.extend(actions.into_iter().filter_map(|action| match action {
                Action::AddToCounter { counter_id, .. } => {
                    let (outcome, total) = (Outcome::Timeout, 0.0);
                    Some((at, Event::CounterAnswered { counter_id, outcome, total, elapsed: 50_000 }))
                }
                Action::Send { request, backend, .. } => {
                    sent += if now > START + calm { 1.0 } else { 0.0 };
                    Some((at, ended(request, 0, backend, Outcome::Ok)))
                }
                Action::SendPeerMessage { data, .. } => {
                    Some((1 - at, Event::PeerMessage { from: at as u32, data }))
                }
                _ => None,
            }));
        }
    }
    assert!(bytes > 0, "peers were told");
    // 30 s at 5 units a second, and a burst of 10.
    assert!((100.0..185.0).contains(&sent), "{sent}");
}

/// Customers that ask one after another while the counter needs `waited`, and the spacing of calls after that (us).
fn spacing_after(gateway: &mut Gateway, ids: std::ops::Range<RequestId>, elapsed: Micros) -> f64 {
    for id in ids {
        let now = START + u64::from(id) * 100_000;
        for (counter_id, _) in counts(&step(gateway, now, Event::Request(request(id, 500 + u64::from(id))))) {
            let told = Event::CounterAnswered { counter_id, outcome: Outcome::Ok, total: 1.0, elapsed };
            step(gateway, now + elapsed, told);
        }
    }
    gateway.fleet_view().counter_query_interval
}

#[test]
fn a_far_counter_is_not_crowded_and_one_that_gets_slower_is() {
    // Its answers come in time, though past half of the time-out.
    let mut far = gateway(settings(), &[1, 2]);
    assert_eq!(spacing_after(&mut far, 1..200, 29_000), 0.0);
    // As late, by a counter that has answered at once: there is a queue.
    let mut near = gateway(settings(), &[1, 2]);
    assert_eq!(spacing_after(&mut near, 1..10, 2_000), 0.0);
    assert!(spacing_after(&mut near, 10..20, 29_000) >= 50_000.0);
    // And as it answers at once again, it is asked again.
    assert!(spacing_after(&mut near, 20..400, 2_000) < 4_000.0);
    // A far one in its place is no slower one.
    near.counter_replaced();
    assert!(spacing_after(&mut near, 400..600, 29_000) < 4_000.0);
}
