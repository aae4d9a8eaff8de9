//! Bodies of every form and length, in both directions, on real sockets.

#![cfg(test)]
#![allow(clippy::let_underscore_must_use, reason = "not yet revised for readers: see docs/ROADMAP.md")]

mod common;

use common::*;
use serde_json::json;
use std::io::{Read, Write};
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn start(backend: &Backend) -> (Counter, Discovery, Ingress) {
    let (counter, discovery) =
        (Counter::start(), Discovery::start(vec![member("s-1", backend.address, "in_service")]));
    let ingress = Ingress::start_with(&counter, &discovery, |config| {
        for (key, units) in [("quota-rate", 1e6), ("peak-units", 1e7)] {
            config["settings"]["tariffs"][0][key] = json!(units);
        }
    });
    (counter, discovery, ingress)
}

fn noise(length: usize) -> Vec<u8> {
    (0..length as u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

fn posted(framing: &str) -> String {
    request_head("POST", "booking-post", "wide", "1000m") + framing + "\r\n"
}

fn chunk(data: &[u8]) -> Vec<u8> {
    [format!("{:x};note=1\r\n", data.len()).as_bytes(), data, b"\r\n"].concat()
}

#[test]
fn a_chunked_request_goes_on_whole() {
    let backend = Backend::start(|_| ok(b"done"));
    let (_counter, _discovery, ingress) = start(&backend);
    let mut client = ingress.client();
    for length in [0, 5, 70_000, 300_000] {
        let body = noise(length);
        client.send(posted("Transfer-Encoding: chunked\r\n"));
        body.chunks(7_001).for_each(|piece| client.send(chunk(piece)));
        client.send("0\r\nX-Sum: 1\r\n\r\n");
        let answer = client.read_response().expect("an answer");
        assert_eq!((answer.status(), answer.body.as_slice()), (200, b"done".as_slice()), "{length}");
        assert!(backend.requests().last().unwrap().body == body, "{length} bytes came otherwise");
    }
    assert_eq!(backend.request_count(), 4);
}

#[test]
fn a_length_beside_chunks_is_turned_down_in_either_order() {
    let backend = Backend::start(|_| ok(b"done"));
    let (_counter, _discovery, ingress) = start(&backend);
    let hidden = booking("hidden");
    let body = format!("0\r\n\r\n{hidden}");
    for framing in [
        format!("Content-Length: {}\r\nTransfer-Encoding: chunked\r\n", body.len()),
        format!("Transfer-Encoding: chunked\r\nContent-Length: {}\r\n", body.len()),
        format!("Transfer-Encoding: chunked\r\ncOnTeNt-lEnGtH : {}\r\n", body.len()),
    ] {
        // Also behind a request that is good, in one piece with it.
        for before in [String::new(), booking("good")] {
            let (seen, goods) = (backend.request_count(), usize::from(!before.is_empty()));
            let mut client = ingress.client();
            client.send(before.clone() + &posted(&framing) + &body);
            if goods == 1 {
                assert_eq!(client.read_response().expect("an answer").status(), 200);
            }
            assert_eq!(client.read_response().expect("an answer").status(), 400, "{framing}");
            assert!(client.is_closed(), "{framing}");
            assert_eq!(backend.request_count() - seen, goods, "{framing}");
        }
    }
}

#[test]
fn a_request_written_slowly_has_its_time_from_its_last_byte() {
    let backend = Backend::start(|_| ok(b"done"));
    let (_counter, _discovery, ingress) = start(&backend);
    let mut client = ingress.client();
    let request = booking(&"x".repeat(4_000));
    let began = Instant::now();
    // More than the request's whole time of one second.
    for piece in request.as_bytes().chunks(request.len() / 24) {
        client.send(piece);
        std::thread::sleep(Duration::from_millis(55));
    }
    assert!(began.elapsed() > Duration::from_millis(1_100));
    assert_eq!(client.read_response().expect("an answer").status(), 200);
}

#[test]
fn a_long_request_goes_on_as_it_comes_and_waits_for_nobody_elses() {
    let backend = Backend::start(|_| ok(b"done"));
    let (_counter, _discovery, ingress) = start(&backend);
    let body = noise(1_500_000);
    let mut slow = ingress.client();
    slow.send(posted(&format!("Content-Length: {}\r\n", body.len())));
    let began = Instant::now();
    for piece in body.chunks(100_000) {
        slow.send(piece);
        std::thread::sleep(Duration::from_millis(110));
        assert_eq!(ingress.client().call(booking("x")).status(), 200);
    }
    // Longer than the class's aim and than its client's time.
    assert!(began.elapsed() > Duration::from_millis(1_500));
    assert_eq!(slow.read_response().expect("an answer").status(), 200);
    let long: Vec<_> = backend.requests().into_iter().filter(|request| request.body.len() > 1).collect();
    assert!(long.len() == 1 && long[0].body == body);
    assert!(long[0].headers["req-deadline"].ends_with('u'));
    // The connection goes on.
    assert_eq!(slow.call(booking("x")).status(), 200);
}

#[test]
fn a_long_request_that_stops_coming_is_told_so_and_has_not_run() {
    let backend = Backend::start(|_| ok(b"done"));
    let (_counter, _discovery, ingress) = start(&backend);
    for ends in [false, true] {
        let mut client = ingress.client();
        client.send(posted("Content-Length: 200000\r\n"));
        client.send(noise(90_000));
        let began = Instant::now();
        if ends {
            client.stream.shutdown(std::net::Shutdown::Write).unwrap();
        }
        let answer = client.read_response();
        // 503 says the same: it has not run.
        assert!(answer.is_none_or(|answer| [400, 408, 503].contains(&answer.status())));
        assert!(began.elapsed() < Duration::from_millis(2_900), "{:?}", began.elapsed());
    }
    assert_eq!(backend.request_count(), 0);
    // The node was not at fault: it is used on.
    assert_eq!(ingress.client().call(booking("x")).status(), 200);
}

#[test]
fn what_is_too_long_is_turned_down() {
    let backend = Backend::start(|_| ok(b"done"));
    let (_counter, _discovery, ingress) = start(&backend);
    let mut client = ingress.client();
    client.send(posted("Content-Length: 60000000\r\n"));
    assert_eq!(client.read_response().expect("an answer").status(), 413);
    // In chunks it shows only once it has come.
    let mut client = ingress.client();
    client.send(posted("Transfer-Encoding: chunked\r\n"));
    let piece = chunk(&noise(1 << 20));
    let sent = (0..40).take_while(|_| client.try_send(&piece).is_some()).count();
    assert!(sent >= 32, "cut off after {sent} MiB");
    assert!(client.read_response().is_none_or(|answer| answer.status() != 200));
    assert_eq!(backend.request_count(), 0);
}

/// A raw answer of some form, its body written in pieces with pauses between them.
fn in_pieces(head: &str, body: &[u8], pieces: usize) -> Vec<Vec<u8>> {
    let mut all = vec![head.as_bytes().to_vec()];
    all.extend(body.chunks(body.len().div_ceil(pieces)).map(<[u8]>::to_vec));
    all
}

#[test]
fn a_long_answer_is_passed_on_as_it_comes_in_every_form() {
    let body = noise(400_000);
    let chunked: Vec<u8> = body.chunks(9_999).flat_map(chunk).chain(*b"0\r\n\r\n").collect();
    let stated = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
    let forms = [
        (in_pieces(&stated, &body, 9), false),
        (in_pieces("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &chunked, 9), false),
        (in_pieces("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", &body, 9), true),
    ];
    for (pieces, closes) in forms {
        let backend = Backend::start(move |_| Reply::Pieces {
            pieces: pieces.clone(),
            pause: Duration::from_millis(120),
            closes,
        });
        let (_counter, _discovery, ingress) = start(&backend);
        let mut client = ingress.client();
        // Longer in all than the request's aim: only its first bytes are timed.
        let answer = client.call(read_request());
        assert!(answer.status() == 200 && answer.body == body, "{} of {}", answer.body.len(), body.len());
        assert_eq!(client.call(READY).status(), 200);
    }
}

#[test]
fn a_long_answer_that_breaks_off_is_not_taken_for_whole() {
    let cut = format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{}", "x".repeat(150_000));
    let half =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30000\r\n{}", "x".repeat(150_000));
    let huge = format!("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n{}", "x".repeat(150_000));
    for (bytes, begins) in [(cut, true), (half, true), (huge, false)] {
        let reply = Reply::Close(bytes.into_bytes());
        let backend = Backend::start(move |_| reply.clone());
        let (_counter, _discovery, ingress) = start(&backend);
        let mut client = ingress.client();
        client.send(booking("x"));
        if begins {
            let mut all = Vec::new();
            let _ = client.stream.read_to_end(&mut all);
            let text = String::from_utf8_lossy(&all);
            assert!(text.starts_with("HTTP/1.1 200") && !text.ends_with("0\r\n\r\n"), "{text:.80}");
            assert!((100_000..200_000).contains(&all.len()), "{}", all.len());
        } else {
            assert_eq!(client.read_response().expect("an answer").status(), 502);
        }
        assert_eq!(backend.request_count(), 1);
    }
}

#[test]
fn a_client_that_reads_slowly_holds_up_nobody_and_fills_no_memory() {
    const LENGTH: usize = 20_000_000;
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n");
    // Made beforehand: the backend makes one reply at a time, and each read has to begin within its aim.
    let mut long_replies = vec![raw(&(head + &"y".repeat(LENGTH))); 8];
    let backend = Backend::start(move |request| {
        if !request.start_line.starts_with("GET") {
            return ok(b"done");
        }
        count.fetch_add(1, SeqCst);
        long_replies.pop().expect("one attempt for each read")
    });
    let (_counter, _discovery, ingress) = start(&backend);
    let mut clients: Vec<_> = (0..8).map(|_| ingress.client()).collect();
    clients.iter_mut().for_each(|client| client.send(read_request()));
    until("all have begun", || sent.load(SeqCst) == 8);
    let memory = || {
        let status = std::fs::read_to_string(format!("/proc/{}/status", ingress.child.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap().to_string();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() / 1024
    };
    for _ in 0..20 {
        assert_eq!(ingress.client().call(booking("x")).status(), 200);
    }
    for client in &mut clients {
        let answer = client.read_response().expect("a whole answer");
        assert_eq!((answer.status(), answer.body.len()), (200, LENGTH));
    }
    // 160 MB have gone through.
    assert!(memory() < 32, "{} MB at the peak", memory());
    let _ = clients[0].stream.flush();
}
