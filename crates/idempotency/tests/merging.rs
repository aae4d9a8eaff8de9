//! Merging of records between stores: the order of merges makes no difference, and digests show which buckets
//! differ.

#![cfg(test)]
#![allow(
    unreachable_pub,
    dead_code,
    reason = "support modules are public to the tests, which use parts of them"
)]

mod support;

use proptest::prelude::*;
use support::{claim_of, holder, id, key, table, TIMEOUT};
use violetyoke_idempotency::{bucket_of, Decision, OperationTable};
use violetyoke_transport::messages::{
    BucketContents, BucketDigest, BucketId, Epoch, OperationRecord, OperationState,
};

fn any_state() -> impl Strategy<Value = OperationState> {
    prop_oneof![
        Just(OperationState::Claimed),
        Just(OperationState::Released),
        Just(OperationState::Unknown),
        Just(OperationState::Executed),
    ]
}

/// Records of few operations over few buckets. Each claim has one operation and one holder, as in production.
fn any_record() -> impl Strategy<Value = OperationRecord> {
    (0u64..200, 1u32..1_000).prop_flat_map(|(sequence, keep_ms)| {
        any_state().prop_map(move |state| OperationRecord {
            key: key(sequence % 7),
            claim: id(sequence),
            holder: holder(sequence),
            timeout_ms: TIMEOUT,
            keep_ms,
            state,
        })
    })
}

fn any_records() -> impl Strategy<Value = Vec<OperationRecord>> {
    prop::collection::vec(any_record(), 0..30)
}

fn table_with(records: impl IntoIterator<Item = OperationRecord>) -> OperationTable {
    let mut table = table();
    for record in records {
        table.merge(0, record);
    }
    table
}

/// All records of a table at time 0.
fn contents(table: &OperationTable) -> Vec<BucketContents> {
    table.digests().into_iter().map(|digest| table.bucket(0, digest.bucket)).collect()
}

/// The records of a table without their expiries: stores have to agree on all other fields.
fn without_expiries(table: &OperationTable) -> Vec<OperationRecord> {
    let records = contents(table).into_iter().flat_map(|bucket| bucket.records);
    records.map(|record| OperationRecord { keep_ms: 0, ..record }).collect()
}

/// One round of catching up: the store replaces all buckets that differ from the leader's.
fn replace_differing(store: &mut OperationTable, leader: &OperationTable) {
    let offered = leader.digests();
    for bucket in [store.differing(&offered), store.absent_in(&offered)].concat() {
        store.replace_bucket(0, leader.bucket(0, bucket));
    }
}

proptest! {
    /// Guards against stores that differ because they received the same records in another order.
    #[test]
    fn merge_result_does_not_depend_on_the_order(
        (records, shuffled) in any_records().prop_flat_map(|all| (Just(all.clone()), Just(all).prop_shuffle()))
    ) {
        prop_assert_eq!(contents(&table_with(records)), contents(&table_with(shuffled)));
    }

    /// Guards against a merge of complete tables whose result depends on the grouping or on repetition.
    #[test]
    fn merge_of_tables_is_associative_and_idempotent(
        first in any_records(), second in any_records(), third in any_records()
    ) {
        let records_of = |table: &OperationTable| contents(table).into_iter().flat_map(|bucket| bucket.records);
        let all = table_with([first.clone(), second.clone(), third.clone()].concat());
        let later_two = table_with([second, third].concat());
        let mut grouped = table_with(first);
        records_of(&later_two).for_each(|record| { grouped.merge(0, record); });
        prop_assert_eq!(contents(&grouped), contents(&all));
        let repeated = records_of(&all).filter(|record| grouped.merge(0, record.clone())).count();
        prop_assert_eq!(repeated, 0);
        prop_assert_eq!(contents(&grouped), contents(&all));
    }

    /// Guards against a store that counts as complete although it lacks a record, and against unnecessary
    /// transfers.
    #[test]
    fn digests_are_equal_exactly_if_contents_are(first in any_records(), second in any_records()) {
        let (first, second) = (table_with(first), table_with(second));
        prop_assert_eq!(first.digests() == second.digests(), without_expiries(&first) == without_expiries(&second));
        let offered = second.digests();
        let differs = !first.differing(&offered).is_empty() || !first.absent_in(&offered).is_empty();
        prop_assert_eq!(differs, without_expiries(&first) != without_expiries(&second));
    }

    /// Guards against digests and sizes that are updated incorrectly by a change and drift from the records.
    #[test]
    fn digest_and_size_depend_on_the_records_alone(records in any_records()) {
        let table = table_with(records);
        let rebuilt = table_with(contents(&table).into_iter().flat_map(|bucket| bucket.records));
        prop_assert_eq!(table.digests(), rebuilt.digests());
        prop_assert_eq!((table.bytes(), table.counts()), (rebuilt.bytes(), rebuilt.counts()));
    }

    /// Guards against a store that never catches up because it keeps records that its leader lacks.
    #[test]
    fn store_that_replaces_differing_buckets_converges_to_its_leader(store_records in any_records(), leader_records in any_records()) {
        let (mut store, leader) = (table_with(store_records), table_with(leader_records));
        let rounds = (0..8).take_while(|_| {
            let differs = store.digests() != leader.digests();
            replace_differing(&mut store, &leader);
            differs
        });
        prop_assert!(rounds.count() < 8);
        prop_assert_eq!(without_expiries(&store), without_expiries(&leader));
    }
}

/// Guards against records that expire early at a store that received them late or read them from its disk.
#[test]
fn merged_record_is_kept_until_the_later_of_both_expiries() {
    let mut leader = table();
    let Decision::Replicate(claimed) = leader.claim(0, id(1), &claim_of(key(1), 1)) else {
        panic!("the claim is new")
    };
    let mut store = table();
    assert!(store.merge(50_000, claimed.clone()));
    let abandoned = leader.abandon(10, &key(1), holder(1)).expect("the outcome is recorded");
    assert_eq!(abandoned.keep_ms, claimed.keep_ms - 10);
    assert!(store.merge(50_010, abandoned.clone()));
    assert!(!store.merge(50_020, abandoned));
    assert_eq!(store.bucket(50_020, bucket_of(id(1))).records[0].keep_ms, claimed.keep_ms - 10);
}

/// Guards against builds with different digests: during an upgrade stores would transfer all records over and
/// over.
#[test]
fn digest_does_not_change_between_builds() {
    let mut table = table();
    table.claim(0, id(70), &claim_of(key(1), 1));
    table.complete(0, &key(1), holder(1));
    let bucket = BucketId { epoch: Epoch(1), number: 1 };
    assert_eq!(table.digests(), [BucketDigest { bucket, digest: 16_677_094_195_439_284_956 }]);
}
