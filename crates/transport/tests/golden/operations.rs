//! Samples of the messages about operations: between proxies, registries and stores, and between stores.

use crate::control::revision;
use crate::samples::{sample, Sample};
use crate::{stores, variants};
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{
    BucketContents, BucketDigest, BucketId, ClaimHolder, ClaimId, Epoch, OperationKey, OperationMessage,
    OperationRecord, OperationReply, OperationRequest, OperationState, ProxyReply, ProxyRequest,
    RecordedField, RecordedResponse, StoreReply, StoreRequest,
};

variants!(OperationRequest {
    OperationRequest::Claim { .. } => "claim",
    OperationRequest::Complete { .. } => "complete",
    OperationRequest::Abandon { .. } => "abandon",
    OperationRequest::Release { .. } => "release",
});
variants!(OperationReply {
    OperationReply::Granted { .. } => "granted",
    OperationReply::InProgress { .. } => "in-progress",
    OperationReply::Executed { .. } => "executed",
    OperationReply::Unknown => "unknown",
    OperationReply::Recorded => "recorded",
    OperationReply::Unavailable => "unavailable",
});
variants!(OperationState {
    OperationState::Claimed => "claimed",
    OperationState::Released => "released",
    OperationState::Unknown => "unknown",
    OperationState::Executed => "executed",
});
variants!(OperationMessage {
    OperationMessage::Append { .. } => "append",
    OperationMessage::Appended { .. } => "appended",
    OperationMessage::ReadDigests { .. } => "read-digests",
    OperationMessage::Digests { .. } => "digests",
    OperationMessage::ReadBuckets { .. } => "read-buckets",
    OperationMessage::Buckets { .. } => "buckets",
    OperationMessage::Offer { .. } => "offer",
    OperationMessage::Wanted { .. } => "wanted",
    OperationMessage::Fill { .. } => "fill",
    OperationMessage::Synced { .. } => "synced",
    OperationMessage::Rejected { .. } => "rejected",
});

const HOLDER: ClaimHolder = ClaimHolder { incarnation: u64::MAX, request: 70_000 };

fn key() -> OperationKey {
    OperationKey { tenant: "tenant-1".to_owned(), key: "k-5512".to_owned() }
}

fn recorded_response() -> RecordedResponse {
    let field = |name: &str, value: &[u8]| RecordedField { name: name.to_owned(), value: value.to_vec() };
    RecordedResponse {
        status: 200,
        headers: vec![field("x-server-seal", b"3e1b.07"), field("x-bytes", &[0x80, 0xff])],
        body: vec![0, 200, 255],
    }
}

fn requests() -> [(&'static str, OperationRequest); 5] {
    let claim = |key, is_self_deduplicating| OperationRequest::Claim {
        key,
        holder: HOLDER,
        timeout_ms: 70_000,
        is_self_deduplicating,
    };
    [
        ("store-request-operation-claim", claim(key(), false)),
        ("store-request-operation-claim-without-tenant", claim(OperationKey::default(), true)),
        ("store-request-operation-complete", OperationRequest::Complete { key: key(), holder: HOLDER }),
        ("store-request-operation-abandon", OperationRequest::Abandon { key: key(), holder: HOLDER }),
        ("store-request-operation-release", OperationRequest::Release { key: key(), holder: HOLDER }),
    ]
}

fn replies() -> [(&'static str, OperationReply); 6] {
    [
        (
            "store-reply-operation-granted",
            OperationReply::Granted { store_regions: vec!["imereti".to_owned(), String::new()] },
        ),
        ("store-reply-operation-in-progress", OperationReply::InProgress { retry_after_ms: 1_200 }),
        ("store-reply-operation-executed", OperationReply::Executed { holder: HOLDER }),
        ("store-reply-operation-unknown", OperationReply::Unknown),
        ("store-reply-operation-recorded", OperationReply::Recorded),
        ("store-reply-operation-unavailable", OperationReply::Unavailable),
    ]
}

fn record(state: OperationState) -> OperationRecord {
    let claim = ClaimId { epoch: Epoch(70_001), sequence: 300 };
    OperationRecord { key: key(), claim, holder: HOLDER, timeout_ms: 2_000, keep_ms: 70_000, state }
}

/// A record in each state.
fn records() -> Vec<OperationRecord> {
    let states = [
        OperationState::Claimed,
        OperationState::Released,
        OperationState::Unknown,
        OperationState::Executed,
    ];
    states.into_iter().map(record).collect()
}

fn messages() -> Vec<(&'static str, OperationMessage)> {
    let epoch = revision(0).epoch;
    let bucket = BucketId { epoch: Epoch(70_001), number: 300 };
    let buckets = || vec![bucket, BucketId::default()];
    let digests = || vec![BucketDigest { bucket, digest: u64::MAX }, BucketDigest::default()];
    let contents = || vec![BucketContents { bucket, records: records() }];
    vec![
        ("replication-append", OperationMessage::Append { epoch, batch: 70_000, records: records() }),
        ("replication-appended", OperationMessage::Appended { epoch, batch: 70_000 }),
        ("replication-read-digests", OperationMessage::ReadDigests { epoch }),
        ("replication-digests", OperationMessage::Digests { epoch, digests: digests() }),
        ("replication-read-buckets", OperationMessage::ReadBuckets { epoch, buckets: buckets() }),
        ("replication-buckets", OperationMessage::Buckets { epoch, contents: contents() }),
        ("replication-offer", OperationMessage::Offer { epoch, through: u64::MAX, digests: digests() }),
        ("replication-wanted", OperationMessage::Wanted { epoch, buckets: buckets() }),
        ("replication-fill", OperationMessage::Fill { epoch, through: 70_000, contents: contents() }),
        ("replication-synced", OperationMessage::Synced { epoch, through: u64::MAX }),
        ("replication-rejected", OperationMessage::Rejected { epoch, promised: Epoch(u64::MAX) }),
    ]
}

pub(crate) fn store_requests() -> Vec<Sample<StoreRequest>> {
    let operations = requests()
        .into_iter()
        .map(|(name, request)| sample(name, StoreRequest::Operation { request_id: u64::MAX, request }));
    let replication = messages()
        .into_iter()
        .map(|(name, message)| sample(name, StoreRequest::Replication { from: stores::store(5), message }));
    operations.chain(replication).collect()
}

pub(crate) fn store_replies() -> Vec<Sample<StoreReply>> {
    let reply = |(name, reply)| sample(name, StoreReply::Operation { request_id: 300, reply });
    replies().into_iter().map(reply).collect()
}

pub(crate) fn proxy_requests() -> [(&'static str, ProxyRequest); 5] {
    let request = OperationRequest::Complete { key: key(), holder: HOLDER };
    let response = |response| ProxyRequest::Response { request_id: u64::MAX, response };
    [
        ("proxy-request-operation", ProxyRequest::Operation { request_id: u32::MAX, request }),
        ("proxy-request-holder-incarnation", ProxyRequest::HolderIncarnation(u64::MAX)),
        ("proxy-request-read-response", ProxyRequest::ReadResponse { request_id: u32::MAX, holder: HOLDER }),
        ("proxy-request-response", response(Some(recorded_response()))),
        ("proxy-request-response-missing", response(None)),
    ]
}

pub(crate) fn proxy_replies() -> [Sample<ProxyReply>; 4] {
    let reply = OperationReply::Executed { holder: HOLDER };
    let response = |response| ProxyReply::Response { request_id: u32::MAX, response };
    let leader = Some(Ipv4Addr::new(10, 0, 200, 255));
    [
        sample("proxy-reply-operation", ProxyReply::Operation { request_id: u32::MAX, reply, leader }),
        sample("proxy-reply-response", response(Some(recorded_response()))),
        sample("proxy-reply-response-missing", response(None)),
        sample(
            "proxy-reply-read-response",
            ProxyReply::ReadResponse { request_id: u64::MAX, holder: HOLDER },
        ),
    ]
}

#[test]
fn every_variant_of_the_messages_about_operations_has_a_sample() {
    crate::assert_all_variants(requests().iter().map(|(_, request)| request));
    crate::assert_all_variants(replies().iter().map(|(_, reply)| reply));
    crate::assert_all_variants(messages().iter().map(|(_, message)| message));
    crate::assert_all_variants(records().iter().map(|record| &record.state));
}
