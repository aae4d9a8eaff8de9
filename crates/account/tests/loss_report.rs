//! The loss report over a decision log: which records are counted and which lines are skipped.

use std::time::Duration;
use violetyoke_account::{Loss, LossCause, LossReport, NodeHealth, NodeState, Record};

fn final_record(timestamp: u64, outcome: &str, reason: &str, latency: u64, value: f64) -> Record {
    let (class, plan) = ("read".to_string(), "basic".to_string());
    let (outcome, reason) = (outcome.to_string(), reason.to_string());
    Record::Final {
        timestamp,
        process: 1,
        class,
        plan,
        value,
        outcome,
        reason,
        latency,
        latency_target: 500_000,
        attempts: 1,
    }
}

#[test]
fn losses_are_summed_by_cause_and_include_responses_past_the_latency_target() {
    let records = [
        final_record(1_000_000, "served", "", 400_000, 2.0),
        final_record(1_100_000, "served", "", 600_000, 3.0),
        final_record(2_500_000, "refused", "Held", 100, 1.0),
        final_record(2_600_000, "refused", "Held", 100, 4.0),
    ];
    let log: String =
        records.iter().map(|record| format!("[1.02] {}\n", record.to_log_line().unwrap())).collect();
    let mut report = LossReport::new(Duration::from_secs(1));
    assert_eq!(report.add_log(&log), 4);
    let totals = report.totals();
    assert_eq!((totals.offered, totals.in_time), (10.0, 2.0));
    let loss = |outcome: &str, reason: &str, requests: u32, value: f64| {
        let cause = LossCause { outcome: outcome.into(), reason: reason.into(), class: "read".into() };
        Loss { cause, requests, value }
    };
    assert_eq!(totals.losses, [loss("refused", "Held", 2, 5.0), loss("served", "", 1, 3.0)]);
}

#[test]
fn lines_without_a_record_are_skipped_and_a_truncated_record_is_counted_as_unreadable() {
    let mut report = LossReport::new(Duration::from_secs(1));
    let record = final_record(1_000_000, "served", "", 1, 1.0).to_log_line().unwrap();
    let log = format!("by hand: n1 is out\nno account 7 here\n{record}\n{}", &record[..record.len() - 4]);
    assert_eq!((report.add_log(&log), report.unreadable()), (2, 1));
    assert_eq!(report.totals().offered, 1.0);
}

#[test]
fn state_record_round_trips_through_a_log_line() {
    let nodes = vec![NodeState {
        name: "n1".into(),
        health: NodeHealth::Cold,
        relative_latency: 1.5,
        failure_rate: 0.25,
        in_flight: 3,
    }];
    let (concurrency_limit, relative_latency, counter_interval, counter_calls) = (8.0, 1.25, 0.0, [3, 2, 1]);
    let state = Record::State {
        timestamp: 7,
        process: 2,
        concurrency_limit,
        in_flight: 4,
        relative_latency,
        counter_interval,
        counter_errors: 1,
        counter_calls,
        nodes,
    };
    assert_eq!(Record::parse_log_line(&state.to_log_line().unwrap()).unwrap().unwrap(), state);
}

#[test]
fn report_text_lists_losses_and_nodes_by_interval() {
    let nodes = vec![NodeState {
        name: "n1".into(),
        health: NodeHealth::Cold,
        relative_latency: 1.5,
        failure_rate: 0.25,
        in_flight: 3,
    }];
    let (concurrency_limit, relative_latency, counter_interval, counter_calls) =
        (8.0, 1.25, 2_000.0, [3, 2, 1]);
    let attempt = |outcome: &str, duration: u64| Record::Attempt {
        timestamp: 1_200_000,
        process: 1,
        node: "n1".into(),
        outcome: outcome.into(),
        duration,
    };
    let mut report = LossReport::new(Duration::from_secs(1));
    for record in [
        final_record(1_000_000, "served", "", 400_000, 2.0),
        final_record(1_100_000, "served", "", 600_000, 3.0),
        attempt("Ok", 30_000),
        attempt("Timeout", 50_000),
        Record::State {
            timestamp: 1_300_000,
            process: 1,
            concurrency_limit,
            in_flight: 4,
            relative_latency,
            counter_interval,
            counter_errors: 1,
            counter_calls,
            nodes,
        },
        final_record(2_500_000, "refused", "Held", 100, 1.0),
    ] {
        report.add(record);
    }

    let text = report.to_string();

    assert_eq!(
        text,
        "processes=1 unread=0\n\
         worth asked for 6, in time 33.3%; lost:\n\
         \x20  50.0%       1 times  served              read\n\
         \x20  16.7%       1 times  refused  Held       read\n\
         from 0.0 s: in time 40.0%  room 8.0 out 4.0 pace 1.2 spacing 2 ms  calls 3 unanswered 2 failed 1\n\
         \x20   lost  60.0%      1 times  served              read\n\
         \x20   n1           attempts     2 served     1 timeouts     1  mean   30 ms  slow  1.5  Cold 1\n\
         from 1.0 s: in time 0.0%  room 0.0 out 0.0 pace 0.0 spacing 0 ms  calls 0 unanswered 0 failed 0\n\
         \x20   lost 100.0%      1 times  refused  Held       read\n"
    );
}
