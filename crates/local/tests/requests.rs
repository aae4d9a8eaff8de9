//! Requests through the whole system as real processes.

#![cfg(test)]

mod common;

use common::{TestSystem, LONG};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use violetyoke_local::backend::{executions_by_attempt, Backend, Fault};
use violetyoke_local::client::{resolve_edges, send_request};
use violetyoke_rig::wait_until;

#[test]
fn a_request_is_routed_authenticated_and_answered_unchanged() {
    let mut system = TestSystem::start();
    for edge in 0..4 {
        let (id, answer) = system.send(edge, "/search/2f?x=1", "key-1", b"");
        let answer = answer.expect("an answer");
        assert_eq!(answer.status(), 200);
        assert_eq!(answer.headers.get("x-server-seal").map(String::as_str), Some("seal"));
        assert!(String::from_utf8_lossy(&answer.body).ends_with(&format!("ran {id}")));
        let (id, answer) = system.send(edge, "/book/7", "key-1", b"two nights");
        assert_eq!(answer.expect("an answer").status(), 200);
        let run = system
            .ledgers
            .iter()
            .flat_map(Backend::executions)
            .find(|run| run.attempt == id)
            .expect("it ran");
        assert_eq!(
            (run.tenant.as_deref(), run.path.as_str(), &run.body[..]),
            (Some("kolkheti"), "/book/7", &b"two nights"[..])
        );
        assert!(run.deadline_ms.is_some_and(|ms| (1..1500).contains(&ms)), "{run:?}");
    }
    let figures =
        send_request(system.processes.edges[0].ready, "GET", "/api/figures", &[], b"").expect("figures");
    let figures = String::from_utf8_lossy(&figures.body).into_owned();
    assert!(
        figures.contains("violetyoke_proxy_requests_total 2\n")
            && figures.contains("violetyoke_proxy_answered_total 2\n")
    );
    assert_eq!(system.status(0, "/search/1", "no-key", b""), 401);
    assert_eq!(system.status(0, "/nowhere/1", "key-1", b""), 404);
    let west: BTreeSet<SocketAddr> =
        resolve_edges(system.processes.cores[0].directory, "west", "a").into_iter().collect();
    assert_eq!(west, BTreeSet::from([system.processes.edges[0].front]), "the own zone's edge alone");
    assert_eq!(resolve_edges(system.processes.cores[1].directory, "east", "b").len(), 2);
}

#[test]
fn a_tenant_s_limit_holds_over_all_edges_together() {
    let mut system = TestSystem::start();
    let begun = Instant::now();
    let mut passed = 0;
    for n in 0..120 {
        let status = system.status(n % 4, "/search/1", "key-2", b"");
        assert!(status == 200 || status == 429, "{status}");
        passed += u32::from(status == 200);
    }
    let seconds = begun.elapsed().as_secs_f64();
    // A window's worth at once, then the rate; the other side of each bound is what edges alone would give.
    assert!(f64::from(passed) <= 20.0 + 20.0 * (seconds + 1.0), "{passed} in {seconds:.2} s");
    assert!(passed >= 18, "{passed} in {seconds:.2} s");
}

#[test]
fn only_requests_that_were_not_executed_are_retried() {
    let mut system = TestSystem::start();
    for ledger in &system.ledgers {
        ledger.set_fault(Fault::DropsResponses);
    }
    for _ in 0..10 {
        let status = system.status(0, "/book/1", "key-1", b"x");
        assert!(status == 502 || status == 503, "{status}");
    }
    assert!(
        executions_by_attempt(&system.ledgers).values().all(|times| *times == 1),
        "{:?}",
        executions_by_attempt(&system.ledgers)
    );
    for ledger in &system.ledgers {
        ledger.set_fault(Fault::None);
    }
    // One of two turns requests away: the other runs them.
    system.ledgers[0].set_fault(Fault::Rejects);
    assert!(wait_until(LONG, || system.status(0, "/book/1", "key-1", b"x") == 200));
    let served = (0..20).filter(|_| system.status(0, "/book/1", "key-1", b"x") == 200).count();
    assert_eq!(served, 20);
    assert!(executions_by_attempt(&system.ledgers).values().all(|times| *times == 1));
}

#[test]
fn a_response_with_another_attempt_id_is_discarded() {
    let mut system = TestSystem::start();
    for finder in &system.finders {
        finder.set_fault(Fault::AnswersOtherAttempt);
    }
    let (_, answer) = system.send(0, "/search/1", "key-1", b"");
    assert_ne!(answer.expect("an answer").status(), 200);
}

#[test]
fn an_attempt_is_abandoned_only_when_a_retry_is_possible() {
    let mut system = TestSystem::start();
    let slow = Duration::from_millis(1_100);
    let only =
        Backend::start(system.runtime.handle(), "finder-slow", "finder", "a", slow).expect("a backend");
    for finder in &system.finders {
        system.platform.remove(&finder.id);
    }
    system.platform.set(&only.id, only.list_entry());
    // Longer than the patience that an attempt has where others could be asked.
    assert!(wait_until(LONG, || system.status(0, "/search/1", "key-1", b"") == 200
        && only.executions().len() == 1));
    let before = only.executions().len();
    assert_eq!(system.status(0, "/search/1", "key-1", b""), 200);
    assert_eq!(only.executions().len(), before + 1, "it ran once");
    // With another beside it, one that hangs is given up for that.
    let quick = Duration::from_millis(10);
    let other =
        Backend::start(system.runtime.handle(), "finder-new", "finder", "a", quick).expect("a backend");
    system.platform.set(&other.id, other.list_entry());
    only.set_fault(Fault::Hangs);
    let served =
        |system: &mut TestSystem| (0..8).all(|n| system.status(n % 4, "/search/1", "key-1", b"") == 200);
    assert!(wait_until(LONG, || served(&mut system)));
}

#[test]
fn a_503_without_proof_of_non_execution_becomes_502() {
    let mut system = TestSystem::start();
    for ledger in &system.ledgers {
        ledger.set_fault(Fault::FailsAfterExecution);
    }
    let statuses: Vec<u16> = (0..8).map(|n| system.status(n % 4, "/book/1", "key-1", b"x")).collect();
    assert!(system.ledgers.iter().any(|ledger| !ledger.executions().is_empty()));
    let ran: usize = system.ledgers.iter().map(|ledger| ledger.executions().len()).sum();
    assert_eq!(statuses.iter().filter(|status| **status == 502).count(), ran, "{statuses:?}");
    assert!(executions_by_attempt(&system.ledgers).values().all(|times| *times == 1));
}
