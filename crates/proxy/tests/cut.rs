//! A registry that is cut off from the core, seen by a proxy that reaches it and others.

#![cfg(test)]
#![allow(clippy::unused_async, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod common;

use common::backends::{ok, Act, Backend};
use common::registries::{Counts, Registry};
use common::{configuration, play, ready, ready_within, send, stage, start, until, with_route};
use std::time::Duration;
use tokio::time::{sleep, Instant};
use violetyoke_transport::messages::ProxyReply;

const SOON: Duration = Duration::from_secs(2);

fn finder() -> Backend {
    Backend::start("finder-1", "finder", 1, |seen| Act::Say(ok(&seen.id, "found")))
}

async fn three(backends: &[&Backend]) -> [Registry; 3] {
    let registries = [Registry::start(1), Registry::start(2), Registry::start(3)];
    for registry in &registries {
        registry.knows(1, configuration(1), backends);
        registry.members(9, &registries.iter().collect::<Vec<_>>(), true);
    }
    registries
}

#[test]
fn a_registry_that_is_out_of_contact_is_not_asked_first() {
    play(|| async {
        let finder = finder();
        let registries = three(&[&finder]).await;
        let _proxy = start(&registries.iter().collect::<Vec<_>>());
        assert!(ready_within(SOON).await);
        let lead = registries.iter().position(Registry::leads).expect("one is asked first");
        registries[lead].members(1, &[&registries[lead]], false);
        registries[lead].tell_members();
        assert!(until(SOON, || !registries[lead].leads()).await);
        assert_eq!(registries.iter().filter(|registry| registry.leads()).count(), 1);
    });
}

#[test]
fn a_proxy_finds_the_others_through_a_registry_that_is_cut_off_and_is_ready_with_the_newest_state() {
    play(|| async {
        let finder = finder();
        let [cut, other, third] = three(&[&finder]).await;
        // The one seed that is left is cut off: it names the others, and has an old state.
        cut.members(1, &[&cut, &other, &third], false);
        for registry in [&other, &third] {
            registry.knows(2, with_route(2, "/new/"), &[&finder]);
            registry.members(9, &[&cut, &other, &third], true);
        }
        let _proxy = start(&[&cut]);
        assert!(ready_within(SOON).await);
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn a_proxy_that_reaches_none_but_a_cut_off_registry_serves_what_that_has_after_a_while() {
    play(|| async {
        let finder = finder();
        let [cut, ..] = three(&[&finder]).await;
        cut.members(1, &[&cut], false);
        let _proxy = start(&[&cut]);
        assert!(!ready_within(Duration::from_secs(2)).await, "others may turn up");
        assert!(ready_within(Duration::from_secs(3)).await);
        assert_eq!(send("/search/1", "key-1", "a", b"").await.status, 200);
    });
}

#[test]
fn what_only_a_cut_off_registry_does_not_know_is_not_denied() {
    play(|| async {
        let finder = finder();
        let (_proxy, registry) = stage(&[&finder]).await;
        assert_eq!(send("/nowhere/1", "key-1", "a", b"").await.status, 404);
        assert_eq!(send("/search/1", "no-key", "b", b"").await.status, 401);
        registry.members(1, &[&registry], false);
        registry.tell_members();
        sleep(SOON).await;
        let got = send("/nowhere/1", "key-1", "c", b"").await;
        assert_eq!(got.status, 503, "a promise that it has not run, no denial");
        assert!(got.head.contains("retry-after"));
        assert_eq!(send("/search/1", "no-key", "d", b"").await.status, 503);
        assert_eq!(send("/search/1", "key-1", "e", b"").await.status, 200);
        registry.members(1, &[&registry], true);
        registry.tell_members();
        sleep(SOON).await;
        assert_eq!(send("/nowhere/1", "key-1", "f", b"").await.status, 404);
    });
}

#[test]
fn an_answer_to_an_earlier_question_and_one_from_a_registry_that_is_behind_deny_nothing() {
    play(|| async {
        let finder = finder();
        let (_proxy, registry) = stage(&[&finder]).await;
        registry.script.borrow_mut().answers = false;
        sleep(SOON).await;
        let revision = registry.script.borrow().state.as_ref().expect("a state").0;
        let late = registry.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..40 {
                // Of a question that was asked long ago.
                late.tell(&ProxyReply::Freshness { request_id: 9_999, newest: revision });
                sleep(Duration::from_millis(5)).await;
            }
        });
        assert_eq!(send("/nowhere/1", "key-1", "a", b"").await.status, 503);
        // It was emptied, and knows of nothing: no proof that there is nothing.
        registry.script.borrow_mut().answers = true;
        registry.script.borrow_mut().state = None;
        sleep(SOON).await;
        assert_eq!(send("/nowhere/1", "key-1", "b", b"").await.status, 503);
    });
}

#[test]
fn an_add_is_answered_by_whom_it_was_sent_to_and_by_nobody_else() {
    play(|| async {
        let finder = finder();
        let [holder, other, _] = three(&[&finder]).await;
        // All counts are dealt to one, which is silent; a proxy of very many has one request of its own.
        for registry in [&holder, &other] {
            registry.members_under(2, 1_000, &[&holder], true);
        }
        holder.script.borrow_mut().counts = Counts::Silent;
        let _proxy = start(&[&holder, &other]);
        assert!(ready_within(SOON).await);
        tokio::task::spawn_local(async move {
            for _ in 0..400 {
                for call in 0..20 {
                    other.tell(&ProxyReply::Counted { request_id: call, retry_ms: None });
                }
                sleep(Duration::from_millis(5)).await;
            }
        });
        let mut served = 0;
        for n in 0..3 {
            served += u32::from(send("/search/1", "key-2", &format!("try-{n}"), b"").await.status == 200);
        }
        assert_eq!(served, 1);
    });
}

#[test]
fn the_view_of_a_cut_off_registry_makes_no_part_larger() {
    play(|| async {
        let finder = finder();
        let (_proxy, registry) = stage(&[&finder]).await;
        registry.members(30, &[&registry], true);
        registry.tell_members();
        sleep(SOON).await;
        // Cut off with this proxy alone, it does not count, and sees one ingress.
        registry.script.borrow_mut().counts = Counts::NotMine;
        registry.members(1, &[&registry], false);
        registry.tell_members();
        sleep(Duration::from_secs(12)).await;
        let begun = Instant::now();
        let mut served = 0;
        for n in 0..60 {
            served += u32::from(send("/search/1", "key-2", &format!("try-{n}"), b"").await.status == 200);
        }
        assert!(begun.elapsed() < Duration::from_secs(1));
        // Three quarters of a thirtieth of 100 in five seconds.
        assert!((1..=3).contains(&served), "{served}");
    });
}

#[test]
fn a_proxy_that_has_lost_all_its_seeds_stays_with_those_that_came_for_them() {
    play(|| async {
        let finder = finder();
        let (_proxy, registry) = stage(&[&finder]).await;
        let newcomer = Registry::start(9);
        newcomer.knows(2, with_route(2, "/new/"), &[&finder]);
        newcomer.members(9, &[&newcomer], true);
        registry.members(9, &[&registry, &newcomer], true);
        registry.tell_members();
        assert!(until(SOON, || newcomer.connected()).await);
        // The last seed falls silent and stays so: what it says from now on is old.
        registry.members(1, &[&registry], false);
        registry.tell_members();
        assert!(until(SOON, || newcomer.leads()).await);
        assert_eq!(send("/new/1", "key-1", "a", b"").await.status, 200);
        assert!(ready().await);
    });
}

#[test]
fn a_route_acknowledged_right_after_a_newer_state_is_asked_for_too() {
    play(|| async {
        let finder = finder();
        let (_proxy, registry) = stage(&[&finder]).await;
        // Known to the registry alone: the proxy learns each as it asks.
        for version in 2..6 {
            let prefix = format!("/new-{version}/");
            registry.knows(version, with_route(version, &prefix), &[&finder]);
            assert_eq!(send(&format!("{prefix}1"), "key-1", &prefix, b"").await.status, 200, "{prefix}");
        }
    });
}
