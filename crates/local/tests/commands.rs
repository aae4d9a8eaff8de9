//! Operators' orders at real processes: once, in their order, and with an answer before their operator moves on.

#![cfg(test)]

mod common;

use common::{configuration, TestSystem, LONG, READ, REPLACE};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;
use violetyoke_local::client::{send_command, send_request};
use violetyoke_rig::wait_until;
use violetyoke_standin::http::read_http;

#[test]
fn one_text_per_version_is_acknowledged_and_its_repetition_at_every_registry() {
    let system = TestSystem::start();
    let controls = system.processes.control_addresses();
    let text = |timeout: u64| {
        let mut next = configuration(40);
        next["routes"]["rows"][0][4] = json!(timeout);
        next.to_string()
    };
    // Eight orders at once, at all registries, with two texts under one version.
    let threads: Vec<_> = (0..8)
        .map(|n| {
            let (to, text) = ([controls[n % 3]], text([1_500, 1_600][n % 2]));
            std::thread::spawn(move || {
                send_command(&to, REPLACE, text.as_bytes()).map(|answer| answer.status())
            })
        })
        .collect();
    let statuses: Vec<Option<u16>> =
        threads.into_iter().map(|thread| thread.join().expect("an answer")).collect();
    let of = |one: usize| statuses.iter().skip(one).step_by(2).copied().collect::<Vec<_>>();
    let (accepted, other) = if of(0)[0] == Some(200) { (0, 1) } else { (1, 0) };
    assert_eq!((of(accepted), of(other)), (vec![Some(200); 4], vec![Some(409); 4]), "{statuses:?}");
    system.replace_configuration(&configuration(50));
    for control in controls {
        let again = |which: usize| {
            let text = text([1_500, 1_600][which]);
            send_command(&[control], REPLACE, text.as_bytes()).map(|answer| answer.status())
        };
        assert_eq!((again(accepted), again(other)), (Some(200), Some(409)));
    }
    assert_eq!(system.version_in_force(), 50);
}

#[test]
fn pipelined_responses_come_in_request_order() {
    let system = TestSystem::start();
    let read = format!("POST {READ} HTTP/1.1\r\nhost: core\r\ncontent-length: 0\r\n\r\n");
    let invalid = format!("POST {REPLACE} HTTP/1.1\r\nhost: core\r\ncontent-length: 1\r\n\r\n{{");
    let mut stream = TcpStream::connect(system.processes.control_addresses()[0]).expect("a connection");
    stream.set_read_timeout(Some(LONG)).expect("a timeout");
    stream.write_all(format!("{read}{invalid}{read}").as_bytes()).expect("sent");
    let mut answers = BufReader::new(stream.try_clone().expect("the same connection"));
    let statuses = [(); 3].map(|()| read_http(&mut answers).map_or(0, |answer| answer.status()));
    assert_eq!(statuses, [200, 400, 200]);
    stream.shutdown(Shutdown::Write).expect("closed on this side");
    assert!(read_http(&mut answers).is_none(), "and no answer that nobody asked for");
}

#[test]
fn a_delayed_evacuation_does_not_undo_a_later_command() {
    let mut system = TestSystem::start();
    let controls = system.processes.control_addresses();
    let begin = "/api/rpc?call=evacuation.begin&of=a";
    // One registry stands still; its operator gives up after a while and goes on to the next.
    system.processes.cores[0].registry.pause().expect("stopped");
    let mut stream = TcpStream::connect(controls[0]).expect("a connection");
    stream
        .write_all(format!("POST {begin} HTTP/1.1\r\nhost: core\r\ncontent-length: 0\r\n\r\n").as_bytes())
        .expect("sent");
    drop(stream);
    for order_of in [begin, "/api/rpc?call=evacuation.finish&of=a"] {
        let answer = send_command(&controls[1..], order_of, b"").expect("a clear answer");
        assert_eq!(answer.status(), 200);
    }
    system.processes.cores[0].registry.resume().expect("goes on");
    // It answers again, and whatever it had from before has gone out by now.
    let since = std::time::Instant::now();
    let reads = |system: &TestSystem| {
        send_command(&system.processes.control_addresses()[..1], READ, b"").map(|answer| answer.status())
    };
    assert!(wait_until(LONG, || reads(&system) == Some(200) && since.elapsed() > Duration::from_millis(500)));
    let in_a = |system: &TestSystem| {
        system
            .finders
            .iter()
            .filter(|finder| finder.zone == "a")
            .map(|finder| finder.executions().len())
            .sum::<usize>()
    };
    let before = in_a(&system);
    for n in 0..24 {
        assert_eq!(system.status(n % 4, "/search/1", "key-1", b""), 200);
    }
    assert!(in_a(&system) > before, "the zone is empty again");
}

#[test]
fn a_registry_without_a_primary_answers_503_within_the_operators_timeout() {
    let system = TestSystem::start();
    for core in &system.processes.cores[1..] {
        core.store.pause().expect("stopped");
    }
    let control = system.processes.control_addresses()[0];
    let begun = std::time::Instant::now();
    let mut longest = Duration::ZERO;
    while begun.elapsed() < Duration::from_secs(6) {
        let sent = std::time::Instant::now();
        // The same as is in force, another, and a read: none of them may be confirmed or refused.
        for (target, body) in [
            (REPLACE, configuration(1).to_string()),
            (REPLACE, configuration(2).to_string()),
            (READ, String::new()),
        ] {
            let one = std::time::Instant::now();
            let answer = send_request(control, "POST", target, &[], body.as_bytes()).expect("an answer");
            assert_eq!(answer.status(), 503, "{}", String::from_utf8_lossy(&answer.body));
            longest = longest.max(one.elapsed());
        }
        assert!(sent.elapsed() > Duration::from_millis(300), "answered without having waited for a primary");
    }
    println!("longest wait {longest:?}");
    assert!(longest < Duration::from_millis(1_500), "{longest:?}: operators wait a second");
    // An order that can't be read needs no store to be refused.
    assert_eq!(send_request(control, "POST", REPLACE, &[], b"{").map(|answer| answer.status()), Some(400));
    for core in &system.processes.cores[1..] {
        core.store.resume().expect("goes on");
    }
    system.replace_configuration(&configuration(1));
    system.replace_configuration(&configuration(2));
}
