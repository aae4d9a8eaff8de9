//! Samples of the control state, and of the messages between registries and stores.

use crate::samples::{sample, Sample};
use crate::{operations, stores, variants};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{
    AcceptedVersions, Command, ControlState, Epoch, Outcome, Revision, ShardOwners, StoreReply, StoreRequest,
};

variants!(StoreRequest {
    StoreRequest::Watch { .. } => "watch",
    StoreRequest::Execute { .. } => "do",
    StoreRequest::Envelope(_) => "envelope",
    StoreRequest::Operation { .. } => "operation",
    StoreRequest::Replication { .. } => "replication",
});
variants!(Command {
    Command::Replace { .. } => "replace",
    Command::Evacuate { .. } => "evacuate",
    Command::Read => "read",
});
variants!(StoreReply {
    StoreReply::Status { .. } => "status",
    StoreReply::State(_) => "news",
    StoreReply::Completed { .. } => "done",
    StoreReply::Operation { .. } => "operation",
});
variants!(Outcome {
    Outcome::Acknowledged => "acknowledged",
    Outcome::Read(_) => "read",
    Outcome::VersionTaken => "version-taken",
    Outcome::NotLeader => "elsewhere",
});

/// A revision whose epoch takes several bytes.
pub(crate) fn revision(sequence: u64) -> Revision {
    Revision { epoch: Epoch(0x0102_0304_0506_0708), sequence }
}

pub(crate) fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 10, 3, last)
}

pub(crate) fn zones(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// A state with a value in each field.
pub(crate) fn full_state() -> ControlState {
    let text = r#"{"version": 70000, "note": "größe"}"#;
    let mut accepted = AcceptedVersions::default();
    assert!(accepted.insert(69_999, r#"{"version": 69999}"#));
    assert!(accepted.insert(70_000, text));
    ControlState {
        revision: revision(300),
        version: 70_000,
        text: text.to_owned(),
        evacuated: zones(&["zone-a", "zone-b"]),
        accepted,
    }
}

pub(crate) fn owners() -> ShardOwners {
    ShardOwners { fencing_token: revision(65_536), registries: vec![address(1), address(2), address(250)] }
}

pub(crate) fn store_requests() -> Vec<Sample<StoreRequest>> {
    let replace = Command::Replace { version: 70_000, text: "{\"version\": 70000}".to_owned() };
    let mut samples = vec![
        sample("store-request-watch", StoreRequest::Watch { registry: address(7), known: revision(9) }),
        sample("store-request-do-replace", StoreRequest::Execute { request_id: 1, command: replace }),
        sample(
            "store-request-do-evacuate",
            StoreRequest::Execute {
                request_id: 300,
                command: Command::Evacuate { zone: "zone-c".to_owned(), empty: true },
            },
        ),
        sample(
            "store-request-do-evacuate-undone",
            StoreRequest::Execute {
                request_id: 70_000,
                command: Command::Evacuate { zone: "zone-c".to_owned(), empty: false },
            },
        ),
        sample(
            "store-request-do-read",
            StoreRequest::Execute { request_id: u64::MAX, command: Command::Read },
        ),
    ];
    samples.extend(stores::envelopes());
    samples.extend(operations::store_requests());
    samples
}

pub(crate) fn store_replies() -> Vec<Sample<StoreReply>> {
    let completed = |request_id, outcome| StoreReply::Completed { request_id, outcome };
    let mut samples = vec![
        sample(
            "store-reply-status",
            StoreReply::Status {
                epoch: Epoch(70_000),
                is_leader: true,
                shard_owners: owners(),
                stores: vec![address(1), address(2), address(3)],
            },
        ),
        sample(
            "store-reply-status-inactive",
            StoreReply::Status {
                epoch: Epoch(0),
                is_leader: false,
                shard_owners: ShardOwners::default(),
                stores: Vec::new(),
            },
        ),
        sample("store-reply-news", StoreReply::State(full_state())),
        sample("store-reply-news-empty", StoreReply::State(ControlState::default())),
        sample("store-reply-done-acknowledged", completed(1, Outcome::Acknowledged)),
        sample("store-reply-done-read", completed(300, Outcome::Read(full_state()))),
        sample("store-reply-done-version-taken", completed(70_000, Outcome::VersionTaken)),
        sample("store-reply-done-elsewhere", completed(u64::MAX, Outcome::NotLeader)),
    ];
    samples.extend(operations::store_replies());
    samples
}

/// A state that is large enough to be compressed.
pub(crate) fn large_state() -> ControlState {
    let text = (0..500).map(|number| format!("{{\"route\": \"route-{number}\"}}\n")).collect();
    ControlState { text, ..full_state() }
}
