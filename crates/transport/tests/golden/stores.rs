//! The messages between stores.

use crate::control::{address, full_state, stamp};
use crate::samples::{sample, Sample};
use crate::variants;
use violetyoke_transport::messages::{
    Envelope, Heartbeat, HolderState, Member, PeerMessage, Record, Stamp, StoreRequest,
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
variants!(HolderState {
    HolderState::Promised { .. } => "promised",
    HolderState::Whole(_) => "whole",
});

fn store(number: u8) -> Member {
    Member { id: u64::MAX - u64::from(number), ip: address(number), zone: format!("zone-{number}") }
}

/// A record with a value in each field.
pub fn full_record() -> Record {
    Record {
        epoch: 70_000,
        voters: vec![store(1), store(2), store(3)],
        holders: vec![store(1).id, store(2).id],
        prior_voters: vec![vec![store(1), store(2), store(4)], vec![store(4)]],
    }
}

fn full_heartbeat() -> Heartbeat {
    Heartbeat {
        record: full_record(),
        active: true,
        committed: stamp(300),
        persisted: stamp(301),
        disk: true,
        leaving: true,
        fresh: true,
        known: vec![address(1), address(2)],
    }
}

/// One flag of a heartbeat at a time: flags that change places are found.
fn heartbeats_by_flag() -> Vec<(&'static str, Heartbeat)> {
    vec![
        ("envelope-heartbeat-active", Heartbeat { active: true, ..Heartbeat::default() }),
        ("envelope-heartbeat-disk", Heartbeat { disk: true, ..Heartbeat::default() }),
        ("envelope-heartbeat-leaving", Heartbeat { leaving: true, ..Heartbeat::default() }),
        ("envelope-heartbeat-fresh", Heartbeat { fresh: true, ..Heartbeat::default() }),
    ]
}

pub fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let epoch = 70_000;
    let promised_state = HolderState::Promised { from: stamp(300), to: Stamp { epoch: 70_001, seq: 0 } };
    let promise = |stamp, state| PeerMessage::Promise { epoch, record: full_record(), stamp, state };
    let accept = |state| PeerMessage::Accept { record: full_record(), state };
    let mut messages = vec![
        ("envelope-heartbeat", PeerMessage::Heartbeat(full_heartbeat())),
        ("envelope-heartbeat-empty", PeerMessage::Heartbeat(Heartbeat::default())),
        ("envelope-prepare", PeerMessage::Prepare { epoch, has: stamp(300) }),
        ("envelope-promise-with-state", promise(stamp(300), Some(full_state()))),
        ("envelope-promise-without-state", promise(stamp(1), None)),
        ("envelope-refuse", PeerMessage::Refuse { epoch, promised: 70_002 }),
        ("envelope-accept-promised", accept(Some(promised_state))),
        ("envelope-accept-whole", accept(Some(HolderState::Whole(full_state())))),
        ("envelope-accept-witness", accept(None)),
        ("envelope-accepted", PeerMessage::Accepted { epoch }),
        ("envelope-snapshot", PeerMessage::Snapshot { epoch, state: full_state() }),
        ("envelope-write", PeerMessage::Write { epoch, held: full_state() }),
        ("envelope-written", PeerMessage::Written { epoch, stamp: stamp(300) }),
        ("envelope-confirm", PeerMessage::Confirm { epoch, nonce: u64::MAX }),
        ("envelope-confirmed", PeerMessage::Confirmed { epoch, nonce: 300 }),
    ];
    messages
        .extend(heartbeats_by_flag().into_iter().map(|(name, beat)| (name, PeerMessage::Heartbeat(beat))));
    messages
}

pub fn envelopes() -> Vec<Sample<StoreRequest>> {
    let envelope = |message| StoreRequest::Envelope(Envelope { from: store(5), message });
    peer_messages().into_iter().map(|(name, message)| sample(name, envelope(message))).collect()
}
