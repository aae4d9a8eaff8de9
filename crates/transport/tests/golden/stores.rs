//! Samples of the messages between stores.

use crate::control::{address, full_state, revision};
use crate::samples::{sample, Sample};
use crate::variants;
use violetyoke_transport::messages::{
    Envelope, Epoch, Heartbeat, InitialState, PeerMessage, ReplicaConfig, Revision, StoreId, StoreNode,
    StoreRequest,
};

variants!(PeerMessage {
    PeerMessage::Heartbeat(_) => "heartbeat",
    PeerMessage::Prepare { .. } => "prepare",
    PeerMessage::Promise { .. } => "promise",
    PeerMessage::Refuse { .. } => "refuse",
    PeerMessage::Accept { .. } => "accept",
    PeerMessage::Accepted { .. } => "accepted",
    PeerMessage::Snapshot { .. } => "snapshot",
    PeerMessage::Write { .. } => "write",
    PeerMessage::Written { .. } => "written",
    PeerMessage::Confirm { .. } => "confirm",
    PeerMessage::Confirmed { .. } => "confirmed",
});
variants!(InitialState {
    InitialState::Promised { .. } => "promised",
    InitialState::Full(_) => "whole",
});

pub(crate) fn store(number: u8) -> StoreNode {
    StoreNode {
        id: StoreId(u64::MAX - u64::from(number)),
        ip: address(number),
        zone: format!("zone-{number}"),
    }
}

/// A replica set with a value in each field.
pub(crate) fn full_config() -> ReplicaConfig {
    ReplicaConfig {
        epoch: Epoch(70_000),
        voters: vec![store(1), store(2), store(3)],
        data_replicas: vec![store(1).id, store(2).id],
        previous_voters: vec![vec![store(1), store(2), store(4)], vec![store(4)]],
    }
}

fn full_heartbeat() -> Heartbeat {
    Heartbeat {
        config: full_config(),
        is_leader: true,
        committed: revision(300),
        persisted: revision(301),
        disk_healthy: true,
        is_leaving: true,
        is_bootstrapping: true,
        known_stores: vec![address(1), address(2)],
    }
}

/// Heartbeats with one flag each, so that swapped flags are detected.
fn heartbeats_by_flag() -> Vec<(&'static str, Heartbeat)> {
    vec![
        ("envelope-heartbeat-active", Heartbeat { is_leader: true, ..Heartbeat::default() }),
        ("envelope-heartbeat-disk", Heartbeat { disk_healthy: true, ..Heartbeat::default() }),
        ("envelope-heartbeat-leaving", Heartbeat { is_leaving: true, ..Heartbeat::default() }),
        ("envelope-heartbeat-fresh", Heartbeat { is_bootstrapping: true, ..Heartbeat::default() }),
    ]
}

pub(crate) fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let epoch = Epoch(70_000);
    let promised_state =
        InitialState::Promised { from: revision(300), to: Revision { epoch: Epoch(70_001), sequence: 0 } };
    let promise = |revision, state| PeerMessage::Promise { epoch, config: full_config(), revision, state };
    let accept = |state| PeerMessage::Accept { config: full_config(), state };
    let mut messages = vec![
        ("envelope-heartbeat", PeerMessage::Heartbeat(full_heartbeat())),
        ("envelope-heartbeat-empty", PeerMessage::Heartbeat(Heartbeat::default())),
        ("envelope-prepare", PeerMessage::Prepare { epoch, newest: revision(300) }),
        ("envelope-promise-with-state", promise(revision(300), Some(full_state()))),
        ("envelope-promise-without-state", promise(revision(1), None)),
        ("envelope-refuse", PeerMessage::Refuse { epoch, promised: Epoch(70_002) }),
        ("envelope-accept-promised", accept(Some(promised_state))),
        ("envelope-accept-whole", accept(Some(InitialState::Full(full_state())))),
        ("envelope-accept-witness", accept(None)),
        ("envelope-accepted", PeerMessage::Accepted { epoch }),
        ("envelope-snapshot", PeerMessage::Snapshot { epoch, state: full_state() }),
        ("envelope-write", PeerMessage::Write { epoch, state: full_state() }),
        ("envelope-written", PeerMessage::Written { epoch, revision: revision(300) }),
        ("envelope-confirm", PeerMessage::Confirm { epoch, nonce: u64::MAX }),
        ("envelope-confirmed", PeerMessage::Confirmed { epoch, nonce: 300 }),
    ];
    messages.extend(
        heartbeats_by_flag().into_iter().map(|(name, heartbeat)| (name, PeerMessage::Heartbeat(heartbeat))),
    );
    messages
}

pub(crate) fn envelopes() -> Vec<Sample<StoreRequest>> {
    let envelope = |message| StoreRequest::Envelope(Envelope { from: store(5), message });
    peer_messages().into_iter().map(|(name, message)| sample(name, envelope(message))).collect()
}
