//! Messages and bytes between simulated proxies and registries, by kind, counted at the proxies.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use violetyoke_transport::messages::{ProxyReply, ProxyRequest};

/// A frame's length goes before its message (bytes).
const LENGTH_PREFIX: u64 = 4;

/// A kind of message, as records name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum MessageKind {
    Hello,
    Poll,
    Increment,
    OtherRequest,
    FullState,
    StateChange,
    BackendList,
    BackendListChange,
    Membership,
    Counted,
    NotOwner,
    Freshness,
}

impl MessageKind {
    pub(crate) const ALL: [MessageKind; 12] = [
        MessageKind::Hello,
        MessageKind::Poll,
        MessageKind::Increment,
        MessageKind::OtherRequest,
        MessageKind::FullState,
        MessageKind::StateChange,
        MessageKind::BackendList,
        MessageKind::BackendListChange,
        MessageKind::Membership,
        MessageKind::Counted,
        MessageKind::NotOwner,
        MessageKind::Freshness,
    ];

    /// The name in figures; records of earlier builds have the same.
    pub(crate) fn figure_name(self) -> &'static str {
        match self {
            MessageKind::Hello => "hello",
            MessageKind::Poll => "poll",
            MessageKind::Increment => "add",
            MessageKind::OtherRequest => "other-out",
            MessageKind::FullState => "whole",
            MessageKind::StateChange => "change",
            MessageKind::BackendList => "list",
            MessageKind::BackendListChange => "list-change",
            MessageKind::Membership => "members",
            MessageKind::Counted => "counted",
            MessageKind::NotOwner => "not-mine",
            MessageKind::Freshness => "newest",
        }
    }

    /// Whether it goes from a proxy to a registry.
    pub(crate) fn is_request(self) -> bool {
        self <= MessageKind::OtherRequest
    }
}

impl From<&ProxyRequest> for MessageKind {
    fn from(request: &ProxyRequest) -> MessageKind {
        match request {
            ProxyRequest::Hello(_) => MessageKind::Hello,
            ProxyRequest::Poll { .. } => MessageKind::Poll,
            ProxyRequest::Increment { .. } => MessageKind::Increment,
            ProxyRequest::CheckFreshness { .. } | ProxyRequest::TransferCount { .. } => {
                MessageKind::OtherRequest
            }
        }
    }
}

impl From<&ProxyReply> for MessageKind {
    fn from(reply: &ProxyReply) -> MessageKind {
        match reply {
            ProxyReply::FullState { .. } => MessageKind::FullState,
            ProxyReply::StateChange { .. } => MessageKind::StateChange,
            ProxyReply::BackendList(_) => MessageKind::BackendList,
            ProxyReply::BackendListChange(_) => MessageKind::BackendListChange,
            ProxyReply::Membership(_) => MessageKind::Membership,
            ProxyReply::Counted { .. } => MessageKind::Counted,
            ProxyReply::NotOwner { .. } => MessageKind::NotOwner,
            ProxyReply::Freshness { .. } => MessageKind::Freshness,
        }
    }
}

/// Messages of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Volume {
    pub(crate) messages: u64,
    pub(crate) bytes: u64,
}

impl Volume {
    pub(crate) fn since(self, earlier: Volume) -> Volume {
        Volume {
            messages: self.messages.saturating_sub(earlier.messages),
            bytes: self.bytes.saturating_sub(earlier.bytes),
        }
    }
}

/// Counters of all simulated proxies together.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    messages: [AtomicU64; MessageKind::ALL.len()],
    bytes: [AtomicU64; MessageKind::ALL.len()],
}

impl Traffic {
    /// Counts one message with so many bytes in its frame.
    pub(crate) fn count(&self, kind: MessageKind, payload: usize) {
        self.messages[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.bytes[kind as usize].fetch_add(payload as u64 + LENGTH_PREFIX, Ordering::Relaxed);
    }

    /// What was counted so far.
    pub(crate) fn totals(&self) -> BTreeMap<MessageKind, Volume> {
        let volume = |kind: MessageKind| Volume {
            messages: self.messages[kind as usize].load(Ordering::Relaxed),
            bytes: self.bytes[kind as usize].load(Ordering::Relaxed),
        };
        MessageKind::ALL.into_iter().map(|kind| (kind, volume(kind))).collect()
    }
}
