//! The table of a log: what is counted, and what is passed over.

use violetyoke_account::{Belief, Node, Record, Table};

fn answered(at: u64, end: &str, why: &str, age: u64, worth: f64) -> Record {
    let (class, plan) = ("read".to_string(), "basic".to_string());
    let (end, why) = (end.to_string(), why.to_string());
    Record::Final { at, process: 1, class, plan, worth, end, why, age, aim: 500_000, attempts: 1 }
}

#[test]
fn worth_is_lost_by_rule_and_an_answer_past_its_aim_is_lost_too() {
    let records = [
        answered(1_000_000, "served", "", 400_000, 2.0),
        answered(1_100_000, "served", "", 600_000, 3.0),
        answered(2_500_000, "refused", "Held", 100, 1.0),
        answered(2_600_000, "refused", "Held", 100, 4.0),
    ];
    let log: String = records.iter().map(|record| format!("[1.02] {}\n", record.line())).collect();
    let mut table = Table::new(1_000_000);
    assert_eq!(table.read(&log), 4);
    let (offered, in_time, lost) = table.losses();
    assert_eq!((offered, in_time), (10.0, 2.0));
    let loss = |end: &str, why: &str| (end.to_string(), why.to_string(), "read".to_string());
    assert_eq!(lost, [(loss("refused", "Held"), 2, 5.0), (loss("served", ""), 1, 3.0)]);
}

#[test]
fn other_lines_are_passed_over_and_a_record_cut_off_is_told() {
    let mut table = Table::new(1_000_000);
    let whole = answered(1_000_000, "served", "", 1, 1.0).line();
    let log = format!("by hand: n1 is out\nno account 7 here\n{whole}\n{}", &whole[..whole.len() - 4]);
    assert_eq!((table.read(&log), table.unread), (2, 1));
    assert_eq!(table.losses().0, 1.0);
}

#[test]
fn a_state_reads_back_as_it_was_written() {
    let nodes = vec![Node { node: "n1".into(), belief: Belief::Cold, slow: 1.5, fails: 0.25, out: 3 }];
    let (room, pace, spacing, calls) = (8.0, 1.25, 0.0, [3, 2, 1]);
    let state = Record::State { at: 7, process: 2, room, out: 4, pace, spacing, bad: 1, calls, nodes };
    assert_eq!(Record::read(&state.line()).unwrap().unwrap(), state);
}
