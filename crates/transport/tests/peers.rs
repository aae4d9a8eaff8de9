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
/// The capacity of the network (bits per second).
const FAST: u64 = 100_000_000;
const FIRST: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const SECOND: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

/// The events on the listening side, with their connections.
type Accepted = Rc<RefCell<Vec<(ConnectionId, Event)>>>;
/// The events on the connecting side, with their peers.
type Events = Rc<RefCell<Vec<(Ipv4Addr, Event)>>>;

fn run_on_fast_network<F: Future<Output = ()>>(test: impl FnOnce(SlowNetwork, Accepted) -> F) {
    run_on_network(FAST, |network| async move {
        let accepted = Accepted::default();
        let events = accepted.clone();
        let listener = net::listen((FIRST, PORT).into()).expect("a listener");
        spawn_local(accept_all(listener, move |id| {
            let events = events.clone();
            move |event| events.borrow_mut().push((id, event))
        }));
        test(network, accepted).await;
    });
}

/// Reports the received events back to the set, and returns their number.
fn report_events(peers: &mut PeerConnections, events: &Events) -> usize {
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
    let received = events.clone();
    (PeerConnections::new(PORT, move |peer, event| received.borrow_mut().push((peer, event))), events)
}

fn disconnections(accepted: &Accepted) -> usize {
    accepted.borrow().iter().filter(|(_, event)| matches!(event, Event::Disconnected)).count()
}

#[test]
fn each_peer_has_one_connection_and_a_sender_once_it_is_connected() {
    run_on_fast_network(|network, accepted| async move {
        let (mut peers, events) = peers();
        peers.connect_to([FIRST, SECOND, FIRST]);
        peers.connect_to([SECOND]);
        assert!(peers.sender(FIRST).is_none(), "not connected yet");
        sleep(Duration::from_millis(50)).await;
        assert_eq!(report_events(&mut peers, &events), 2);
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
fn peer_has_no_sender_while_disconnected_and_a_new_generation_after_a_reconnect() {
    run_on_fast_network(|network, _| async move {
        let (mut peers, events) = peers();
        peers.connect_to([FIRST]);
        sleep(Duration::from_millis(50)).await;
        report_events(&mut peers, &events);

        network.stop();
        sleep(IDLE_TIMEOUT + Duration::from_millis(10)).await;
        report_events(&mut peers, &events);
        assert!(peers.sender(FIRST).is_none());
        assert_eq!(peers.generation(FIRST), 1, "the generation changes with the next connection");

        network.set_bits_per_second(FAST);
        sleep(Duration::from_millis(500)).await;
        report_events(&mut peers, &events);
        assert!(peers.sender(FIRST).is_some());
        assert_eq!(peers.generation(FIRST), 2);
    });
}

#[test]
fn dropping_the_set_closes_all_connections_for_good() {
    run_on_fast_network(|network, accepted| async move {
        let (mut peers, _events) = peers();
        peers.connect_to([FIRST, SECOND]);
        sleep(Duration::from_millis(50)).await;
        assert_eq!(disconnections(&accepted), 0);

        drop(peers);
        sleep(Duration::from_secs(3)).await;

        assert_eq!(disconnections(&accepted), 2);
        assert_eq!(network.connections(), 2, "no connection is reopened");
    });
}
