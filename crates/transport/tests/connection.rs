//! Connections on slow links, in virtual time: a large message crosses while heartbeats go on, and a time without any byte ends them.

#![cfg(test)]

mod slow;

use bytes::Bytes;
use slow::{run_on_network, SlowNetwork};
use std::cell::RefCell;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};
use violetyoke_transport::connection::{accept_all, maintain, Event, Sender, IDLE_TIMEOUT};
use violetyoke_transport::net;

const ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);

/// What the side that listens has received, and when.
type Received = Rc<RefCell<Vec<(Instant, Bytes)>>>;

struct Link {
    network: SlowNetwork,
    sender: Sender,
    received: Received,
    disconnections: Rc<RefCell<u32>>,
}

/// A connection on a link of so many bits a second, and what `test` does with it.
fn on_a_link<F: Future<Output = ()>>(bits: u64, test: impl FnOnce(Link) -> F) {
    run_on_network(bits, |network| async move {
        let (received, disconnections) = (Received::default(), Rc::<RefCell<u32>>::default());
        let into = received.clone();
        let listener = net::listen(ADDRESS.into()).expect("a listener");
        spawn_local(accept_all(listener, move |_| {
            let into = into.clone();
            // A connection lasts for as long as somebody may send on it.
            let back = RefCell::new(None);
            move |event| match event {
                Event::Connected(sender) => *back.borrow_mut() = Some(sender),
                Event::Message(message) => into.borrow_mut().push((Instant::now(), message)),
                Event::Disconnected => {}
            }
        }));
        let senders: Rc<RefCell<Option<Sender>>> = Rc::default();
        let (opened, ended) = (senders.clone(), disconnections.clone());
        spawn_local(maintain(ADDRESS, move |event| match event {
            Event::Connected(sender) => *opened.borrow_mut() = Some(sender),
            Event::Disconnected => *ended.borrow_mut() += 1,
            Event::Message(_) => {}
        }));
        sleep(Duration::from_millis(50)).await;
        let sender = senders.borrow().clone().expect("a connection");
        test(Link { network, sender, received, disconnections }).await;
    });
}

fn state_of(bytes: usize) -> Bytes {
    (0..bytes).map(|at| (at * 7 + at / 251) as u8).collect::<Vec<u8>>().into()
}

#[test]
fn large_message_on_a_slow_link_does_not_delay_heartbeats() {
    on_a_link(2_000_000, |link| async move {
        let (state, heartbeat) = (state_of(2 << 20), Bytes::from_static(b"heartbeat"));
        let started = Instant::now();
        link.sender.send(state.clone());
        for _ in 0..80 {
            sleep(Duration::from_millis(150)).await;
            link.sender.send_urgent(heartbeat.clone());
        }
        let received = link.received.borrow();
        let complete = received.iter().filter(|(_, message)| *message == state).count();
        assert_eq!((complete, *link.disconnections.borrow(), link.network.connections()), (1, 0, 1));
        let heartbeats = received.iter().filter(|(_, message)| *message == heartbeat).map(|(at, _)| *at);
        let arrivals: Vec<Instant> = [started].into_iter().chain(heartbeats).collect();
        assert!(arrivals.len() >= 80, "{} heartbeats", arrivals.len());
        let longest = arrivals.windows(2).map(|pair| pair[1] - pair[0]).max().expect("some heartbeats");
        // A store is suspected after 700 ms.
        assert!(longest < Duration::from_millis(400), "{longest:?} between two heartbeats");
    });
}

#[test]
fn chunk_that_takes_longer_than_the_idle_timeout_is_received() {
    // A chunk takes 4.4 s here: four times the idle time-out.
    on_a_link(60_000, |link| async move {
        let state = state_of(100_000);
        link.sender.send(state.clone());
        sleep(Duration::from_secs(16)).await;
        assert_eq!(link.received.borrow().iter().filter(|(_, message)| *message == state).count(), 1);
        assert_eq!(*link.disconnections.borrow(), 0);
    });
}

#[test]
fn messages_keep_their_order_and_a_waiting_large_one_is_not_sent_twice() {
    on_a_link(2_000_000, |link| async move {
        let (first, second) = (state_of(300_000), state_of(200_000));
        let small = Bytes::from_static(b"after both");
        for message in [&first, &first, &second, &second, &small] {
            link.sender.send(message.clone());
        }
        sleep(Duration::from_secs(6)).await;
        let received: Vec<Bytes> =
            link.received.borrow().iter().map(|(_, message)| message.clone()).collect();
        assert!(received == [first.clone(), second, small], "{} messages", received.len());
        // Once it has gone, it may be sent again: the answer may have been lost.
        link.sender.send(first.clone());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(link.received.borrow().last().map(|(_, message)| message.len()), Some(first.len()));
    });
}

#[test]
fn connection_that_carries_nothing_ends_without_delivering_part_of_a_message() {
    on_a_link(2_000_000, |link| async move {
        link.sender.send(state_of(1 << 20));
        sleep(Duration::from_millis(500)).await;
        link.network.stop();
        sleep(IDLE_TIMEOUT + Duration::from_millis(200)).await;
        assert_eq!(*link.disconnections.borrow(), 1);
        assert!(link.received.borrow().is_empty(), "no part of a message is passed on");
    });
}

#[test]
fn idle_connection_stays_open() {
    on_a_link(2_000_000, |link| async move {
        sleep(Duration::from_secs(30)).await;
        assert_eq!((*link.disconnections.borrow(), link.network.connections()), (0, 1));
    });
}
