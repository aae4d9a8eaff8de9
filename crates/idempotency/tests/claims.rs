//! The decisions of a table on claims and on their outcomes.

#![cfg(test)]
#![allow(
    unreachable_pub,
    dead_code,
    reason = "support modules are public to the tests, which use parts of them"
)]

mod support;

use support::{claim_of, holder, id, key, table, table_of, TIMEOUT, WINDOW};
use violetyoke_idempotency::{ClaimRequest, Decision, OperationTable, StateCounts, EXPIRY_SLACK_MS};
use violetyoke_transport::messages::OperationState;

const FIRST: u64 = 1;
const SECOND: u64 = 2;

/// The history of an operation before the claim under test.
#[derive(Clone, Copy, Debug)]
enum History {
    New,
    Claimed,
    Released,
    Unknown,
    Executed,
}

/// A table in which the first holder claimed the operation at 0 with the id 1, followed by the outcome of this
/// history.
fn table_after(history: History) -> OperationTable {
    let mut table = table();
    if matches!(history, History::New) {
        return table;
    }
    assert!(matches!(table.claim(0, id(1), &claim_of(key(1), FIRST)), Decision::Replicate(_)));
    let recorded = match history {
        History::New | History::Claimed => return table,
        History::Released => table.release(0, id(2), &key(1), holder(FIRST)),
        History::Unknown => table.abandon(0, &key(1), holder(FIRST)),
        History::Executed => table.complete(0, &key(1), holder(FIRST)),
    };
    assert!(recorded.is_some());
    table
}

fn describe(decision: &Decision) -> String {
    match decision {
        Decision::Replicate(record) => format!("granted {}", record.claim.sequence),
        Decision::InProgress { retry_after_ms } => format!("in progress {retry_after_ms}"),
        Decision::Executed { holder } => format!("executed by {}", holder.request),
        Decision::Unknown => "unknown".into(),
        Decision::Refused => "refused".into(),
    }
}

/// Guards against a claim that is granted although the operation may have been executed, or refused although it
/// was not.
#[test]
fn claim_is_granted_only_if_the_operation_cannot_have_been_executed() {
    let expired = WINDOW + u64::from(TIMEOUT) + EXPIRY_SLACK_MS;
    let overdue = u64::from(TIMEOUT);
    // The history, the holder that claims, the time of its claim, and the decision: for an ordinary service,
    // and for one that deduplicates requests itself.
    let cases = [
        (History::New, FIRST, 0, "granted 9", "granted 9"),
        (History::Claimed, FIRST, 500, "granted 1", "granted 1"),
        (History::Claimed, FIRST, overdue, "granted 1", "granted 1"),
        (History::Claimed, SECOND, 500, "in progress 1500", "in progress 1500"),
        (History::Claimed, SECOND, overdue - 1, "in progress 1", "in progress 1"),
        (History::Claimed, SECOND, overdue, "unknown", "granted 9"),
        (History::Claimed, SECOND, expired - 1, "unknown", "granted 9"),
        (History::Claimed, SECOND, expired, "granted 9", "granted 9"),
        (History::Released, FIRST, 500, "refused", "refused"),
        (History::Released, SECOND, 500, "granted 9", "granted 9"),
        (History::Released, FIRST, expired, "granted 9", "granted 9"),
        (History::Unknown, FIRST, 500, "unknown", "unknown"),
        (History::Unknown, SECOND, 500, "unknown", "granted 9"),
        (History::Unknown, SECOND, expired - 1, "unknown", "granted 9"),
        (History::Unknown, SECOND, expired, "granted 9", "granted 9"),
        (History::Executed, FIRST, 500, "executed by 1", "executed by 1"),
        (History::Executed, SECOND, 500, "executed by 1", "executed by 1"),
        (History::Executed, SECOND, expired - 1, "executed by 1", "executed by 1"),
        (History::Executed, SECOND, expired, "granted 9", "granted 9"),
    ];
    for (history, claimant, now, ordinary, self_deduplicating) in cases {
        for (is_self_deduplicating, expected) in [(false, ordinary), (true, self_deduplicating)] {
            let request = ClaimRequest { is_self_deduplicating, ..claim_of(key(1), claimant) };
            let decision = table_after(history).claim(now, id(9), &request);
            assert_eq!(describe(&decision), expected, "{history:?}, holder {claimant} at {now}: {request:?}");
        }
    }
}

/// Guards against a late release that frees an operation which another holder executes by then.
#[test]
fn repeated_release_does_not_free_a_second_claim() {
    let mut table = table_after(History::Released);
    assert!(matches!(table.claim(10, id(3), &claim_of(key(1), SECOND)), Decision::Replicate(_)));
    assert_eq!(table.release(20, id(4), &key(1), holder(FIRST)), None);
    assert_eq!(table.get(&key(1)), Some(OperationState::Claimed));
}

/// Guards against a late outcome that replaces a final one, or that comes from a holder without the current
/// claim.
#[test]
fn late_outcomes_change_nothing() {
    for history in [History::Released, History::Unknown, History::Executed] {
        let mut table = table_after(history);
        let state = table.get(&key(1));
        assert_eq!(table.release(20, id(4), &key(1), holder(FIRST)), None, "{history:?}");
        assert_eq!(table.complete(20, &key(1), holder(SECOND)), None, "{history:?}");
        assert_eq!(table.abandon(20, &key(1), holder(SECOND)), None, "{history:?}");
        if !matches!(history, History::Released) {
            assert_eq!(table.abandon(20, &key(1), holder(FIRST)), None, "{history:?}");
        }
        if matches!(history, History::Executed) {
            assert_eq!(table.complete(20, &key(1), holder(FIRST)), None, "{history:?}");
        }
        assert_eq!(table.get(&key(1)), state, "{history:?}");
    }
}

/// Guards against a claim that arrives after its release, is granted, and then blocks the operation until it
/// expires.
#[test]
fn claim_that_arrives_after_its_release_is_refused() {
    let mut table = table();
    let record = table.release(0, id(1), &key(1), holder(FIRST)).expect("a record");
    assert_eq!((record.claim, &record.state), (id(1), &OperationState::Released));
    assert_eq!(table.claim(10, id(2), &claim_of(key(1), FIRST)), Decision::Refused);
    assert_eq!(describe(&table.claim(20, id(2), &claim_of(key(1), SECOND))), "granted 2");
}

/// Guards against a leader whose claim ids are not above those of an earlier leader.
#[test]
fn claim_is_refused_if_its_id_is_not_the_highest() {
    let mut table = table_after(History::Released);
    assert_eq!(table.claim(10, id(1), &claim_of(key(1), SECOND)), Decision::Refused);
}

/// Guards against a full table that evicts records early or rejects the outcomes of its claims.
#[test]
fn full_table_keeps_its_records_and_accepts_outcomes_of_its_claims() {
    let mut table = table_of(4_000);
    let mut granted = Vec::new();
    for number in 1..100 {
        match table.claim(0, id(number), &claim_of(key(number), number)) {
            Decision::Replicate(_) => granted.push(number),
            decision => assert_eq!(decision, Decision::Refused),
        }
    }
    assert!((2..20).contains(&granted.len()), "{granted:?}");
    assert_eq!(
        table.release(0, id(100), &key(100), holder(100)),
        None,
        "no space for a release without a claim"
    );
    for number in granted.clone() {
        assert!(table.complete(1, &key(number), holder(number)).is_some());
    }
    assert_eq!(table.counts(), StateCounts { executed: granted.len(), ..StateCounts::default() });
    assert!(table.bytes() > 4_000 - 600);
    let expired = WINDOW + u64::from(TIMEOUT) + EXPIRY_SLACK_MS;
    table.expire(expired - 1);
    assert_eq!(table.len(), granted.len());
    table.expire(expired);
    assert_eq!((table.len(), table.bytes()), (0, 0));
    assert_eq!(describe(&table.claim(expired, id(101), &claim_of(key(1), 101))), "granted 101");
}
