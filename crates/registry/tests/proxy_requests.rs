//! Requests of proxies to a registry and what it sends them, on connections in virtual time.

#![cfg(test)]

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::proxy::FakeProxy;
use support::registry::{with_registry, FakeStore};
use violetyoke_registry::updates::FALLBACK_DELAY;
use violetyoke_transport::messages::{
    Epoch, ListDigest, Membership, MembershipDigest, ProxyReply, ProxyRequest, Revision,
};

const FRONT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8080);
const SOON: Duration = Duration::from_millis(100);
const LATER: Duration = Duration::from_secs(1);
const FENCE: Revision = Revision { epoch: Epoch(1), sequence: 0 };

fn revision(sequence: u64) -> Revision {
    Revision { epoch: Epoch(1), sequence }
}

/// A configuration with a tenant of 5 requests a second, and one without a limit.
fn configuration(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":{{"columns":["name"],"rows":[]}},
            "services":{{"columns":["name"],"rows":[]}},
            "tenants":{{"columns":["name","rate-per-s","burst"],"rows":[["limited",5,5],["unlimited",0,0]]}}}}"#
    )
}

fn poll(known: Revision, membership: MembershipDigest, is_primary: bool) -> ProxyRequest {
    ProxyRequest::Poll { revision: known, backend_list: ListDigest::NONE, membership, is_primary }
}

fn memberships(replies: &[(Duration, ProxyReply)]) -> Vec<Membership> {
    let memberships = replies.iter().filter_map(|(_, reply)| match reply {
        ProxyReply::Membership(membership) => Some(membership.clone()),
        _ => None,
    });
    memberships.collect()
}

/// Starts a proxy that has the first state and the present membership.
async fn up_to_date_proxy(store: &FakeStore, is_primary: bool) -> FakeProxy {
    store.publish(revision(1), 1, &configuration(1));
    let proxy = FakeProxy::start(FRONT, true).await;
    proxy.send(poll(Revision::default(), MembershipDigest::NONE, true));
    let replies = proxy.replies_within(LATER).await;
    let membership = memberships(&replies).last().expect("a membership").digest;
    proxy.send(poll(revision(1), membership, is_primary));
    assert!(proxy.replies_within(LATER).await.is_empty(), "it is up to date");
    proxy
}

#[test]
fn new_proxy_is_sent_the_full_state_and_the_membership_at_once() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        store.publish(revision(1), 1, &configuration(1));
        let proxy = FakeProxy::start(FRONT, true).await;
        drop(proxy.replies_within(LATER).await);
        proxy.send(poll(Revision::default(), MembershipDigest::NONE, true));

        let replies = proxy.replies_within(SOON).await;

        let full = |reply: &ProxyReply| matches!(reply, ProxyReply::FullState { revision: sent, .. } if *sent == revision(1));
        assert!(replies.iter().any(|(_, reply)| full(reply)), "{replies:?}");
        let membership = memberships(&replies).pop().expect("a membership");
        assert_eq!((membership.proxies.len(), membership.newest), (1, revision(1)));
    });
}

#[test]
fn primary_registry_sends_a_change_at_once() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let proxy = up_to_date_proxy(&store, true).await;

        store.publish(revision(2), 2, &configuration(2));
        let replies = proxy.replies_within(SOON).await;

        assert!(
            matches!(&replies[..], [(_, ProxyReply::StateChange { from, revision: to, .. })]
            if *from == revision(1) && *to == revision(2)),
            "{replies:?}"
        );
    });
}

#[test]
fn other_registry_sends_a_change_after_the_fallback_delay() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let proxy = up_to_date_proxy(&store, false).await;

        store.publish(revision(2), 2, &configuration(2));
        let replies = proxy.replies_within(LATER).await;

        assert!(
            matches!(&replies[..], [(after, ProxyReply::StateChange { .. })]
            if (FALLBACK_DELAY..FALLBACK_DELAY + 100).contains(&(after.as_millis() as u64))),
            "{replies:?}"
        );
    });
}

#[test]
fn freshness_check_is_answered_by_the_newer_state_or_by_its_absence() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let proxy = up_to_date_proxy(&store, false).await;

        proxy.send(ProxyRequest::CheckFreshness { request_id: 7, known: revision(1) });
        let replies = proxy.replies_within(SOON).await;
        assert!(
            matches!(replies[..], [(_, ProxyReply::Freshness { request_id: 7, newest })]
            if newest == revision(1)),
            "{replies:?}"
        );

        store.publish(revision(2), 2, &configuration(2));
        proxy.send(ProxyRequest::CheckFreshness { request_id: 8, known: revision(1) });
        let replies = proxy.replies_within(SOON).await;
        assert!(
            replies.iter().any(|(_, reply)| matches!(reply, ProxyReply::StateChange { .. })),
            "{replies:?}"
        );
    });
}

#[test]
fn increments_are_counted_after_the_shards_are_assigned_to_the_registry() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let proxy = up_to_date_proxy(&store, true).await;
        let increment = |request_id: u32, tenant: &str| {
            let tenant = tenant.to_owned();
            proxy.send(ProxyRequest::Increment { request_id, tenant, fencing_token: FENCE });
        };

        increment(1, "limited");
        increment(2, "unlimited");
        let replies = proxy.replies_within(SOON).await;
        assert!(
            matches!(
                replies[..],
                [
                    (_, ProxyReply::NotOwner { request_id: 1 }),
                    (_, ProxyReply::Counted { request_id: 2, retry_ms: None }),
                ]
            ),
            "{replies:?}"
        );

        store.assign_shards(FENCE);
        let replies = proxy.replies_within(LATER).await;
        assert_eq!(memberships(&replies).len(), 1, "new owners are reported");
        (0..8).for_each(|n| increment(n, "limited"));
        let replies = proxy.replies_within(SOON).await;
        let admitted = |reply: &ProxyReply| matches!(reply, ProxyReply::Counted { retry_ms: None, .. });
        assert_eq!(replies.iter().filter(|(_, reply)| admitted(reply)).count(), 5, "{replies:?}");
    });
}
