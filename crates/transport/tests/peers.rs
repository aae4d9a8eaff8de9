//! Connections to a set of peers, in virtual time.

#![cfg(test)]

mod slow;

use bytes::Bytes;
use slow::{run_on_network, SlowNetwork};
use std::cell::RefCell;
use std::future::Future;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;
use violetyoke_transport::connection::{accept_all, ConnectionId, Event, IDLE_TIMEOUT};
use violetyoke_transport::net;
use violetyoke_transport::peers::PeerConnections;

const PORT: u16 = 7000;
/// Bits a second.
const FAST: u64 = 100_000_000;
const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// The events at the side that listens, by connection.
type Accepted = Rc<RefCell<Vec<(ConnectionId, Event)>>>;
/// The events at the side that connects, by peer.
type Events = Rc<RefCell<Vec<(Ipv4Addr, Event)>>>;

fn on_a_fast_network<F: Future<Output = ()>>(test: impl FnOnce(SlowNetwork, Accepted) -> F) {
    run_on_network(FAST, |network| async move {
        let accepted = Accepted::default();
        let into = accepted.clone();
        let listener = net::listen((FIRST, PORT).into()).expect("a listener");
        spawn_local(accept_all(listener, move |id| {
            let into = into.clone();
            move |event| into.borrow_mut().push((id, event))
        }));
        test(network, accepted).await;
    });
}

/// Hands the set the events that concern its connections; returns how many there were.
fn hand_back(peers: &mut PeerConnections, events: &Events) -> usize {
    let events: Vec<(Ipv4Addr, Event)> = events.borrow_mut().drain(..).collect();
    let count = events.len();
    for (peer, event) in events {
        match event {
            Event::Connected(sender) => peers.connected(peer, sender),
            Event::Disconnected => peers.disconnected(peer),
            Event::Message(_) => {}
        }
    }
    count
}

fn peers() -> (PeerConnections, Events) {
    let events = Events::default();
    let into = events.clone();
    (PeerConnections::new(PORT, move |peer, event| into.borrow_mut().push((peer, event))), events)
}

fn disconnections(accepted: &Accepted) -> usize {
    accepted.borrow().iter().filter(|(_, event)| matches!(event, Event::Disconnected)).count()
}

#[test]
fn each_peer_has_one_connection_and_a_sender_once_it_is_connected() {
    on_a_fast_network(|network, accepted| async move {
        let (mut peers, events) = peers();
        peers.connect_to([FIRST, SECOND, FIRST]);
        peers.connect_to([SECOND]);
        assert!(peers.sender(FIRST).is_none(), "not yet");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(hand_back(&mut peers, &events), 2);
        assert_eq!((network.connections(), peers.senders().count()), (2, 2));
        assert_eq!((peers.generation(FIRST), peers.generation(SECOND)), (1, 1));

        peers.sender(SECOND).expect("a sender").send(Bytes::from_static(b"to the second"));
        sleep(Duration::from_millis(50)).await;

        let accepted = accepted.borrow();
        let ids: Vec<u64> = accepted.iter().map(|(id, _)| id.0).collect();
        assert_eq!(ids, [1, 2, 2], "numbered in the order of acceptance");
        assert!(matches!(&accepted[2].1, Event::Message(message) if message == "to the second"));
    });
}

#[test]
fn peer_has_no_sender_after_its_connection_ended_and_the_next_is_another_generation() {
    on_a_fast_network(|network, _| async move {
        let (mut peers, events) = peers();
        peers.connect_to([FIRST]);
        sleep(Duration::from_millis(50)).await;
        hand_back(&mut peers, &events);

        network.stop();
        sleep(IDLE_TIMEOUT + Duration::from_millis(10)).await;
        hand_back(&mut peers, &events);
        assert!(peers.sender(FIRST).is_none());
        assert_eq!(peers.generation(FIRST), 1, "responses on it may still be told apart");

        network.bits_a_second(FAST);
        sleep(Duration::from_millis(500)).await;
        hand_back(&mut peers, &events);
        assert!(peers.sender(FIRST).is_some());
        assert_eq!(peers.generation(FIRST), 2);
    });
}

#[test]
fn all_connections_end_with_the_set() {
    on_a_fast_network(|network, accepted| async move {
        let (mut peers, _events) = peers();
        peers.connect_to([FIRST, SECOND]);
        sleep(Duration::from_millis(50)).await;
        assert_eq!(disconnections(&accepted), 0);

        drop(peers);
        sleep(Duration::from_secs(3)).await;

        assert_eq!(disconnections(&accepted), 2);
        assert_eq!(network.connections(), 2, "none is opened again");
    });
}
