//! The node: workers, queue, slow start and faults.

#![cfg(test)]

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use violetyoke_standin::http::{read_http, HttpMessage};
use violetyoke_standin::node::{Fault, InFlight, Node, Shape};
use violetyoke_standin::{any_port, listen};

fn node(shape: Shape) -> Node {
    Node::start(any_port(), "n", shape).unwrap()
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

fn write_request(stream: &mut TcpStream, id: usize) -> io::Result<()> {
    stream.write_all(format!("GET /x HTTP/1.1\r\nHost: n\r\nReq-Id: r{id}\r\n\r\n").as_bytes())
}

fn send(address: SocketAddr, id: usize) -> TcpStream {
    let mut stream = connect(address);
    write_request(&mut stream, id).unwrap();
    stream
}

/// Whether the node resets the connection of a request, before or after the complete request is written.
fn is_reset(address: SocketAddr, id: usize) -> bool {
    let mut stream = connect(address);
    let ended = write_request(&mut stream, id).and_then(|()| stream.read(&mut [0; 1]));
    let kinds = [io::ErrorKind::ConnectionReset, io::ErrorKind::BrokenPipe];
    ended.is_err_and(|error| kinds.contains(&error.kind()))
}

fn response(stream: TcpStream) -> Option<HttpMessage> {
    read_http(&mut BufReader::new(stream))
}

fn call(address: SocketAddr, id: usize) -> Option<HttpMessage> {
    response(send(address, id))
}

fn wait_until(mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < Duration::from_secs(10), "waited too long");
        thread::yield_now();
    }
}

#[test]
fn requests_beyond_workers_and_queue_are_declined() {
    let shape = Shape { workers: 2, queue: 3, service: Duration::from_millis(200), ..Shape::default() };
    let node = node(shape);
    let streams: Vec<_> = (0..5).map(|id| send(node.address, id)).collect();
    wait_until(|| node.in_flight().now == 5);
    let declined = call(node.address, 9).unwrap();
    assert_eq!((declined.status(), declined.headers["srv-declined"].as_str()), (503, "1"));
    assert!(streams.into_iter().all(|stream| response(stream).unwrap().status() == 200));
    assert_eq!(
        (node.executed().len(), node.received().len(), node.in_flight()),
        (5, 6, InFlight { now: 0, peak: 5 })
    );
}

#[test]
fn a_started_node_is_slower_until_its_slow_start_ends() {
    let shape = Shape {
        service: Duration::from_millis(20),
        initial_speed: 0.25,
        slow_start: Duration::from_millis(400),
        ..Shape::default()
    };
    let node = node(shape);
    let time = || {
        let began = Instant::now();
        assert_eq!(call(node.address, 1).unwrap().status(), 200);
        began.elapsed()
    };
    // The node works at a quarter to a half of its full speed.
    assert!(time() >= Duration::from_millis(40));
    wait_until(|| time() < Duration::from_millis(35));
    node.restart();
    assert!(time() >= Duration::from_millis(40));
}

#[test]
fn each_fault_has_its_effect_until_it_ends() {
    let node = node(Shape::default());
    node.inject(Fault::Decline);
    assert_eq!(call(node.address, 1).unwrap().headers["srv-declined"], "1");
    node.inject(Fault::Error);
    assert_eq!(call(node.address, 2).unwrap().status(), 500);
    node.inject(Fault::Spoil);
    assert!(call(node.address, 3).is_none_or(|response| response.status() == 0));
    for fault in [Fault::Reset, Fault::Closed] {
        node.inject(fault);
        assert!(is_reset(node.address, 4), "{fault:?} ends in a reset, not in an orderly close");
    }
    node.inject(Fault::Hang);
    let mut stream = send(node.address, 5);
    wait_until(|| node.received().last().is_some_and(|id| id == "r5"));
    stream.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    let silent = stream.read(&mut [0; 1]).unwrap_err();
    assert!([io::ErrorKind::WouldBlock, io::ErrorKind::TimedOut].contains(&silent.kind()));
    node.inject(Fault::None);
    assert_eq!(call(node.address, 6).unwrap().status(), 200);
    // Requests that were declined, reset, left hanging or answered with invalid bytes were not executed.
    assert_eq!(node.executed(), ["r2", "r6"]);
}

#[test]
fn addresses_other_than_loopback_are_refused() {
    assert!(listen("0.0.0.0:0".parse().unwrap()).is_err());
    assert!(listen("127.0.0.1:0".parse().unwrap()).is_ok());
}
