//! The messages between registries and proxies, and between registries.

use crate::control::{address, owners, stamp, zones};
use crate::samples::{sample, Sample};
use crate::variants;
use std::net::SocketAddrV4;
use violetyoke_transport::messages::{
    Backend, Gossip, List, ListChange, Members, Owners, ProxyReply, ProxyRequest, RegistryRequest, Session,
    Stamp,
};
use violetyoke_transport::pack::Packed;

variants!(ProxyRequest {
    ProxyRequest::Hello(_) => "hello",
    ProxyRequest::Poll { .. } => "poll",
    ProxyRequest::Add { .. } => "add",
    ProxyRequest::Newer { .. } => "newer",
    ProxyRequest::Tell { .. } => "tell",
});
variants!(ProxyReply {
    ProxyReply::Whole { .. } => "whole",
    ProxyReply::Change { .. } => "change",
    ProxyReply::Newest { .. } => "newest",
    ProxyReply::List(_) => "list",
    ProxyReply::ListChange(_) => "list-change",
    ProxyReply::Members(_) => "members",
    ProxyReply::Counted { .. } => "counted",
    ProxyReply::NotMine { .. } => "not-mine",
});
variants!(RegistryRequest {
    RegistryRequest::Proxy(_) => "proxy",
    RegistryRequest::Registry(_) => "registry",
});

fn session(number: u8, ready: bool) -> Session {
    Session {
        node: format!("proxy-{number}"),
        front: SocketAddrV4::new(address(number), 8000 + u16::from(number)),
        zone: "zone-a".to_owned(),
        region: "region-1".to_owned(),
        ready,
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
        cold_left_ms: 12_345,
    }
}

fn list() -> List {
    List { digest: u64::MAX, age_ms: 300, backends: vec![backend(1, false), backend(2, true)] }
}

pub fn proxy_requests() -> Vec<(&'static str, ProxyRequest)> {
    let tenant = || "tenant-1".to_owned();
    let poll = |lead| ProxyRequest::Poll { have: stamp(300), list: u64::MAX, members: 70_000, lead };
    vec![
        ("proxy-request-hello", ProxyRequest::Hello(session(1, false))),
        ("proxy-request-hello-ready", ProxyRequest::Hello(session(200, true))),
        ("proxy-request-poll", poll(false)),
        ("proxy-request-poll-lead", poll(true)),
        ("proxy-request-add", ProxyRequest::Add { call: u32::MAX, tenant: tenant(), fence: stamp(1) }),
        ("proxy-request-newer", ProxyRequest::Newer { question: 300, have: stamp(2) }),
        (
            "proxy-request-tell",
            ProxyRequest::Tell { tenant: tenant(), fence: stamp(3), current: 70_000, previous: 200 },
        ),
    ]
}

pub fn gossip() -> Vec<(&'static str, Gossip)> {
    let from = address(9);
    let empty = Gossip { from, sessions: Vec::new(), away: Vec::new(), list: None };
    let sessions = vec![session(1, true), session(2, false)];
    vec![
        ("gossip-with-list", Gossip { from, sessions, away: vec![1, u32::MAX], list: Some(list()) }),
        ("gossip-without-list", empty),
    ]
}

pub fn registry_requests() -> Vec<Sample<RegistryRequest>> {
    let proxies = proxy_requests().into_iter().map(|(name, it)| sample(name, RegistryRequest::Proxy(it)));
    let registries = gossip().into_iter().map(|(name, it)| sample(name, RegistryRequest::Registry(it)));
    proxies.chain(registries).collect()
}

fn members() -> Members {
    Members {
        digest: u64::MAX - 1,
        proxies: vec![1, 70_000, u32::MAX],
        registries: vec![address(1), address(2)],
        in_contact: true,
        owners: owners(),
        newest: stamp(300),
    }
}

/// The packed payloads come as golden bytes themselves: another release of the deflate library may pack them otherwise.
pub fn proxy_replies(configuration: Packed, change: Packed) -> Vec<Sample<ProxyReply>> {
    let list_change = ListChange {
        from: 1,
        digest: 2,
        age_ms: 70_000,
        set: vec![backend(3, false)],
        gone: vec!["backend-4".to_owned()],
    };
    let nobody = Members { in_contact: false, owners: Owners::default(), ..Members::default() };
    vec![
        sample(
            "proxy-reply-whole",
            ProxyReply::Whole { stamp: stamp(300), evacuated: zones(&["zone-a"]), packed: configuration },
        ),
        sample(
            "proxy-reply-change",
            ProxyReply::Change {
                from: Stamp { epoch: 1, seq: 2 },
                stamp: stamp(300),
                evacuated: zones(&["zone-a", "zone-b"]),
                packed: change,
            },
        ),
        sample("proxy-reply-newest", ProxyReply::Newest { question: 300, stamp: stamp(300) }),
        sample("proxy-reply-list", ProxyReply::List(list())),
        sample("proxy-reply-list-empty", ProxyReply::List(List::default())),
        sample("proxy-reply-list-change", ProxyReply::ListChange(list_change)),
        sample("proxy-reply-members", ProxyReply::Members(members())),
        sample("proxy-reply-members-empty", ProxyReply::Members(nobody)),
        sample("proxy-reply-counted", ProxyReply::Counted { call: 300, retry_ms: None }),
        sample("proxy-reply-counted-over", ProxyReply::Counted { call: 300, retry_ms: Some(70_000) }),
        sample("proxy-reply-not-mine", ProxyReply::NotMine { call: u32::MAX }),
    ]
}
