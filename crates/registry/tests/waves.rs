//! Waves of sessions: the work and the messages for many proxies at once are not quadratic in their number, and the
//! work does not grow with the length of the list of backends.

#![cfg(test)]

mod support;

use rustix::time::{clock_gettime, ClockId};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;
use support::backend;
use support::peer::FakePeer;
use support::proxy::FakeProxy;
use support::registry::{with_registry, FakeStore};
use tokio::time::sleep;
use violetyoke_transport::messages::{
    Gossip, ListDigest, MembershipDigest, ProxyReply, ProxyRequest, Revision,
};

/// Number of proxies in a wave.
const PROXIES: u16 = 60;
const SETTLING: Duration = Duration::from_millis(500);

fn front(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8_000 + number)
}

/// Starts proxies that all begin their sessions at once.
async fn start_wave(is_ready: bool) -> Vec<FakeProxy> {
    let proxies: Vec<FakeProxy> = (0..PROXIES).map(|_| FakeProxy::connect()).collect();
    sleep(SETTLING).await;
    announce(&proxies, is_ready);
    proxies
}

fn announce(proxies: &[FakeProxy], is_ready: bool) {
    for (number, proxy) in proxies.iter().enumerate() {
        proxy.begin_session(front(number as u16), is_ready);
    }
}

fn poll() -> ProxyRequest {
    ProxyRequest::Poll {
        revision: Revision::default(),
        backend_list: ListDigest::NONE,
        membership: MembershipDigest::NONE,
        is_primary: true,
    }
}

#[test]
fn wave_of_sessions_is_sent_to_other_registries_in_few_reports() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let peer = FakePeer::start(&store).await;
        drop(peer.take_reports());

        let proxies = start_wave(false).await;
        sleep(SETTLING).await;
        let reports = peer.take_reports();
        assert!((1..=8).contains(&reports.len()), "{} reports of {PROXIES} sessions", reports.len());
        assert_eq!(reports.last().map(|report| report.sessions.len()), Some(usize::from(PROXIES)));

        // A single change is reported at once.
        announce(&proxies[..1], true);
        sleep(Duration::from_millis(20)).await;
        assert_eq!(peer.take_reports().len(), 1, "at once");
        announce(&proxies[1..2], true);
        sleep(Duration::from_millis(160)).await;
        let ready = |reports: Vec<Gossip>| {
            reports.last().map(|report| report.sessions.iter().filter(|session| session.is_ready).count())
        };
        // A second change soon after is delayed, and reported within the interval.
        assert_eq!(ready(peer.take_reports()), Some(2));

        // Sessions that have not changed are not reported again.
        announce(&proxies, false);
        sleep(SETTLING).await;
        drop(peer.take_reports());
        announce(&proxies, false);
        sleep(SETTLING).await;
        assert_eq!(peer.take_reports().len(), 0);
    });
}

#[test]
fn ended_sessions_of_a_wave_are_reported_together() {
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let peer = FakePeer::start(&store).await;
        let proxies = start_wave(true).await;
        sleep(SETTLING).await;
        drop(peer.take_reports());
        assert_eq!(proxies.len(), usize::from(PROXIES));

        FakeProxy::disconnect_all(&proxies);
        sleep(SETTLING).await;
        let reports = peer.take_reports();
        assert!((1..=8).contains(&reports.len()), "{} reports of {PROXIES} ends", reports.len());
        assert_eq!(reports.last().map(|report| report.sessions.len()), Some(0));
    });
}

/// Processor time of this thread (s).
fn processor_time() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Processor time (s) of a wave in which each proxy receives the list, and then updates its session many times.
fn processor_time_of_a_wave(backends: usize) -> f64 {
    let mut used_s = 0.0;
    with_registry(|| async {
        let store = FakeStore::start(None).await;
        let peer = FakePeer::start(&store).await;
        let list = (0..backends).map(|n| backend(&format!("i-{n}"), false, 0)).collect();
        peer.report_list(list);
        sleep(SETTLING).await;
        let before = processor_time();
        let proxies = start_wave(true).await;
        for proxy in &proxies {
            proxy.send(poll());
        }
        sleep(SETTLING).await;
        for proxy in &proxies {
            let replies = proxy.replies_within(Duration::ZERO).await;
            let lists = replies.iter().filter(|(_, reply)| matches!(reply, ProxyReply::BackendList(_)));
            assert!(lists.count() <= 1, "the list is sent once");
        }
        for _ in 0..50 {
            announce(&proxies, false);
            announce(&proxies, true);
            sleep(Duration::from_millis(10)).await;
        }
        used_s = processor_time() - before;
    });
    used_s
}

#[test]
fn long_list_of_backends_is_not_copied_for_each_message() {
    let (few, many) = (processor_time_of_a_wave(30), processor_time_of_a_wave(1_500));
    // The limit allows for sending the list to each proxy once: the registry encodes it, and the proxies of the test
    // decode it.
    assert!(many < few + 4.0, "{few:.2} s with 30 backends, {many:.2} s with 1,500");
}
