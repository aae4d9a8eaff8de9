//! Connections on slow links, in virtual time: large messages must not delay heartbeats or cause time-outs, and a connection
//! without any received bytes must end.

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

/// The messages that the listening side has received, with the time of their arrival.
type Received = Rc<RefCell<Vec<(Instant, Bytes)>>>;

struct Link {
    network: SlowNetwork,
    sender: Sender,
    received: Received,
    disconnections: Rc<RefCell<u32>>,
}

/// Runs `test` with a connection on a link with this capacity.
fn run_on_link<F: Future<Output = ()>>(bits_per_second: u64, test: impl FnOnce(Link) -> F) {
    run_on_network(bits_per_second, |network| async move {
        let (received, disconnections) = (Received::default(), Rc::<RefCell<u32>>::default());
        let messages = received.clone();
        let listener = net::listen(ADDRESS.into()).expect("a listener");
        spawn_local(accept_all(listener, move |_| {
            let messages = messages.clone();
            // Kept, because a connection ends when its sender is dropped.
            let accepted_sender = RefCell::new(None);
            move |event| match event {
                Event::Connected(sender) => *accepted_sender.borrow_mut() = Some(sender),
                Event::Message(message) => messages.borrow_mut().push((Instant::now(), message)),
                Event::Disconnected => {}
            }
        }));
        let opened_sender: Rc<RefCell<Option<Sender>>> = Rc::default();
        let (connected, disconnected) = (opened_sender.clone(), disconnections.clone());
        spawn_local(maintain(ADDRESS, move |event| match event {
            Event::Connected(sender) => *connected.borrow_mut() = Some(sender),
            Event::Disconnected => *disconnected.borrow_mut() += 1,
            Event::Message(_) => {}
        }));
        sleep(Duration::from_millis(50)).await;
        let sender = opened_sender.borrow().clone().expect("a connection");
        test(Link { network, sender, received, disconnections }).await;
    });
}

/// A message of this size (bytes).
fn state_of_size(size: usize) -> Bytes {
    (0..size).map(|index| (index * 7 + index / 251) as u8).collect::<Vec<u8>>().into()
}

#[test]
fn large_message_on_a_slow_link_does_not_delay_heartbeats() {
    run_on_link(2_000_000, |link| async move {
        let (state, heartbeat) = (state_of_size(2 << 20), Bytes::from_static(b"heartbeat"));
        let started_at = Instant::now();
        link.sender.send(state.clone());
        for _ in 0..80 {
            sleep(Duration::from_millis(150)).await;
            link.sender.send_urgent(heartbeat.clone());
        }
        let received = link.received.borrow();
        let complete = received.iter().filter(|(_, message)| *message == state).count();
        assert_eq!((complete, *link.disconnections.borrow(), link.network.connections()), (1, 0, 1));
        let heartbeats = received.iter().filter(|(_, message)| *message == heartbeat).map(|(time, _)| *time);
        let arrivals: Vec<Instant> = [started_at].into_iter().chain(heartbeats).collect();
        assert!(arrivals.len() >= 80, "{} heartbeats", arrivals.len());
        let longest_gap = arrivals.windows(2).map(|pair| pair[1] - pair[0]).max().expect("some heartbeats");
        // A store without heartbeats is suspected after 700 ms.
        assert!(longest_gap < Duration::from_millis(400), "{longest_gap:?} between two heartbeats");
    });
}

#[test]
fn chunk_that_takes_longer_than_the_idle_timeout_is_received() {
    // A chunk takes 4.4 s on this link, four times the idle time-out.
    run_on_link(60_000, |link| async move {
        let state = state_of_size(100_000);
        link.sender.send(state.clone());
        sleep(Duration::from_secs(16)).await;
        assert_eq!(link.received.borrow().iter().filter(|(_, message)| *message == state).count(), 1);
        assert_eq!(*link.disconnections.borrow(), 0);
    });
}

#[test]
fn messages_keep_their_order_and_a_queued_large_one_is_not_queued_twice() {
    run_on_link(2_000_000, |link| async move {
        let (first, second) = (state_of_size(300_000), state_of_size(200_000));
        let small = Bytes::from_static(b"after both");
        for message in [&first, &first, &second, &second, &small] {
            link.sender.send(message.clone());
        }
        sleep(Duration::from_secs(6)).await;
        let received: Vec<Bytes> =
            link.received.borrow().iter().map(|(_, message)| message.clone()).collect();
        assert!(received == [first.clone(), second, small], "{} messages", received.len());
        // Once it has been sent, it may be sent again, as the reply may have been lost.
        link.sender.send(first.clone());
        sleep(Duration::from_secs(3)).await;
        assert_eq!(link.received.borrow().last().map(|(_, message)| message.len()), Some(first.len()));
    });
}

#[test]
fn connection_on_a_dead_link_ends_without_delivering_part_of_a_message() {
    run_on_link(2_000_000, |link| async move {
        link.sender.send(state_of_size(1 << 20));
        sleep(Duration::from_millis(500)).await;
        link.network.stop();
        sleep(IDLE_TIMEOUT + Duration::from_millis(200)).await;
        assert_eq!(*link.disconnections.borrow(), 1);
        assert!(link.received.borrow().is_empty(), "no part of a message is delivered");
    });
}

#[test]
fn idle_connection_stays_open() {
    run_on_link(2_000_000, |link| async move {
        sleep(Duration::from_secs(30)).await;
        assert_eq!((*link.disconnections.borrow(), link.network.connections()), (0, 1));
    });
}
