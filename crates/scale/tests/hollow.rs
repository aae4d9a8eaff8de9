//! The protocol of a hollow ingress: what it sends, and when it counts as settled.

#![cfg(test)]

use std::net::{Ipv4Addr, SocketAddrV4};
use violetyoke_scale::hollow::{Hollow, Requests};
use violetyoke_transport::compression::Compressed;
use violetyoke_transport::messages::{
    BackendList, BackendListChange, ListDigest, Membership, ProxyReply, ProxyRequest, Revision, Session,
};

const FIRST: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
const SECOND: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

fn hollow() -> Hollow {
    let session = Session {
        node: "edge-1".into(),
        front_address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 80),
        zone: "a".into(),
        region: "west".into(),
        is_ready: false,
    };
    Hollow::new(session, 7, &[FIRST, SECOND])
}

fn revision(sequence: u64) -> Revision {
    Revision { epoch: 1, sequence }
}

fn whole(sequence: u64) -> ProxyReply {
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
        digest: 5,
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
        ProxyRequest::Poll { revision: have, is_primary: lead, .. } => Some((*to, *have, *lead)),
        _ => None,
    };
    requests.iter().filter_map(poll).collect()
}

#[test]
fn a_session_begins_with_hello_and_exactly_one_registry_answers_first() {
    let mut hollow = hollow();
    let first = hollow.opened(FIRST);
    assert!(matches!(first.first(), Some((FIRST, ProxyRequest::Hello(session))) if !session.is_ready));
    assert_eq!(polls(&first), vec![(FIRST, Revision::default(), true)]);
    let second = hollow.opened(SECOND);
    assert_eq!(polls(&second).iter().filter(|(.., lead)| *lead).count(), 1);
    assert_eq!(polls(&second).len(), 2);
}

#[test]
fn it_settles_once_every_registry_has_told_and_says_that_it_is_ready() {
    let mut hollow = hollow();
    hollow.opened(FIRST);
    hollow.opened(SECOND);
    hollow.replied(FIRST, whole(3));
    hollow.replied(FIRST, list(9));
    hollow.replied(FIRST, members(2, 3));
    assert!(!hollow.is_settled(), "the second registry has told nothing");
    let said = hollow.replied(SECOND, members(2, 3));
    assert!(hollow.is_settled());
    assert!(hollow.knows(2) && !hollow.knows(3));
    let hellos = said.iter().filter(|(_, it)| matches!(it, ProxyRequest::Hello(session) if session.is_ready));
    assert_eq!(hellos.count(), 2, "both registries hear that it is ready");
}

#[test]
fn a_registry_with_a_newer_state_or_a_lost_session_unsettles_it() {
    let mut hollow = hollow();
    hollow.opened(FIRST);
    hollow.opened(SECOND);
    for reply in [whole(3), list(9), members(2, 3)] {
        hollow.replied(FIRST, reply);
    }
    hollow.replied(SECOND, members(2, 4));
    assert!(!hollow.is_settled(), "the second registry has state 4");
    hollow.replied(SECOND, change(3, 4));
    assert!(hollow.is_settled());
    hollow.closed(SECOND);
    assert!(!hollow.is_settled());
}

#[test]
fn a_difference_from_another_state_or_list_is_not_taken() {
    let mut hollow = hollow();
    hollow.opened(FIRST);
    hollow.replied(FIRST, whole(3));
    let asked = hollow.replied(FIRST, change(2, 5));
    assert_eq!(hollow.have(), revision(3));
    assert_eq!(polls(&asked), vec![(FIRST, revision(3), true)]);
    hollow.replied(FIRST, list(9));
    let other =
        BackendListChange { from: ListDigest(8), digest: ListDigest(10), ..BackendListChange::default() };
    hollow.replied(FIRST, ProxyReply::BackendListChange(other));
    assert_eq!(hollow.list(), ListDigest(9));
}

#[test]
fn an_older_state_never_takes_the_place_of_a_newer_one() {
    let mut hollow = hollow();
    hollow.opened(FIRST);
    hollow.replied(FIRST, whole(5));
    hollow.replied(FIRST, whole(4));
    assert_eq!(hollow.have(), revision(5));
}
