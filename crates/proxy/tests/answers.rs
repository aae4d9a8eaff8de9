//! Each answer belongs to one request: by its connection, and by the id that it bears.

#![cfg(test)]

mod common;

use common::backends::{answer, ledger, ok, Act, Backend, Seen};
use common::{play, send, stage};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

#[test]
fn a_late_answer_to_an_earlier_request_is_passed_over() {
    play(|| async {
        let one = ledger(1, |seen| {
            let earlier = ok("earlier", "of another");
            Act::Say(format!("{earlier}{}", ok(&seen.id, &format!("booked {}", seen.id))))
        });
        let _stage = stage(&[&one]).await;
        for id in ["a", "b", "c"] {
            let got = send("/book/1", "key-1", id, b"x").await;
            assert_eq!((got.status, got.body), (200, format!("booked {id}")));
            assert_eq!(one.times(id), 1);
        }
    });
}

#[test]
fn a_second_answer_ends_its_connection() {
    play(|| async {
        let one = ledger(1, |seen| {
            let body = format!("booked {}", seen.id);
            Act::Say(format!("{}{}", ok(&seen.id, &body), ok(&seen.id, "booked twice")))
        });
        let _stage = stage(&[&one]).await;
        for id in ["a", "b", "c"] {
            let got = send("/book/1", "key-1", id, b"x").await;
            assert_eq!((got.status, got.body), (200, format!("booked {id}")));
        }
        let connections: Vec<usize> = one.seen().iter().map(|seen| seen.connection).collect();
        assert_eq!(connections, [1, 2, 3]);
    });
}

#[test]
fn a_second_refusal_is_not_taken_for_that_of_the_next_request() {
    play(|| async {
        let refusal = answer(503, "x-not-executed: 1\r\n", "");
        let one = ledger(1, move |seen| match seen.id.as_str() {
            "refused" => Act::Say(format!("{refusal}{refusal}")),
            id => Act::Say(ok(id, "booked")),
        });
        let _stage = stage(&[&one]).await;
        assert_eq!(send("/book/1", "key-1", "refused", b"x").await.status, 503);
        sleep(Duration::from_secs(1)).await;
        let got = send("/book/1", "key-1", "next", b"x").await;
        assert_eq!((got.status, got.body.as_str(), one.times("next")), (200, "booked", 1));
    });
}

#[test]
fn a_refusal_without_an_id_proves_nothing_on_a_connection_that_was_used_before() {
    play(|| async {
        let refusal = answer(503, "x-not-executed: 1\r\n", "");
        let refuses = move |seen: &Seen| match seen.id.as_str() {
            // It may be a second answer to the request before, while this one runs.
            "second" => Act::Say(refusal.clone()),
            id => Act::Say(ok(id, "booked")),
        };
        let (one, other) = (ledger(1, refuses.clone()), ledger(2, refuses));
        let _stage = stage(&[&one, &other]).await;
        for n in 0..4 {
            assert_eq!(send("/book/1", "key-1", &format!("first-{n}"), b"x").await.status, 200);
        }
        let got = send("/book/1", "key-1", "second", b"x").await;
        assert!(got.status == 502 || got.status == 504, "{got:?}");
        assert_eq!(one.times("second") + other.times("second"), 1);
    });
}

#[test]
fn a_refusal_that_names_the_request_is_believed_and_another_backend_runs_it() {
    play(|| async {
        // Whoever is asked first refuses that request.
        let refused = Rc::new(RefCell::new(BTreeSet::new()));
        let other_refused = refused.clone();
        let act = |seen: &Seen, refused: &RefCell<BTreeSet<String>>| {
            let refuses = refused.borrow_mut().insert(seen.id.clone());
            let refusal = || answer(503, &format!("x-attempt-id: {}\r\nx-not-executed: 1\r\n", seen.id), "");
            Act::Say(if refuses { refusal() } else { ok(&seen.id, "booked") })
        };
        let one = ledger(1, move |seen| act(seen, &refused));
        let other = ledger(2, move |seen| act(seen, &other_refused));
        let _stage = stage(&[&one, &other]).await;
        for n in 0..4 {
            let id = format!("try-{n}");
            let got = send("/book/1", "key-1", &id, b"x").await;
            assert_eq!((got.status, got.body.as_str()), (200, "booked"));
            assert_eq!((one.times(&id), other.times(&id)), (1, 1));
            // One that was full is left alone for a moment.
            sleep(Duration::from_secs(1)).await;
        }
    });
}

#[test]
fn a_backend_s_own_failure_keeps_its_status_and_its_seal() {
    play(|| async {
        let one = ledger(1, |seen| {
            Act::Say(answer(500, &format!("x-attempt-id: {}\r\nx-server-seal: seal\r\n", seen.id), "no"))
        });
        let _stage = stage(&[&one]).await;
        let got = send("/book/1", "key-1", "fails", b"x").await;
        assert_eq!((got.status, got.body.as_str()), (500, "no"));
        assert!(got.head.contains("x-server-seal: seal"));
    });
}

#[test]
fn one_try_runs_on_no_more_backends_than_its_route_allows() {
    play(|| async {
        let fails = |seen: &Seen| {
            Act::Say(answer(500, &format!("x-attempt-id: {}\r\nx-server-seal: seal\r\n", seen.id), "no"))
        };
        let finders: Vec<Backend> = [("finder-1", 1), ("finder-2", 2), ("finder-3", 3)]
            .into_iter()
            .map(|(id, number)| Backend::start(id, "finder", number, fails))
            .collect();
        let _stage = stage(&finders.iter().collect::<Vec<_>>()).await;
        for n in 0..6 {
            let id = format!("try-{n}");
            send("/search/1", "key-1", &id, b"").await;
            let ran: usize = finders.iter().map(|finder| finder.times(&id)).sum();
            assert!((1..=2).contains(&ran), "{ran}");
        }
    });
}
