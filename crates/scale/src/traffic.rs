//! Messages and bytes between hollow ingresses and registries, by kind, counted at the ingresses.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use violetyoke_transport::messages::{ProxyReply, ProxyRequest};

/// A frame's length goes before its message.
const LENGTH: u64 = 4;

const KINDS: [&str; 12] = [
    "hello",
    "poll",
    "add",
    "other-out",
    "whole",
    "change",
    "list",
    "list-change",
    "members",
    "counted",
    "not-mine",
    "newest",
];

/// The kind of a message to a registry, as an index into the counters.
pub fn kind_of_request(request: &ProxyRequest) -> usize {
    match request {
        ProxyRequest::Hello(_) => 0,
        ProxyRequest::Poll { .. } => 1,
        ProxyRequest::Increment { .. } => 2,
        ProxyRequest::CheckFreshness { .. } | ProxyRequest::TransferCount { .. } => 3,
    }
}

/// The kind of a message from a registry.
pub fn kind_of_reply(reply: &ProxyReply) -> usize {
    match reply {
        ProxyReply::FullState { .. } => 4,
        ProxyReply::StateChange { .. } => 5,
        ProxyReply::BackendList(_) => 6,
        ProxyReply::BackendListChange(_) => 7,
        ProxyReply::Membership(_) => 8,
        ProxyReply::Counted { .. } => 9,
        ProxyReply::NotOwner { .. } => 10,
        ProxyReply::Freshness { .. } => 11,
    }
}

/// Counters of all hollow ingresses together.
#[derive(Debug, Default)]
pub struct Traffic {
    messages: [AtomicU64; KINDS.len()],
    bytes: [AtomicU64; KINDS.len()],
}

impl Traffic {
    /// One message of that kind, with so many bytes in its frame.
    pub fn count(&self, kind: usize, payload: usize) {
        if let (Some(messages), Some(bytes)) = (self.messages.get(kind), self.bytes.get(kind)) {
            messages.fetch_add(1, Ordering::Relaxed);
            bytes.fetch_add(payload as u64 + LENGTH, Ordering::Relaxed);
        }
    }

    /// Messages and bytes so far, by kind.
    pub fn totals(&self) -> BTreeMap<&'static str, (u64, u64)> {
        let counters = self.messages.iter().zip(&self.bytes);
        let read = |(messages, bytes): (&AtomicU64, &AtomicU64)| {
            (messages.load(Ordering::Relaxed), bytes.load(Ordering::Relaxed))
        };
        KINDS.into_iter().zip(counters.map(read)).collect()
    }
}

/// Whether messages of that kind go to registries.
pub fn goes_out(kind: &str) -> bool {
    KINDS.iter().position(|known| *known == kind).is_some_and(|index| index < 4)
}
