//! Requests through the whole system as real processes.

#![cfg(test)]

mod common;

use common::{stage, Stage, LONG};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetyoke_local::backends::{times_run, Backend, Fault};
use violetyoke_local::calls::{call, resolve};
use violetyoke_rig::until;

#[test]
fn a_request_is_routed_keyed_bound_to_its_homes_and_answered_unchanged() {
    let mut stage = stage();
    for edge in 0..4 {
        let (id, answer) = stage.send(edge, "/search/2f?x=1", "key-1", b"");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers.get("x-server-seal").map(String::as_str), Some("seal"));
        assert!(String::from_utf8_lossy(&answer.body).ends_with(&format!("ran {id}")));
        let (id, answer) = stage.send(edge, "/book/7", "key-1", b"two nights");
        assert_eq!(answer.expect("an answer").status(), 200);
        let run = stage.ledgers.iter().flat_map(Backend::runs).find(|run| run.attempt == id).expect("it ran");
        assert_eq!(
            (run.tenant.as_deref(), run.path.as_str(), &run.body[..]),
            (Some("kolkheti"), "/book/7", &b"two nights"[..])
        );
        assert!(run.deadline_ms.is_some_and(|ms| (1..1500).contains(&ms)), "{run:?}");
    }
    let figures = call(stage.system.edges[0].ready, "GET", "/api/figures", &[], b"").expect("figures");
    let figures = String::from_utf8_lossy(&figures.body).into_owned();
    assert!(
        figures.contains("violetyoke_proxy_requests_total 2\n")
            && figures.contains("violetyoke_proxy_answered_total 2\n")
    );
    assert_eq!(stage.status(0, "/search/1", "no-key", b""), 401);
    assert_eq!(stage.status(0, "/nowhere/1", "key-1", b""), 404);
    let west: BTreeSet<SocketAddr> =
        resolve(stage.system.cores[0].directory, "west", "a").into_iter().collect();
    assert_eq!(west, BTreeSet::from([stage.system.edges[0].front]), "the own zone's edge alone");
    assert_eq!(resolve(stage.system.cores[1].directory, "east", "b").len(), 2);
}

#[test]
fn a_tenant_s_limit_holds_over_all_edges_together() {
    let mut stage = stage();
    let begun = Instant::now();
    let mut passed = 0;
    for n in 0..120 {
        let status = stage.status(n % 4, "/search/1", "key-2", b"");
        assert!(status == 200 || status == 429, "{status}");
        passed += u32::from(status == 200);
    }
    let seconds = begun.elapsed().as_secs_f64();
    // A window's worth at once, then the rate; the other side of each bound is what edges alone would give.
    assert!(f64::from(passed) <= 20.0 + 20.0 * (seconds + 1.0), "{passed} in {seconds:.2} s");
    assert!(passed >= 18, "{passed} in {seconds:.2} s");
}

#[test]
fn what_may_have_run_is_not_sent_again_and_what_did_not_run_is() {
    let mut stage = stage();
    for ledger in &stage.ledgers {
        ledger.fail(Fault::LosesAnswers);
    }
    for _ in 0..10 {
        let status = stage.status(0, "/book/1", "key-1", b"x");
        assert!(status == 502 || status == 503, "{status}");
    }
    assert!(times_run(&stage.ledgers).values().all(|times| *times == 1), "{:?}", times_run(&stage.ledgers));
    for ledger in &stage.ledgers {
        ledger.fail(Fault::None);
    }
    // One of two turns requests away: the other runs them.
    stage.ledgers[0].fail(Fault::TurnsAway);
    assert!(until(LONG, || stage.status(0, "/book/1", "key-1", b"x") == 200));
    let served = (0..20).filter(|_| stage.status(0, "/book/1", "key-1", b"x") == 200).count();
    assert_eq!(served, 20);
    assert!(times_run(&stage.ledgers).values().all(|times| *times == 1));
}

#[test]
fn an_answer_that_bears_another_s_id_is_nobody_s() {
    let mut stage = stage();
    for finder in &stage.finders {
        finder.fail(Fault::AnswersTwice);
    }
    let (_, answer) = stage.send(0, "/search/1", "key-1", b"");
    assert_ne!(answer.expect("an answer").status(), 200);
}

#[test]
fn an_attempt_is_broken_off_only_where_another_can_be_made() {
    let mut stage = stage();
    let slow = Duration::from_millis(1_100);
    let only = Backend::start(stage.driven.handle(), "finder-slow", "finder", "a", slow).expect("a backend");
    for finder in &stage.finders {
        stage.platform.set(&finder.id, None);
    }
    stage.platform.set(&only.id, Some(only.line()));
    // Longer than the patience that an attempt has where others could be asked.
    assert!(until(LONG, || stage.status(0, "/search/1", "key-1", b"") == 200 && only.runs().len() == 1));
    let before = only.runs().len();
    assert_eq!(stage.status(0, "/search/1", "key-1", b""), 200);
    assert_eq!(only.runs().len(), before + 1, "it ran once");
    // With another beside it, one that hangs is given up for that.
    let quick = Duration::from_millis(10);
    let other = Backend::start(stage.driven.handle(), "finder-new", "finder", "a", quick).expect("a backend");
    stage.platform.set(&other.id, Some(other.line()));
    only.fail(Fault::Hangs);
    let served = |stage: &mut Stage| (0..8).all(|n| stage.status(n % 4, "/search/1", "key-1", b"") == 200);
    assert!(until(LONG, || served(&mut stage)));
}

#[test]
fn a_refusal_that_does_not_say_that_nothing_ran_is_no_promise() {
    let mut stage = stage();
    for ledger in &stage.ledgers {
        ledger.fail(Fault::RunsAndRefuses);
    }
    let statuses: Vec<u16> = (0..8).map(|n| stage.status(n % 4, "/book/1", "key-1", b"x")).collect();
    assert!(stage.ledgers.iter().any(|ledger| !ledger.runs().is_empty()));
    let ran: usize = stage.ledgers.iter().map(|ledger| ledger.runs().len()).sum();
    assert_eq!(statuses.iter().filter(|status| **status == 502).count(), ran, "{statuses:?}");
    assert!(times_run(&stage.ledgers).values().all(|times| *times == 1));
}
