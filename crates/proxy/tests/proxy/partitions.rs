//! A registry that is partitioned from the others, as seen by a proxy that reaches it.

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

/// Three registries with the same state, in contact with each other.
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
    for n in 0..requests {
        admitted += usize::from(send("/search/1", "key-2", &format!("try-{n}"), b"").await.status == 200);
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
        // The only seed is partitioned: it names the others, and has an old state.
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

        assert!(!is_ready_within(Duration::from_secs(2)).await, "others may turn up");
        assert!(is_ready_within(Duration::from_secs(3)).await);
        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn proxy_denies_nothing_on_the_word_of_a_partitioned_registry() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        assert_eq!(send("/nowhere/1", "key-1", "a", b"").await.status, 404);
        assert_eq!(send("/search/1", "no-key", "b", b"").await.status, 401);

        registry.set_membership(1, &[&registry], false);
        registry.send_membership();
        sleep(SETTLE).await;

        let response = send("/nowhere/1", "key-1", "c", b"").await;
        assert_eq!(response.status, 503, "not executed, and not denied");
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
fn proxy_denies_nothing_on_a_stale_reply_or_on_the_word_of_a_registry_that_is_behind() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        registry.set_replies_to_freshness_checks(false);
        sleep(SETTLE).await;
        let (newest, late) = (registry.revision(), registry.clone());
        tokio::task::spawn_local(async move {
            for _ in 0..40 {
                // To a query of long ago.
                late.send(&ProxyReply::Freshness { request_id: 9_999, newest });
                sleep(Duration::from_millis(5)).await;
            }
        });
        assert_eq!(send("/nowhere/1", "key-1", "a", b"").await.status, 503);

        // It has lost its state, and knows of nothing newer: no proof that nothing newer exists.
        registry.set_replies_to_freshness_checks(true);
        registry.clear_state();
        sleep(SETTLE).await;
        assert_eq!(send("/nowhere/1", "key-1", "b", b"").await.status, 503);
    });
}

#[test]
fn quota_reply_of_another_registry_than_the_owner_is_ignored() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let [owner, other, _] = start_registries(&[&finder]);
        // One registry owns all counters, and does not reply; the local share of one of 1,000 proxies is one request.
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
        // Partitioned together with this proxy, it rejects increments, and sees one proxy.
        registry.set_quota_behavior(QuotaBehavior::RejectAsNotOwner);
        registry.set_membership(1, &[&registry], false);
        registry.send_membership();
        sleep(Duration::from_secs(12)).await;
        let started_at = Instant::now();

        let admitted = admitted_out_of(60).await;

        assert!(started_at.elapsed() < Duration::from_secs(1));
        // Three quarters of a thirtieth of 100 in five seconds.
        assert!((1..=3).contains(&admitted), "{admitted}");
    });
}

#[test]
fn proxy_that_has_lost_all_its_seeds_follows_registries_that_replaced_them() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        let newcomer = Registry::start(9);
        newcomer.set_state(2, &configuration_with_route(2, "/new/"), &[&finder]);
        newcomer.set_membership(9, &[&newcomer], true);
        registry.set_membership(9, &[&registry, &newcomer], true);
        registry.send_membership();
        assert!(wait_until(SETTLE, || newcomer.is_connected()).await);

        // The last seed is partitioned, and stays so: what it sends from now on is old.
        registry.set_membership(1, &[&registry], false);
        registry.send_membership();

        assert!(wait_until(SETTLE, || newcomer.is_primary()).await);
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
        assert!(is_ready().await);
    });
}

#[test]
fn route_acknowledged_right_after_a_newer_state_is_found() {
    run_in_virtual_time(|| async {
        let finder = start_finder();
        let (_proxy, registry) = start_ready_proxy(&[&finder]).await;
        // The registry alone knows each one: the proxy learns of it by its freshness check.
        for version in 2..6 {
            let prefix = format!("/new-{version}/");
            registry.set_state(version, &configuration_with_route(version, &prefix), &[&finder]);
            let response = send(&format!("{prefix}1"), "key-1", &prefix, b"").await;
            assert_eq!(response.status, 200, "{prefix}");
        }
    });
}
