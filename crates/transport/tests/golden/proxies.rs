//! Samples of the messages between registries and proxies, and between registries.

use crate::control::{address, owners, revision, zones};
use crate::samples::{sample, Sample};
use crate::{operations, variants};
use std::net::SocketAddrV4;
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{
    Backend, BackendList, BackendListChange, Epoch, Gossip, ListDigest, Membership, MembershipDigest,
    ProxyReply, ProxyRequest, RegistryRequest, Revision, Session, ShardOwners,
};

variants!(ProxyRequest {
    ProxyRequest::Hello(_) => "hello",
    ProxyRequest::Poll { .. } => "poll",
    ProxyRequest::Increment { .. } => "add",
    ProxyRequest::CheckFreshness { .. } => "newer",
    ProxyRequest::TransferCount { .. } => "tell",
    ProxyRequest::Operation { .. } => "operation",
    ProxyRequest::HolderIncarnation(_) => "holder-incarnation",
    ProxyRequest::ReadResponse { .. } => "read-response",
    ProxyRequest::Response { .. } => "response",
});
variants!(ProxyReply {
    ProxyReply::FullState { .. } => "whole",
    ProxyReply::StateChange { .. } => "change",
    ProxyReply::Freshness { .. } => "newest",
    ProxyReply::BackendList(_) => "list",
    ProxyReply::BackendListChange(_) => "list-change",
    ProxyReply::Membership(_) => "members",
    ProxyReply::Counted { .. } => "counted",
    ProxyReply::NotOwner { .. } => "not-mine",
    ProxyReply::Operation { .. } => "operation",
    ProxyReply::ReadResponse { .. } => "read-response",
    ProxyReply::Response { .. } => "response",
});
variants!(RegistryRequest {
    RegistryRequest::Proxy(_) => "proxy",
    RegistryRequest::Registry(_) => "registry",
});

fn session(number: u8, is_ready: bool) -> Session {
    Session {
        node: format!("proxy-{number}"),
        front_address: SocketAddrV4::new(address(number), 8000 + u16::from(number)),
        zone: "zone-a".to_owned(),
        region: "region-1".to_owned(),
        is_ready,
    }
}

fn backend(number: u8, draining: bool) -> Backend {
    Backend {
        id: format!("backend-{number}"),
        service: "search".to_owned(),
        address: SocketAddrV4::new(address(number), 9000),
        zone: "zone-b".to_owned(),
        slots: 70_000,
        draining,
        slow_start_left_ms: 12_345,
    }
}

fn list() -> BackendList {
    BackendList {
        digest: ListDigest(u64::MAX),
        age_ms: 300,
        backends: vec![backend(1, false), backend(2, true)],
    }
}

pub(crate) fn proxy_requests() -> Vec<(&'static str, ProxyRequest)> {
    let tenant = || "tenant-1".to_owned();
    let poll = |is_primary| ProxyRequest::Poll {
        revision: revision(300),
        backend_list: ListDigest(u64::MAX),
        membership: MembershipDigest(70_000),
        is_primary,
    };
    let mut requests = vec![
        ("proxy-request-hello", ProxyRequest::Hello(session(1, false))),
        ("proxy-request-hello-ready", ProxyRequest::Hello(session(200, true))),
        ("proxy-request-poll", poll(false)),
        ("proxy-request-poll-lead", poll(true)),
        (
            "proxy-request-add",
            ProxyRequest::Increment { request_id: u32::MAX, tenant: tenant(), fencing_token: revision(1) },
        ),
        ("proxy-request-newer", ProxyRequest::CheckFreshness { request_id: 300, known: revision(2) }),
        (
            "proxy-request-tell",
            ProxyRequest::TransferCount {
                tenant: tenant(),
                fencing_token: revision(3),
                current: 70_000,
                previous: 200,
            },
        ),
    ];
    requests.extend(operations::proxy_requests());
    requests
}

pub(crate) fn gossip() -> Vec<(&'static str, Gossip)> {
    let from = address(9);
    let empty = Gossip { from, sessions: Vec::new(), partitioned: Vec::new(), backends: None };
    let sessions = vec![session(1, true), session(2, false)];
    vec![
        (
            "gossip-with-list",
            Gossip { from, sessions, partitioned: vec![1, u32::MAX], backends: Some(list()) },
        ),
        ("gossip-without-list", empty),
    ]
}

pub(crate) fn registry_requests() -> Vec<Sample<RegistryRequest>> {
    let proxies =
        proxy_requests().into_iter().map(|(name, message)| sample(name, RegistryRequest::Proxy(message)));
    let registries =
        gossip().into_iter().map(|(name, message)| sample(name, RegistryRequest::Registry(message)));
    proxies.chain(registries).collect()
}

fn membership() -> Membership {
    Membership {
        digest: MembershipDigest(u64::MAX - 1),
        proxies: vec![1, 70_000, u32::MAX],
        registries: vec![address(1), address(2)],
        in_contact: true,
        shard_owners: owners(),
        newest: revision(300),
    }
}

/// The compressed payloads are read from golden files, because another release of the deflate library may compress them to
/// other bytes.
pub(crate) fn proxy_replies(configuration: Compressed, change: Compressed) -> Vec<Sample<ProxyReply>> {
    let list_change = BackendListChange {
        from: ListDigest(1),
        digest: ListDigest(2),
        age_ms: 70_000,
        upserted: vec![backend(3, false)],
        removed: vec!["backend-4".to_owned()],
    };
    let empty_membership =
        Membership { in_contact: false, shard_owners: ShardOwners::default(), ..Membership::default() };
    let mut replies = vec![
        sample(
            "proxy-reply-whole",
            ProxyReply::FullState { revision: revision(300), evacuated: zones(&["zone-a"]), configuration },
        ),
        sample(
            "proxy-reply-change",
            ProxyReply::StateChange {
                from: Revision { epoch: Epoch(1), sequence: 2 },
                revision: revision(300),
                evacuated: zones(&["zone-a", "zone-b"]),
                change,
            },
        ),
        sample("proxy-reply-newest", ProxyReply::Freshness { request_id: 300, newest: revision(300) }),
        sample("proxy-reply-list", ProxyReply::BackendList(list())),
        sample("proxy-reply-list-empty", ProxyReply::BackendList(BackendList::default())),
        sample("proxy-reply-list-change", ProxyReply::BackendListChange(list_change)),
        sample("proxy-reply-members", ProxyReply::Membership(membership())),
        sample("proxy-reply-members-empty", ProxyReply::Membership(empty_membership)),
        sample("proxy-reply-counted", ProxyReply::Counted { request_id: 300, retry_ms: None }),
        sample("proxy-reply-counted-over", ProxyReply::Counted { request_id: 300, retry_ms: Some(70_000) }),
        sample("proxy-reply-not-mine", ProxyReply::NotOwner { request_id: u32::MAX }),
    ];
    replies.extend(operations::proxy_replies());
    replies
}
