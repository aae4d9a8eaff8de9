//! A registry that is partitioned from the other registries but connected to the proxy.

use crate::support::backends::{Backend, Behavior};
use crate::support::client::{is_ready, is_ready_within, send};
use crate::support::registries::{QuotaBehavior, Registry};
use crate::support::{
    configuration, configuration_with_route, run_in_virtual_time, start_proxy, start_ready_proxy, wait_until,
};
use std::time::Duration;
use tokio::time::{sleep, Instant};
use violetyoke_transport::messages::ProxyReply;

/// Enough time for a report of the membership to take effect, and for a negative result to expire.
const SETTLE: Duration = Duration::from_secs(2);

fn start_finder() -> Backend {
    Backend::finder(Behavior::respond_ok("found"))
}

/// Starts three registries with the same state, in contact with each other.
fn start_registries(backends: &[&Backend]) -> [Registry; 3] {
    let registries = [Registry::start(1), Registry::start(2), Registry::start(3)];
    for registry in &registries {
        registry.set_state(1, &configuration(1), backends);
        registry.set_membership(9, &registries.iter().collect::<Vec<_>>(), true);
    }
    registries
}

/// The number of requests of the limited tenant that succeed, out of `requests`.
async fn admitted_out_of(requests: usize) -> usize {
    let mut admitted = 0;
    for number in 0..requests {
        admitted +=
            usize::from(send("/search/1", "key-2", &format!("try-{number}"), b"").await.status == 200);
    }
    admitted
}

#[test]
fn partitioned_registry_does_not_stay_primary() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let registries = start_registries(&[&finder]);
        let _proxy = start_proxy(&registries.iter().collect::<Vec<_>>());
        assert!(is_ready_within(SETTLE).await);
        let primary = registries.iter().position(Registry::is_primary).expect("a primary");

        registries[primary].set_membership(1, &[&registries[primary]], false);
        registries[primary].send_membership();

        assert!(wait_until(SETTLE, || !registries[primary].is_primary()).await);
        assert_eq!(registries.iter().filter(|registry| registry.is_primary()).count(), 1);
    });
}

#[test]
fn proxy_discovers_registries_through_a_partitioned_one_and_starts_with_the_newest_state() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let [partitioned, second, third] = start_registries(&[&finder]);
        // The only seed is partitioned and has an old state; it reports the other registries.
        partitioned.set_membership(1, &[&partitioned, &second, &third], false);
        for registry in [&second, &third] {
            registry.set_state(2, &configuration_with_route(2, "/new/"), &[&finder]);
            registry.set_membership(9, &[&partitioned, &second, &third], true);
        }

        let _proxy = start_proxy(&[&partitioned]);

        assert!(is_ready_within(SETTLE).await);
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn proxy_that_reaches_only_a_partitioned_registry_becomes_ready_after_a_timeout() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let [partitioned, ..] = start_registries(&[&finder]);
        partitioned.set_membership(1, &[&partitioned], false);

        let _proxy = start_proxy(&[&partitioned]);

        assert!(!is_ready_within(Duration::from_secs(2)).await, "other registries may connect");
        assert!(is_ready_within(Duration::from_secs(3)).await);
        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn freshness_reply_of_a_partitioned_registry_does_not_lead_to_a_denial() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        assert_eq!(send("/nowhere/1", "key-1", "a", b"").await.status, 404);
        assert_eq!(send("/search/1", "no-key", "b", b"").await.status, 401);

        registry.set_membership(1, &[&registry], false);
        registry.send_membership();
        sleep(SETTLE).await;

        let response = send("/nowhere/1", "key-1", "c", b"").await;
        assert_eq!(response.status, 503, "rejected, but not denied for good");
        assert!(response.head.contains("retry-after"));
        assert_eq!(send("/search/1", "no-key", "d", b"").await.status, 503);
        assert_eq!(send("/search/1", "key-1", "e", b"").await.status, 200);

        registry.set_membership(1, &[&registry], true);
        registry.send_membership();
        sleep(SETTLE).await;
        assert_eq!(send("/nowhere/1", "key-1", "f", b"").await.status, 404);
    });
}

#[test]
fn freshness_reply_to_an_old_query_or_of_a_registry_that_is_behind_does_not_lead_to_a_denial() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        registry.set_replies_to_freshness_checks(false);
        sleep(SETTLE).await;
        let (newest, replying) = (registry.revision(), registry.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..40 {
                // A reply to a query other than the present one.
                replying.send(&ProxyReply::Freshness { request_id: 9_999, newest });
                sleep(Duration::from_millis(5)).await;
            }
        });
        assert_eq!(send("/nowhere/1", "key-1", "a", b"").await.status, 503);

        // A registry that has lost its state reports no newer revision. This does not prove that none exists.
        registry.set_replies_to_freshness_checks(true);
        registry.clear_state();
        sleep(SETTLE).await;
        assert_eq!(send("/nowhere/1", "key-1", "b", b"").await.status, 503);
    });
}

#[test]
fn quota_reply_of_a_registry_other_than_the_owner_is_ignored() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let [owner, other, _] = start_registries(&[&finder]);
        // One registry owns all counters, and does not reply. With 1,000 proxies, the local share of each is one request.
        for registry in [&owner, &other] {
            registry.set_membership_with_fence(2, 1_000, &[&owner], true);
        }
        owner.set_quota_behavior(QuotaBehavior::Hang);
        let _proxy = start_proxy(&[&owner, &other]);
        assert!(is_ready_within(SETTLE).await);
        tokio::task::spawn_local(async move {
            for _ in 0..400 {
                for request_id in 0..20 {
                    other.send(&ProxyReply::Counted { request_id, retry_ms: None });
                }
                sleep(Duration::from_millis(5)).await;
            }
        });

        assert_eq!(admitted_out_of(3).await, 1);
    });
}

#[test]
fn membership_of_a_partitioned_registry_does_not_enlarge_the_local_share() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        registry.set_membership(30, &[&registry], true);
        registry.send_membership();
        sleep(SETTLE).await;
        // The registry is partitioned together with this proxy: it rejects increments, and reports a single proxy.
        registry.set_quota_behavior(QuotaBehavior::RejectAsNotOwner);
        registry.set_membership(1, &[&registry], false);
        registry.send_membership();
        sleep(Duration::from_secs(12)).await;
        let started_at = Instant::now();

        let admitted = admitted_out_of(60).await;

        assert!(started_at.elapsed() < Duration::from_secs(1));
        // The local share: three quarters of a thirtieth of the 100 requests in five seconds.
        assert!((1..=3).contains(&admitted), "{admitted}");
    });
}

#[test]
fn proxy_whose_seeds_are_all_partitioned_uses_the_registries_that_replaced_them() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        let replacement = Registry::start(9);
        replacement.set_state(2, &configuration_with_route(2, "/new/"), &[&finder]);
        replacement.set_membership(9, &[&replacement], true);
        registry.set_membership(9, &[&registry, &replacement], true);
        registry.send_membership();
        assert!(wait_until(SETTLE, || replacement.is_connected()).await);

        // The only seed is partitioned for good: its state is old from now on.
        registry.set_membership(1, &[&registry], false);
        registry.send_membership();

        assert!(wait_until(SETTLE, || replacement.is_primary()).await);
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
        assert!(is_ready().await);
    });
}

#[test]
fn route_of_a_state_that_was_installed_right_after_another_one_is_found() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        // The registry does not send the states: the proxy learns of each one by a freshness check, also right after
        // the one before.
        for version in 2..6 {
            let prefix = format!("/new-{version}/");
            registry.set_state(version, &configuration_with_route(version, &prefix), &[&finder]);
            let response = send(&format!("{prefix}1"), "key-1", &prefix, b"").await;
            assert_eq!(response.status, 200, "{prefix}");
        }
    });
}
