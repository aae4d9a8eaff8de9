//! A single operation replica: what it answers as its records are appended and committed.

use std::net::Ipv4Addr;
use violetyoke_idempotency::TableOptions;
use violetyoke_store::consensus::ClientId;
use violetyoke_store::operations::{
    AppendNumber, ConsensusView, Effect, Event, Leadership, OperationReplica,
};
use violetyoke_transport::messages::{
    ClaimHolder, Epoch, OperationKey, OperationMessage, OperationRecord, OperationReply, OperationRequest,
    StoreId, StoreNode,
};

const WINDOW: u64 = 60_000;
const MAX_RECORD_BYTES: usize = 1 << 20;
const EPOCH: Epoch = Epoch(3);
const HOLDER: ClaimHolder = ClaimHolder { incarnation: 1, request: 1 };
const NOW: u64 = 1_000;

/// Guards against a report that is confirmed while only the leader has its record.
#[test]
fn repeated_report_is_confirmed_once_its_record_is_committed() {
    let mut leader = leader();
    request(&mut leader, 1, claim());
    commit(&mut leader, 1);
    assert_eq!(request(&mut leader, 2, complete()), [], "the report waits");
    assert_eq!(request(&mut leader, 3, complete()), [], "its repetition waits");
    assert_eq!(commit(&mut leader, 2), [recorded(2), recorded(3)]);
    assert_eq!(request(&mut leader, 4, release()), [], "the release waits");
    assert_eq!(request(&mut leader, 5, release()), [], "its repetition waits");
    assert_eq!(commit(&mut leader, 3), [recorded(4), recorded(5)]);
}

/// Guards against a report that is confirmed while its record is queued behind an uncommitted batch.
#[test]
fn repeated_report_of_a_queued_record_waits_for_its_commit() {
    let mut leader = leader();
    request(&mut leader, 1, claim());
    assert_eq!(request(&mut leader, 2, complete()), [], "the claim's batch is in flight");
    assert_eq!(request(&mut leader, 3, complete()), []);
    assert_eq!(commit(&mut leader, 1).len(), 1, "the grant");
    assert_eq!(commit(&mut leader, 2), [recorded(2), recorded(3)]);
    assert_eq!(request(&mut leader, 4, complete()), [recorded(4)], "the record is committed");
}

fn node(id: u64) -> StoreNode {
    StoreNode { id: StoreId(id), ip: Ipv4Addr::new(10, 0, 0, id as u8), zone: "a".to_owned() }
}

fn engine(id: u64, records: Vec<OperationRecord>) -> OperationReplica {
    let options = TableOptions { window_ms: WINDOW, max_bytes: MAX_RECORD_BYTES };
    OperationReplica::new(node(id), options, records, NOW)
}

/// An active leader of three voters; the second one has reported that it has no records.
fn leader() -> OperationReplica {
    let mut leader = engine(1, Vec::new());
    let leadership = Leadership {
        epoch: EPOCH,
        voters: (1..=3).map(node).collect(),
        live_peers: (2..=3).map(node).collect(),
        ..Leadership::default()
    };
    let view = ConsensusView { promised: EPOCH, leadership: Some(leadership) };
    assert_eq!(replies(leader.observe(NOW, view)), []);
    let message = OperationMessage::Digests { epoch: EPOCH, digests: Vec::new() };
    assert_eq!(replies(leader.handle(NOW, Event::Message { from: node(2), message })), []);
    assert!(leader.is_active());
    leader
}

fn recorded(client: u64) -> (ClientId, OperationReply) {
    (ClientId(client), OperationReply::Recorded)
}

fn replies(effects: Vec<Effect>) -> Vec<(ClientId, OperationReply)> {
    let reply = |effect| match effect {
        Effect::Reply { client, reply } => Some((client, reply)),
        Effect::Send { .. } | Effect::Append { .. } => None,
    };
    effects.into_iter().filter_map(reply).collect()
}

fn request(
    leader: &mut OperationReplica,
    client: u64,
    request: OperationRequest,
) -> Vec<(ClientId, OperationReply)> {
    replies(leader.handle(NOW, Event::Request { client: ClientId(client), request }))
}

/// Completes a batch on the disks of the leader and of the second store. Returns the replies.
fn commit(leader: &mut OperationReplica, batch: u64) -> Vec<(ClientId, OperationReply)> {
    assert_eq!(replies(leader.handle(NOW, Event::Appended(AppendNumber(batch)))), [], "no majority yet");
    let message = OperationMessage::Appended { epoch: EPOCH, batch };
    replies(leader.handle(NOW, Event::Message { from: node(2), message }))
}

fn key(name: &str) -> OperationKey {
    OperationKey { tenant: "tenant".to_owned(), key: name.to_owned() }
}

fn claim() -> OperationRequest {
    OperationRequest::Claim {
        key: key("k-1"),
        holder: HOLDER,
        timeout_ms: 2_000,
        is_self_deduplicating: false,
    }
}

fn complete() -> OperationRequest {
    OperationRequest::Complete { key: key("k-1"), holder: HOLDER }
}

/// The release of an operation whose claim has not arrived.
fn release() -> OperationRequest {
    OperationRequest::Release { key: key("k-2"), holder: HOLDER }
}
