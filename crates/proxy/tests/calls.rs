//! What may have run is not sent again: one case a test, by what backends saw.

#![cfg(test)]

mod common;

use common::backends::{answer, ledger, ok, Act, Backend, Seen};
use common::{play, send, stage};

fn good(number: u8) -> Backend {
    ledger(number, |seen| Act::Say(ok(&seen.id, "booked")))
}

/// One booking at two backends that both do the same with it: it runs once, and the client gets no promise.
fn runs_once(status: u16, act: impl Fn(&str) -> Act + Clone + 'static) {
    play(|| async move {
        let (first, second) = (act.clone(), act);
        let one = ledger(1, move |seen| first(&seen.id));
        let other = ledger(2, move |seen| second(&seen.id));
        let _stage = stage(&[&one, &other]).await;
        let got = send("/book/1", "key-1", "once", b"two nights").await;
        assert_eq!(got.status, status, "{got:?}");
        assert!(!got.head.contains("x-server-seal"), "{got:?}");
        assert_eq!(one.times("once") + other.times("once"), 1);
    });
}

#[test]
fn a_booking_is_not_sent_again_after_silence() {
    runs_once(504, |_| Act::Silence);
}

#[test]
fn a_booking_is_not_sent_again_after_an_end_without_an_answer() {
    runs_once(502, |_| Act::SayAndClose(String::new()));
}

#[test]
fn a_booking_is_not_sent_again_on_a_half_closed_connection() {
    runs_once(502, |_| Act::HalfClose);
}

#[test]
fn a_booking_is_not_sent_again_after_half_a_head() {
    runs_once(502, |id| Act::SayAndClose(format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-ser")));
}

#[test]
fn a_booking_is_not_sent_again_after_bytes_that_are_no_answer() {
    runs_once(502, |_| Act::Say("HTTP/1.1 2x0 ?\r\n\r\n".into()));
}

#[test]
fn a_booking_is_not_sent_again_after_an_answer_that_only_says_to_go_on() {
    runs_once(502, |_| Act::SayAndClose("HTTP/1.1 100 Continue\r\n\r\n".into()));
}

#[test]
fn a_booking_is_not_sent_again_after_an_answer_without_an_id() {
    runs_once(504, |_| Act::Say(answer(200, "x-server-seal: seal\r\n", "booked")));
}

#[test]
fn a_booking_is_not_sent_again_after_a_refusal_that_bears_another_s_id() {
    runs_once(504, |_| Act::Say(answer(503, "x-attempt-id: another\r\nx-not-executed: 1\r\n", "")));
}

#[test]
fn a_booking_is_not_sent_again_after_a_503_that_does_not_say_that_it_has_not_run() {
    runs_once(502, |id| Act::Say(answer(503, &format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n"), "")));
}

#[test]
fn a_status_that_is_none_is_no_answer() {
    runs_once(502, |id| Act::Say(answer(42, &format!("x-attempt-id: {id}\r\nx-server-seal: seal\r\n"), "")));
}

#[test]
fn a_success_that_is_cut_short_is_none() {
    runs_once(502, |id| {
        let whole = ok(id, "booked");
        Act::SayAndClose(whole[..whole.len() - 3].to_owned())
    });
}

#[test]
fn a_success_of_unknown_length_is_none() {
    runs_once(502, |id| {
        let head = format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-seal: seal\r\n\r\n");
        Act::SayAndClose(format!("{head}book"))
    });
}

#[test]
fn a_booking_on_an_idle_connection_that_was_forgotten_is_not_sent_again() {
    play(|| async {
        let forgets = |seen: &Seen| match seen.id.as_str() {
            "second" => Act::SayAndClose(String::new()),
            id => Act::Say(ok(id, "booked")),
        };
        let (one, other) = (ledger(1, forgets), ledger(2, forgets));
        let _stage = stage(&[&one, &other]).await;
        for n in 0..4 {
            assert_eq!(send("/book/1", "key-1", &format!("first-{n}"), b"x").await.status, 200);
        }
        assert_eq!(send("/book/1", "key-1", "second", b"x").await.status, 502);
        assert_eq!(one.times("second") + other.times("second"), 1);
    });
}

#[test]
fn a_search_on_an_idle_connection_that_was_forgotten_is_sent_again_on_a_new_one() {
    play(|| async {
        let mut forgotten = false;
        let one = Backend::start("finder-1", "finder", 1, move |seen| {
            let forgets = seen.id == "second" && !std::mem::replace(&mut forgotten, true);
            if forgets {
                Act::SayAndClose(String::new())
            } else {
                Act::Say(ok(&seen.id, "found"))
            }
        });
        let _stage = stage(&[&one]).await;
        assert_eq!(send("/search/1", "key-1", "first", b"").await.status, 200);
        let got = send("/search/1", "key-1", "second", b"").await;
        assert_eq!((got.status, got.body.as_str()), (200, "found"));
        let connections: Vec<usize> = one.seen().iter().map(|seen| seen.connection).collect();
        assert_eq!(connections, [1, 1, 2]);
    });
}

#[test]
fn where_nothing_listens_nothing_has_run() {
    play(|| async {
        let (one, other) = (Backend::absent("ledger-1", "ledger", 1), good(2));
        let _stage = stage(&[&one, &other]).await;
        for n in 0..4 {
            assert_eq!(send("/book/1", "key-1", &format!("try-{n}"), b"x").await.status, 200);
        }
        assert_eq!(other.seen().len(), 4);
    });
}

#[test]
fn a_large_body_that_was_cut_off_midway_is_not_sent_again() {
    runs_once_large(|_| Act::SayAndClose(String::new()));
    runs_once_large(|_| Act::Silence);
}

fn runs_once_large(act: impl Fn(&str) -> Act + Clone + 'static) {
    play(|| async move {
        let (first, second) = (act.clone(), act);
        let one = ledger(1, move |seen| first(&seen.id));
        let other = ledger(2, move |seen| second(&seen.id));
        let _stage = stage(&[&one, &other]).await;
        let got = send("/book/1", "key-1", "large", &vec![7; 300 << 10]).await;
        assert!(got.status == 502 || got.status == 504, "{got:?}");
        assert_eq!(one.times("large") + other.times("large"), 1);
    });
}
