//! Requests with an operation key: clients repeat them, the checker detects violations, and each is executed once.

#![cfg(test)]

use slog::{o, Discard, Logger};
use std::collections::BTreeSet;
use violetyoke_api::quantity::Seconds;
use violetyoke_emulator::checker::check;
use violetyoke_emulator::day::Day;
use violetyoke_emulator::event::{Event, EventKind};
use violetyoke_emulator::figures::Figures;
use violetyoke_emulator::records::{
    Answer, Arrival, Attempt, Command, CommandRecord, Incarnation, Millis, Records,
};
use violetyoke_emulator::simulation::simulate;
use violetyoke_emulator::site::Site;

/// The index of the bookings among the kinds of requests, and of their service.
const BOOKINGS: usize = 1;
const KEY: &str = "operation-1";

fn site() -> Site {
    Site::rooms(1, 4.0).with_keyed_bookings()
}

fn answer(attempt: &str) -> Answer {
    Answer { seal: format!("seal of {attempt}"), body: format!("i-1 ran {attempt}") }
}

/// An attempt of tenant 0 at the operation, which got `answer` as a success.
fn attempt(id: &str, sent: Millis, answer: Answer) -> Attempt {
    Attempt {
        id: id.into(),
        request: 0,
        kind: BOOKINGS,
        key: "key-0".into(),
        operation_key: Some(KEY.into()),
        zone: 0,
        sent,
        ended: Some(sent + 100),
        status: 200,
        is_valid: true,
        answer: Some(answer),
    }
}

fn execution(id: &str, at: Millis, answer: Option<Answer>) -> Arrival {
    Arrival {
        at,
        incarnation: 0,
        id: id.into(),
        tenant: Some("tenant-0".into()),
        path: format!("/book/{id}"),
        was_executed: true,
        answer,
        was_misdirected: false,
    }
}

/// Records of an operation that was executed once, and whose repeat got the answer of that execution.
fn records() -> Records {
    let command = Command::Configuration {
        version: 1,
        text: String::new(),
        keys: vec!["key-0".into(), "key-1".into()],
        services: vec![0, 1, 2],
        is_valid: true,
    };
    let acknowledged_at = Some(1);
    Records {
        attempts: vec![attempt("first", 10_000, answer("first")), attempt("again", 12_000, answer("first"))],
        arrivals: vec![execution("first", 10_050, Some(answer("first")))],
        incarnations: vec![Incarnation {
            id: "i-1".into(),
            service: BOOKINGS,
            zone: 0,
            slow_starts: Vec::new(),
            draining_since: None,
        }],
        commands: vec![CommandRecord {
            command,
            sent: 0,
            acknowledged_at,
            acknowledged_by: None,
            was_rejected: false,
        }],
        read_back: Some((1, String::new())),
        ..Records::default()
    }
}

fn broken_rules(site: &Site, change: impl Fn(&mut Records)) -> Vec<&'static str> {
    let mut records = records();
    change(&mut records);
    check(site, &records).into_iter().map(|violation| violation.rule).collect()
}

/// The repeat is executed too, at the given time, and gets the answer of its own execution.
fn execute_again(records: &mut Records, at: Millis) {
    records.attempts[1] = attempt("again", at - 50, answer("again"));
    records.arrivals.push(execution("again", at, Some(answer("again"))));
}

// Guards against a checker that counts an executed repeat as a separate operation.
#[test]
fn second_execution_within_the_window_is_detected() {
    let site = site();
    let window = site.bounds.dedup_window_s.to_millis();
    assert_eq!(broken_rules(&site, |_| {}), [""; 0]);
    assert_eq!(
        broken_rules(&site, |records| execute_again(records, 10_000 + window - 1)),
        ["TWICE", "MIXED"]
    );
    assert_eq!(broken_rules(&site, |records| execute_again(records, 10_000 + window)), [""; 0]);
    // The same key of another tenant is another operation.
    let of_another_tenant = |records: &mut Records| {
        execute_again(records, 12_050);
        records.attempts[1].key = "key-1".into();
        records.arrivals[1].tenant = Some("tenant-1".into());
    };
    assert_eq!(broken_rules(&site, of_another_tenant), [""; 0]);
}

// Guards against a checker that ignores aborted executions: only a service that deduplicates may execute again.
#[test]
fn aborted_execution_counts_unless_the_service_deduplicates() {
    let mut site = site();
    let after_an_aborted_execution = |records: &mut Records| {
        execute_again(records, 12_050);
        records.arrivals[0].answer = None;
        (records.attempts[0].status, records.attempts[0].answer) = (502, None);
    };
    assert_eq!(broken_rules(&site, after_an_aborted_execution), ["TWICE", "MIXED"]);
    site.services[BOOKINGS].self_dedup = true;
    assert_eq!(broken_rules(&site, after_an_aborted_execution), [""; 0]);
    assert_eq!(broken_rules(&site, |records| execute_again(records, 12_050)), ["TWICE", "MIXED"]);
}

// Guards against repeats that get another seal or body than those of the first execution.
#[test]
fn successful_repeat_without_the_answer_of_the_first_execution_is_detected() {
    let site = site();
    let mixed = |change: fn(&mut Answer)| {
        broken_rules(&site, |records| records.attempts[1].answer.as_mut().into_iter().for_each(change))
    };
    assert_eq!(mixed(|answer| answer.seal.push('x')), ["MIXED"]);
    assert_eq!(mixed(|answer| answer.body.push('x')), ["MIXED"]);
    assert_eq!(broken_rules(&site, |records| records.arrivals.clear()), ["MIXED", "MIXED"]);
    let in_progress = |records: &mut Records| {
        (records.attempts[1].status, records.attempts[1].answer) = (409, None);
    };
    assert_eq!(broken_rules(&site, in_progress), [""; 0]);
    let refused = |records: &mut Records| records.attempts[0].status = 503;
    assert_eq!(broken_rules(&site, refused), ["REFUSED"]);
}

/// The number of operations repeated after a success, and the number of those sent from several zones.
fn repeated(records: &Records) -> (usize, usize) {
    let attempts = |index: usize| records.attempts.iter().filter(move |attempt| attempt.request == index);
    let (mut after_success, mut zones) = (0, 0);
    for (index, request) in records.requests.iter().enumerate().filter(|(_, it)| it.operation_key.is_some()) {
        let is_after = |sent: Millis| request.served_at.is_some_and(|at| sent > at);
        after_success += usize::from(attempts(index).any(|attempt| is_after(attempt.sent)));
        let from: BTreeSet<usize> = attempts(index).map(|attempt| attempt.zone).collect();
        zones += usize::from(from.len() > 1);
        assert!(attempts(index).all(|attempt| attempt.operation_key == request.operation_key));
    }
    (after_success, zones)
}

// Guards against days on which no operation is ever repeated, so that other tests can't fail.
#[test]
fn operations_are_repeated_after_answers_and_faults_and_from_other_zones() {
    let mut day = Day::quiet(4);
    let quiet = simulate(&site(), &day, &silent()).expect("a runtime").records;
    let operations = quiet.requests.iter().filter(|request| request.operation_key.is_some()).count();
    let (after_success, zones) = repeated(&quiet);
    println!(
        "{operations} operations: {after_success} sent again after a success, {zones} from several zones"
    );
    assert!(after_success * 100 > operations * 4 && zones > 0);

    let kind = EventKind::Kill { machines: (0..7).collect(), is_power_lost: true, down: 1_200 };
    day.events.push(Event { at: 20_000, kind });
    let (after_fault, zones_after_fault) =
        repeated(&simulate(&site(), &day, &silent()).expect("a runtime").records);
    println!(
        "with a fault: {after_fault} sent again after a success, {zones_after_fault} from several zones"
    );
    assert!(after_fault > after_success + 10 && zones_after_fault > zones + 10);
}

// Guards against operations that are executed twice when machines are lost, and against repeats with another answer.
#[test]
fn operations_are_executed_once_on_days_with_faults() {
    let generate: [fn(u64, &Site) -> Day; 2] = [Day::from_seed, Day::with_core_faults];
    for (site, seeds) in [(site(), 1..=3), (site().with_five_cores(), 5..=6)] {
        for (seed, generate) in seeds.flat_map(|seed| generate.map(|generate| (seed, generate))) {
            let day = generate(seed, &site);
            let records = simulate(&site, &day, &silent()).expect("a runtime").records;
            assert_eq!(check(&site, &records), [], "seed {seed}: {:?}", day.events);
        }
    }
}

// Guards against days that pass even if a request is forwarded before its claim is on disk.
#[test]
fn operations_are_executed_twice_if_logs_report_syncs_that_they_have_not_done() {
    let mut day = Day::quiet(4);
    let kind = EventKind::Kill { machines: (0..7).collect(), is_power_lost: true, down: 1_200 };
    day.events.push(Event { at: 20_000, kind });
    let rules = |site: &Site| -> BTreeSet<&'static str> {
        let records = simulate(site, &day, &silent()).expect("a runtime").records;
        check(site, &records).into_iter().map(|violation| violation.rule).collect()
    };
    let lying = Site { has_lying_logs: true, ..site() };
    let broken = rules(&lying);
    assert!(broken.contains("TWICE"), "{broken:?}");
    assert_eq!(rules(&site()), BTreeSet::new());
}

fn silent() -> Logger {
    Logger::root(Discard, o!())
}

// Guards against stores that end, or forget operations at once, because the window in which they run once is beyond the range
// of their clocks.
#[test]
fn operations_run_once_in_a_window_of_any_length() {
    for window_s in [1e16, 1e300, f64::MAX] {
        let mut site = site();
        site.bounds.dedup_window_s = Seconds::new(window_s);
        let mut day = Day::quiet(3);
        day.events.push(Event { at: 4_000, kind: EventKind::LoseResponses { part: 0.2, span: 8_000 } });
        let records = simulate(&site, &day, &silent()).expect("a runtime").records;
        assert_eq!(check(&site, &records), [], "{window_s}");
        let figures = Figures::of(&site, &records);
        assert!(figures.served > 0.9, "{window_s}: {figures}");
    }
}
