//! Requests of lease holders, the lease manager's responses, and the stored records of leases, as JSON that earlier
//! builds wrote. The golden files are never edited.

#![cfg(test)]

#[path = "../../../transport/tests/golden/files.rs"]
mod files;
#[path = "../../../transport/tests/golden/samples.rs"]
mod samples;
#[path = "../../../transport/tests/golden/variants.rs"]
mod variants;

use files::GoldenFolder;
use samples::{sample, Sample};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeSet;
use std::fmt::Debug;
use variants::assert_all_variants;
use violetyoke_ownership::{
    Claim, Epoch, Grant, LeaseRecord, LossReason, ProcessKind, RenewRequest, RenewResponse, Renewal,
    RoleKind, ShardId, ShardOverride, SingletonRole,
};

variants!(RoleKind {
    RoleKind::Upkeep => "upkeep",
    RoleKind::Report => "report",
    RoleKind::Probe => "probe",
});
variants!(ProcessKind {
    ProcessKind::Ingress => "ingress",
    ProcessKind::Control => "control",
});
variants!(LossReason {
    LossReason::Superseded => "newer",
    LossReason::Unknown => "unknown",
    LossReason::Expired => "ran-out",
    LossReason::Removed => "gone",
});

const LOST: [LossReason; 4] =
    [LossReason::Superseded, LossReason::Unknown, LossReason::Expired, LossReason::Removed];

fn folder() -> GoldenFolder {
    GoldenFolder::of_crate(env!("CARGO_MANIFEST_DIR"), "json")
}

/// Compares names and values. The order of the names does not matter in JSON.
fn check<T: Serialize + DeserializeOwned + PartialEq + Debug>(samples: &[Sample<T>]) {
    let encode = |value: &T| {
        let value = serde_json::to_value(value).expect("encoded");
        format!("{value:#}\n").into_bytes()
    };
    folder().check(samples, encode, |bytes| serde_json::from_slice(bytes));
}

fn claim(shard: u32) -> Claim {
    Claim { shard: ShardId::new("probes", shard), epoch: Epoch(70_000 + u64::from(shard)) }
}

fn requests() -> Vec<Sample<RenewRequest>> {
    let full = RenewRequest {
        holder: "ingress-1#42".into(),
        roles: vec!["probes".into(), "report".into()],
        renew: vec![Renewal { claim: claim(1), operations: 7 }],
        release: vec![claim(2)],
        expired: vec![claim(3)],
        observed_epoch: Epoch(70_003),
        echo: 123_456_789,
        is_leaving: true,
    };
    vec![sample("ask", full), sample("ask-empty", RenewRequest::default())]
}

fn responses() -> Vec<Sample<RenewResponse>> {
    let grant =
        |shard, must_hand_over| Grant { claim: claim(shard), ttl_ms: 10_000, watermark: 300, must_hand_over };
    let lost = LOST.into_iter().zip(10..).map(|(why, shard)| (claim(shard), why));
    let full = RenewResponse {
        grants: vec![grant(1, false), grant(2, true)],
        lost: lost.collect(),
        next_call_ms: 2_500,
        newest_epoch: Epoch(70_003),
        token: 987_654_321,
        faults: vec![("renew[0].epoch".into(), "is too large".into())],
    };
    vec![sample("answer", full), sample("answer-empty", RenewResponse::default())]
}

fn records() -> Vec<Sample<LeaseRecord>> {
    let full = LeaseRecord {
        holder: Some("ingress-1#42".into()),
        epoch: Epoch(70_000),
        renewals: 300,
        ttl_ms: 10_000,
        watermark: 5,
        operations: 6,
        failed_holders: vec!["ingress-2#1".into(), "ingress-3#9".into()],
        consecutive_failures: 2,
        suspension_reason: Some("5 owners in a row fell".into()),
        granted_at_ms: 1_700_000_000_000,
        last_progress_ms: 1_700_000_000_500,
        ..LeaseRecord::new(ShardId::new("probes", 1))
    };
    vec![sample("record", full), sample("record-new", LeaseRecord::new(ShardId::new("report", 0)))]
}

fn roles() -> Vec<Sample<SingletonRole>> {
    let probe = SingletonRole {
        name: "probes".into(),
        kind: RoleKind::Probe,
        shard_count: 4,
        ttl_ms: 5_000,
        max_shards_per_process: 2,
        report_span_ms: 30_000,
        nodes: vec!["127.0.0.1:9000".parse().expect("an address")],
        probe_interval_ms: 250,
    };
    let other =
        |name: &str, kind| SingletonRole { name: name.into(), kind, nodes: Vec::new(), ..probe.clone() };
    vec![
        sample("duty-upkeep", other("upkeep", RoleKind::Upkeep)),
        sample("duty-report", other("report", RoleKind::Report)),
        sample("duty-probe", probe),
    ]
}

fn overrides() -> Vec<Sample<ShardOverride>> {
    let full = ShardOverride {
        preferred_process: Some("ingress-2#1".into()),
        suspension_reason: Some("maintenance".into()),
    };
    vec![sample("operator-word", full), sample("operator-word-empty", ShardOverride::default())]
}

fn process_kinds() -> Vec<Sample<ProcessKind>> {
    vec![sample("holders-ingress", ProcessKind::Ingress), sample("holders-control", ProcessKind::Control)]
}

#[test]
fn renewal_requests_keep_their_form() {
    check(&requests());
}

#[test]
fn renewal_responses_keep_their_form() {
    check(&responses());
    assert_all_variants(&LOST);
}

#[test]
fn records_in_the_store_keep_their_form() {
    check(&records());
    check(&overrides());
}

#[test]
fn declared_roles_keep_their_form() {
    check(&roles());
    check(&process_kinds());
    assert_all_variants(roles().iter().map(|it| &it.value.kind));
    assert_all_variants(process_kinds().iter().map(|it| &it.value));
}

/// A field that another build may leave out has its default.
#[test]
fn requests_and_grants_without_optional_fields_are_read() {
    let request: RenewRequest = serde_json::from_str(r#"{"holder": "ingress-1#42"}"#).expect("decoded");
    assert_eq!(request, RenewRequest { holder: "ingress-1#42".into(), ..RenewRequest::default() });
    let renewal = r#"{"duty": "probes", "shard": 1, "epoch": 70001}"#;
    let renewal: Renewal = serde_json::from_str(renewal).expect("decoded");
    assert_eq!(renewal, Renewal { claim: claim(1), operations: 0 });
    let grant = r#"{"duty": "probes", "shard": 1, "epoch": 70001, "length_ms": 10000}"#;
    let grant: Grant = serde_json::from_str(grant).expect("decoded");
    assert_eq!(grant, Grant { claim: claim(1), ttl_ms: 10_000, watermark: 0, must_hand_over: false });
}

#[test]
fn every_golden_file_has_a_sample() {
    let mut names = BTreeSet::new();
    names.extend(requests().iter().map(|it| it.name.to_owned()));
    names.extend(responses().iter().map(|it| it.name.to_owned()));
    names.extend(records().iter().map(|it| it.name.to_owned()));
    names.extend(roles().iter().map(|it| it.name.to_owned()));
    names.extend(overrides().iter().map(|it| it.name.to_owned()));
    names.extend(process_kinds().iter().map(|it| it.name.to_owned()));

    assert_eq!(folder().names(), names);
}
