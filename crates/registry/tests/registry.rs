//! Sessions, the backends' list, and the platform's pages.

#![cfg(test)]
#![allow(
    clippy::redundant_closure_for_method_calls,
    reason = "not yet revised for readers: see docs/ROADMAP.md"
)]

use std::net::Ipv4Addr;
use violetyoke_registry::backends::Lists;
use violetyoke_registry::platform::page;
use violetyoke_registry::sessions::Sessions;
use violetyoke_transport::messages::{proxy_id, Backend, BackendList, ListDigest, Session};

fn session(node: &str, zone: &str, port: u16, ready: bool) -> Session {
    Session {
        node: node.into(),
        front_address: format!("10.0.0.1:{port}").parse().expect("an address"),
        zone: zone.into(),
        region: zone[..1].into(),
        is_ready: ready,
    }
}

fn ports(sessions: &Sessions, region: &str, zone: &str) -> Vec<u16> {
    sessions.resolve(region, zone).iter().map(|address| address.port()).collect()
}

#[test]
fn clients_are_sent_to_ready_proxies_of_their_zone_then_region_then_any() {
    let mut sessions = Sessions::default();
    sessions.begin(1, session("edge-1", "a1", 1, true));
    sessions.begin(2, session("edge-2", "a2", 2, true));
    sessions.told(Ipv4Addr::new(10, 0, 0, 9), vec![session("edge-3", "b1", 3, true)]);
    assert_eq!(ports(&sessions, "a", "a1"), [1]);
    sessions.begin(1, session("edge-1", "a1", 1, false));
    assert_eq!(ports(&sessions, "a", "a1"), [2]);
    assert!(sessions.end(2));
    assert_eq!(ports(&sessions, "a", "a1"), [3], "another registry's session is one too");
    sessions.lost(Ipv4Addr::new(10, 0, 0, 9));
    assert!(ports(&sessions, "a", "a1").is_empty());
    assert_eq!(sessions.members(), [proxy_id("edge-1")], "not ready, and still a member");
}

#[test]
fn members_follow_each_beginning_change_and_end_of_a_session() {
    let other = Ipv4Addr::new(10, 0, 0, 9);
    let mut numbers = [proxy_id("edge-1"), proxy_id("edge-2")];
    numbers.sort();
    let mut sessions = Sessions::default();
    assert!(sessions.members().is_empty());
    sessions.begin(1, session("edge-1", "a1", 1, false));
    assert_eq!(
        (sessions.members(), sessions.not_ready()),
        (&[proxy_id("edge-1")][..], &[proxy_id("edge-1")][..])
    );
    sessions.begin(1, session("edge-1", "a1", 1, true));
    assert!(sessions.not_ready().is_empty(), "it says on the same connection that it is ready");
    sessions.told(other, vec![session("edge-2", "a1", 2, false)]);
    assert_eq!((sessions.members(), sessions.not_ready()), (&numbers[..], &[proxy_id("edge-2")][..]));
    sessions.told(other, vec![session("edge-2", "a1", 2, true)]);
    assert!(sessions.not_ready().is_empty());
    assert!(!sessions.end(7), "a connection without a session");
    assert!(sessions.end(1));
    assert_eq!(sessions.members(), [proxy_id("edge-2")]);
    sessions.lost(other);
    assert!(sessions.members().is_empty());
}

fn backend(id: &str, draining: bool, slow_start_left_ms: u64) -> Backend {
    Backend {
        id: id.into(),
        service: "finder".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a1".into(),
        slots: 6,
        draining,
        slow_start_left_ms,
    }
}

#[test]
fn a_cold_time_ends_late_however_long_the_pages_took() {
    let mut lists = Lists::default();
    lists.asked();
    // Asked at 1,000, answered 600 ms later: the last page was written just then, with a second to go.
    assert!(lists.answered(1_600, 1_000, vec![backend("i-1", false, 1_000), backend("i-2", false, 0)]));
    let told = lists.newest(1_700, true).expect("a list");
    let ends = |n: usize| 1_700 - told.age_ms + told.backends[n].slow_start_left_ms;
    assert_eq!((ends(0), told.backends[1].slow_start_left_ms), (2_600, 0));
}

const ONE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const TWO: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

#[test]
fn one_registry_asks_for_all_until_it_falls_silent() {
    let (mut first, mut second) = (Lists::default(), Lists::default());
    assert!(first.due(1, ONE, &[ONE, TWO]));
    first.asked();
    assert!(!first.due(2, ONE, &[ONE, TWO]), "one call at a time");
    assert!(first.answered(20, 1, vec![backend("i-1", false, 0)]));
    let told = first.newest(30, true).expect("a list");
    assert_eq!(told.age_ms, 29);
    assert!(second.told(1_000, told));
    assert!(!second.due(1_500, TWO, &[ONE, TWO]));
    // Only the word that it still holds: fresh again.
    let still = first.newest(400, false).expect("a list");
    assert!(!second.told(2_000, BackendList { age_ms: 0, ..still }));
    assert!(!second.due(3_500, TWO, &[ONE, TWO]));
    assert!(second.due(3_900, TWO, &[ONE, TWO]), "no word for too long");
    assert!(second.due(3_900, TWO, &[TWO]));
}

#[test]
fn a_list_that_was_asked_for_earlier_never_goes_before_a_later_one() {
    let mut lists = Lists::default();
    assert!(lists.answered(500, 480, vec![backend("i-1", true, 0)]));
    let old = BackendList { digest: ListDigest(7), age_ms: 300, backends: vec![backend("i-1", false, 0)] };
    assert!(!lists.told(600, old));
    assert!(lists.newest(600, true).is_some_and(|list| list.backends[0].draining));
}

#[test]
fn refused_calls_are_made_again_ever_more_rarely() {
    let mut lists = Lists::default();
    let mut calls = 0;
    for now in 1..20_000 {
        if lists.due(now, ONE, &[ONE]) {
            lists.asked();
            lists.failed(now);
            calls += 1;
        }
    }
    assert!((5..12).contains(&calls), "{calls} calls in 20 s");
}

#[test]
fn running_down_is_no_news_and_becoming_cold_is() {
    let mut lists = Lists::default();
    assert!(lists.answered(10, 0, vec![backend("i-1", false, 3_000)]));
    assert!(!lists.answered(600, 500, vec![backend("i-1", false, 2_500)]));
    assert!(lists.answered(4_000, 3_600, vec![backend("i-1", false, 0)]));
    assert!(lists.answered(4_600, 4_500, vec![backend("i-1", false, 3_000)]));
}

#[test]
fn a_page_is_read_as_the_platform_writes_it() {
    let text = br#"{"instances":{"i-7f3a91c2":{"service":"huvo11a","address":"10.128.0.9:8080","zone":"a1",
        "version":"v1","slots":6,"state":"draining","cold-left-ms":12.5,"new":1}},"next-token":"p-50"}"#;
    let (backends, next) = page(text).expect("a page");
    assert_eq!(next.as_deref(), Some("p-50"));
    assert_eq!(
        (backends[0].id.as_str(), backends[0].draining, backends[0].slow_start_left_ms),
        ("i-7f3a91c2", true, 13)
    );
    assert!(page(b"{\"instances\":{}}").is_ok_and(|(backends, next)| backends.is_empty() && next.is_none()));
    assert!(page(b"{\"instances\":{\"i-1\":{}}}").is_err());
}
