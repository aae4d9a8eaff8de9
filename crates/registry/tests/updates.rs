//! The encoded updates for proxies, and when a version counts as new.

#![cfg(test)]

mod support;

use std::collections::BTreeSet;
use support::backend;
use violetyoke_api::Configuration;
use violetyoke_registry::updates::{
    membership_interval, BackendListUpdates, Installation, MembershipUpdates, StateUpdates,
    MEMBERSHIP_INTERVAL,
};
use violetyoke_transport::codec::decode;
use violetyoke_transport::messages::{
    BackendList, ControlState, Epoch, ListDigest, Membership, MembershipDigest, ProxyReply, Revision,
    ShardOwners,
};

fn revision(sequence: u64) -> Revision {
    Revision { epoch: Epoch(1), sequence }
}

fn configuration(version: u64, hosts: usize) -> Configuration {
    let row = |n: usize| format!(r#"["r-{n}","h{n}.example","/","idempotent",2000,"finder"]"#);
    let rows: Vec<String> = (0..hosts).map(row).collect();
    let text = format!(
        r#"{{"version":{version},
            "routes":{{"columns":["name","host","path-prefix","route-kind","timeout-ms","service"],"rows":[{}]}},
            "services":{{"columns":["name"],"rows":[["finder"]]}},
            "tenants":{{"columns":["name"],"rows":[]}}}}"#,
        rows.join(",")
    );
    Configuration::parse(text.as_bytes()).expect("a valid configuration")
}

fn state(sequence: u64, version: u64) -> ControlState {
    ControlState { revision: revision(sequence), version, ..ControlState::default() }
}

fn reply(message: &[u8]) -> ProxyReply {
    decode(message).expect("a reply")
}

#[test]
fn state_update_is_a_change_from_a_known_state_and_full_otherwise() {
    let mut updates = StateUpdates::default();
    assert!(updates.update_from(Revision::default()).is_none(), "there is no state");
    updates.install(&state(1, 1), configuration(1, 3), true);
    updates.install(&state(2, 2), configuration(2, 4), true);

    let change = updates.update_from(revision(1)).expect("an update");
    let full = updates.update_from(Revision::default()).expect("an update");

    assert!(matches!(reply(&change), ProxyReply::StateChange { from, revision: to, .. }
        if from == revision(1) && to == revision(2)));
    assert!(matches!(reply(&full), ProxyReply::FullState { revision: to, .. } if to == revision(2)));
    assert_eq!(updates.revision_of(1), Some(revision(1)));
    assert_eq!((updates.revision_of(3), updates.latest()), (None, Some(revision(2))));
}

#[test]
fn state_that_is_equivalent_for_proxies_is_no_update() {
    let mut updates = StateUpdates::default();
    updates.install(&state(1, 1), configuration(1, 3), true);
    updates.install(&state(2, 1), configuration(1, 3), false);
    assert_eq!(updates.latest(), Some(revision(1)), "a newer revision with the same content");

    let evacuated = ControlState { evacuated: BTreeSet::from(["a1".to_owned()]), ..state(3, 1) };
    updates.install(&evacuated, configuration(1, 3), false);
    assert_eq!(updates.latest(), Some(revision(3)), "a zone was evacuated");
}

#[test]
fn backend_list_update_is_a_change_from_a_known_list_and_full_otherwise() {
    let list = |digest, ids: &[&str]| BackendList {
        digest: ListDigest(digest),
        age_ms: 0,
        backends: ids.iter().map(|id| backend(id, false, 0)).collect(),
    };
    let newest = list(2, &["i-1", "i-2"]);
    let mut updates = BackendListUpdates::default();
    assert_eq!(updates.latest(), ListDigest::NONE);
    updates.install(list(1, &["i-1"]));
    updates.install(newest.clone());

    let change = updates.update_from(ListDigest(1), newest.clone());
    let full = updates.update_from(ListDigest::NONE, newest.clone());

    assert!(matches!(reply(&change), ProxyReply::BackendListChange(change)
        if change.from == ListDigest(1) && change.upserted == [backend("i-2", false, 0)]));
    assert_eq!(reply(&full), ProxyReply::BackendList(newest.clone()));
    let older = BackendList { age_ms: 900, ..newest };
    updates.discard_encoded();
    assert_eq!(reply(&updates.update_from(ListDigest::NONE, older.clone())), ProxyReply::BackendList(older));
}

fn membership(proxies: &[u32], owners_fence: u64) -> Membership {
    Membership {
        proxies: proxies.to_vec(),
        in_contact: true,
        shard_owners: ShardOwners { fencing_token: revision(owners_fence), registries: Vec::new() },
        ..Membership::default()
    }
}

#[test]
fn membership_is_replaced_at_intervals_and_at_once_for_new_shard_owners() {
    let mut updates = MembershipUpdates::default();
    let start = MEMBERSHIP_INTERVAL;
    let first = updates.install(start, membership(&[1], 1));
    assert_eq!(first, Installation::Installed { has_new_owners: true });
    let digest = updates.current().digest;
    assert_ne!(digest, MembershipDigest::NONE);

    assert_eq!(updates.install(start + 1, membership(&[1, 2], 1)), Installation::Skipped, "too early");
    assert_eq!(
        updates.install(start + 2, membership(&[1, 2], 2)),
        Installation::Installed { has_new_owners: true }
    );
    let later = start + 2 + MEMBERSHIP_INTERVAL;
    assert_eq!(updates.install(later - 1, membership(&[1, 2, 3], 2)), Installation::Skipped);
    assert_eq!(
        updates.install(later, membership(&[1, 2, 3], 2)),
        Installation::Installed { has_new_owners: false }
    );
    assert_eq!(
        updates.install(later * 2, membership(&[1, 2, 3], 2)),
        Installation::Skipped,
        "the same again"
    );
    assert_ne!(updates.current().digest, digest);
}

#[test]
fn membership_message_has_the_newest_state_which_is_no_part_of_the_digest() {
    let mut updates = MembershipUpdates::default();
    updates.install(MEMBERSHIP_INTERVAL, membership(&[1], 1));

    let sent = reply(&updates.encode(revision(9)));

    let expected = Membership { newest: revision(9), ..updates.current().clone() };
    assert_eq!(sent, ProxyReply::Membership(expected));
    assert_eq!(updates.current().newest, Revision::default());
}

#[test]
fn membership_of_many_proxies_is_replaced_less_often() {
    assert_eq!([1, 9, 62].map(membership_interval), [MEMBERSHIP_INTERVAL; 3]);
    assert_eq!(membership_interval(300), 1_200);
    let mut updates = MembershipUpdates::default();
    let all: Vec<u32> = (0..300).collect();
    updates.install(1_000, membership(&all, 1));
    // A proxy leaves or joins every 10 ms.
    let replaced = (1_010..13_010u64).step_by(10).filter(|now| {
        let members = &all[..200 + (*now / 10 % 100) as usize];
        matches!(updates.install(*now, membership(members, 1)), Installation::Installed { .. })
    });
    assert!((10..=15).contains(&replaced.count()), "about one a second");
}
