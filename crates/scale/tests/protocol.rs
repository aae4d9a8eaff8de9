//! The protocol of a simulated proxy: what it sends, and when it counts as settled.

#![cfg(test)]

use std::net::{Ipv4Addr, SocketAddrV4};
use violetyoke_scale::protocol::{ProxyProtocol, Requests};
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{
    BackendList, BackendListChange, Epoch, ListDigest, Membership, MembershipDigest, ProxyReply,
    ProxyRequest, Revision, Session,
};

const FIRST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const SECOND: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

fn proxy() -> ProxyProtocol {
    let session = Session {
        node: "edge-1".into(),
        front_address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        zone: "a".into(),
        region: "west".into(),
        is_ready: false,
    };
    ProxyProtocol::new(session, 7, &[FIRST, SECOND])
}

fn revision(sequence: u64) -> Revision {
    Revision { epoch: Epoch(1), sequence }
}

fn full_state(sequence: u64) -> ProxyReply {
    ProxyReply::FullState {
        revision: revision(sequence),
        evacuated: Default::default(),
        configuration: Compressed::encode(&()).unwrap(),
    }
}

fn change(from: u64, to: u64) -> ProxyReply {
    let packed = Compressed::encode(&()).unwrap();
    ProxyReply::StateChange {
        from: revision(from),
        revision: revision(to),
        evacuated: Default::default(),
        change: packed,
    }
}

fn members(count: u32, newest: u64) -> ProxyReply {
    let proxies = (0..count).collect();
    ProxyReply::Membership(Membership {
        digest: MembershipDigest(5),
        proxies,
        newest: revision(newest),
        ..Membership::default()
    })
}

fn list(digest: u64) -> ProxyReply {
    ProxyReply::BackendList(BackendList { digest: ListDigest(digest), age_ms: 0, backends: Vec::new() })
}

/// Polls among some requests: to whom, with which state, and who is to answer first.
fn polls(requests: &Requests) -> Vec<(Ipv4Addr, Revision, bool)> {
    let poll = |(to, request): &(Ipv4Addr, ProxyRequest)| match request {
        ProxyRequest::Poll { revision, is_primary, .. } => Some((*to, *revision, *is_primary)),
        _ => None,
    };
    requests.iter().filter_map(poll).collect()
}

#[test]
fn a_session_begins_with_hello_and_exactly_one_registry_is_primary() {
    let mut proxy = proxy();
    let first = proxy.on_connected(FIRST);
    assert!(matches!(first.first(), Some((FIRST, ProxyRequest::Hello(session))) if !session.is_ready));
    assert_eq!(polls(&first), vec![(FIRST, Revision::default(), true)]);
    let second = proxy.on_connected(SECOND);
    assert_eq!(polls(&second).iter().filter(|(.., is_primary)| *is_primary).count(), 1);
    assert_eq!(polls(&second).len(), 2);
}

#[test]
fn it_settles_and_reports_ready_once_every_registry_has_sent_its_membership() {
    let mut proxy = proxy();
    proxy.on_connected(FIRST);
    proxy.on_connected(SECOND);
    proxy.on_reply(FIRST, full_state(3));
    proxy.on_reply(FIRST, list(9));
    proxy.on_reply(FIRST, members(2, 3));
    assert!(!proxy.is_settled(), "the second registry has told nothing");
    let said = proxy.on_reply(SECOND, members(2, 3));
    assert!(proxy.is_settled());
    assert!(proxy.knows_members(2) && !proxy.knows_members(3));
    let hellos = said.iter().filter(|(_, it)| matches!(it, ProxyRequest::Hello(session) if session.is_ready));
    assert_eq!(hellos.count(), 2, "both registries hear that it is ready");
}

#[test]
fn a_registry_with_a_newer_state_or_a_lost_session_unsettles_it() {
    let mut proxy = proxy();
    proxy.on_connected(FIRST);
    proxy.on_connected(SECOND);
    for reply in [full_state(3), list(9), members(2, 3)] {
        proxy.on_reply(FIRST, reply);
    }
    proxy.on_reply(SECOND, members(2, 4));
    assert!(!proxy.is_settled(), "the second registry has state 4");
    proxy.on_reply(SECOND, change(3, 4));
    assert!(proxy.is_settled());
    proxy.on_disconnected(SECOND);
    assert!(!proxy.is_settled());
}

#[test]
fn a_change_of_another_state_or_list_is_not_installed() {
    let mut proxy = proxy();
    proxy.on_connected(FIRST);
    proxy.on_reply(FIRST, full_state(3));
    let asked = proxy.on_reply(FIRST, change(2, 5));
    assert_eq!(proxy.revision(), revision(3));
    assert_eq!(polls(&asked), vec![(FIRST, revision(3), true)]);
    proxy.on_reply(FIRST, list(9));
    let other =
        BackendListChange { from: ListDigest(8), digest: ListDigest(10), ..BackendListChange::default() };
    proxy.on_reply(FIRST, ProxyReply::BackendListChange(other));
    assert_eq!(proxy.backend_list(), ListDigest(9));
}

#[test]
fn an_older_state_never_replaces_a_newer_one() {
    let mut proxy = proxy();
    proxy.on_connected(FIRST);
    proxy.on_reply(FIRST, full_state(5));
    proxy.on_reply(FIRST, full_state(4));
    assert_eq!(proxy.revision(), revision(5));
}
