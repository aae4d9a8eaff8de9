//! When discovery is called again, alone and by a fleet that shares it.

use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// Time-out of discovery's own callers, and the time within which a next call goes on with a watch (us).
const TIMEOUT: u64 = 2 * S;
const GOES_ON: u64 = 200 * MS;

/// What a gateway does between its calls.
trait Caller {
    fn whole(&self) -> bool;
    fn answered(&mut self) -> Duration;
    fn failed(&mut self, failure: PollFailure) -> Duration;
}

struct Fleet(PollSchedule);

impl Caller for Fleet {
    fn whole(&self) -> bool {
        !self.0.path().contains("index=")
    }
    fn answered(&mut self) -> Duration {
        self.0.on_answer(7, false, WAIT)
    }
    fn failed(&mut self, failure: PollFailure) -> Duration {
        self.0.on_failure(failure)
    }
}

/// One that knows of no other: the whole list at once, and again 50 ms after each failure.
struct Alone;

impl Caller for Alone {
    fn whole(&self) -> bool {
        true
    }
    fn answered(&mut self) -> Duration {
        Duration::ZERO
    }
    fn failed(&mut self, _: PollFailure) -> Duration {
        AGAIN
    }
}

struct Seen {
    /// Calls that were answered but for their wait, and when each gateway first had one's answer (us).
    calls: Vec<u32>,
    first: Vec<Option<u64>>,
    /// After the first, in which all start.
    most_in_a_second: u32,
}

/// Discovery with room for the whole list of every gateway in 8 s, and for twice as many calls for changes. It
/// serves in turn, turns a call away at once whose turn is more than a time-out off, and works in vain on one
/// that outlasts it. A call that goes on with a watch is free.
fn play(callers: &mut [Box<dyn Caller>], length: u64) -> Seen {
    let whole = 8 * S / callers.len() as u64;
    let mut seen =
        Seen { calls: vec![0; callers.len()], first: vec![None; callers.len()], most_in_a_second: 0 };
    let mut in_second = vec![0; (length / S) as usize + 1];
    let mut busy = 0;
    let mut answered_at = vec![None::<u64>; callers.len()];
    let mut due = BinaryHeap::new();
    let count = callers.len() as u64;
    for i in 0..callers.len() {
        // All start within a second.
        due.push(Reverse((i as u64 * S / count, i)));
    }
    while let Some(Reverse((now, i))) = due.pop().filter(|Reverse((now, _))| *now < length) {
        let caller = &mut callers[i];
        if answered_at[i].is_some_and(|at| now - at <= GOES_ON) {
            answered_at[i] = Some(now + WAIT.as_micros() as u64);
            let pause = caller.answered();
            due.push(Reverse((now + (WAIT + pause).as_micros() as u64, i)));
            continue;
        }
        seen.calls[i] += 1;
        in_second[(now / S) as usize] += 1;
        let (at, pause) = if busy > now + TIMEOUT {
            (now + 3 * MS, caller.failed(PollFailure::TurnedAway))
        } else {
            busy = busy.max(now) + if caller.whole() { whole } else { whole / 2 };
            if busy > now + TIMEOUT {
                (now + TIMEOUT, caller.failed(PollFailure::Taken))
            } else {
                seen.first[i].get_or_insert(busy);
                answered_at[i] = Some(busy);
                (busy, caller.answered())
            }
        };
        due.push(Reverse((at + pause.as_micros() as u64, i)));
    }
    seen.most_in_a_second = in_second.into_iter().skip(1).max().unwrap_or(0);
    seen
}

fn fleet(gateways: u16, known: Option<u64>) -> Vec<Box<dyn Caller>> {
    (0..gateways)
        .map(|i| Box::new(Fleet(PollSchedule::new(known, gateways, 977 + u64::from(i)))) as Box<dyn Caller>)
        .collect()
}

#[test]
fn a_fleet_that_starts_within_a_second_is_served_by_an_overbooked_discovery() {
    for gateways in [100, 300] {
        let seen = play(&mut fleet(gateways, Some(7)), 60 * S);
        let last = seen.first.iter().map(|at| at.expect("each has its list")).max();
        assert!(last < Some(12 * S), "the last list of {gateways} came at {last:?} us");
        let most = seen.calls.iter().max();
        assert!(most <= Some(&5), "one of {gateways} made {most:?} calls");
        let all: u32 = seen.calls.iter().sum();
        assert!(all <= 2 * u32::from(gateways), "{gateways} made {all} calls");
        assert!(seen.most_in_a_second <= u32::from(gateways) * 2 / 5, "{}", seen.most_in_a_second);
    }
}

#[test]
fn a_fleet_with_nothing_known_has_its_lists_later_but_has_them() {
    for gateways in [100, 300] {
        let seen = play(&mut fleet(gateways, None), 120 * S);
        let last = seen.first.iter().map(|at| at.expect("each has its list")).max();
        assert!(last < Some(90 * S), "the last list of {gateways} came at {last:?} us");
        let all: u32 = seen.calls.iter().sum();
        assert!(all <= 8 * u32::from(gateways), "{gateways} made {all} calls in two minutes");
    }
}

/// The control: what each would do alone keeps most from ever having a list, at hundreds of calls each.
#[test]
fn calls_made_again_at_once_starve_the_fleet_that_makes_them() {
    let mut alone: Vec<Box<dyn Caller>> = (0..100).map(|_| Box::new(Alone) as Box<dyn Caller>).collect();
    let seen = play(&mut alone, 60 * S);
    assert!(seen.first.iter().filter(|at| at.is_some_and(|at| at < 12 * S)).count() < 50);
    assert!(seen.calls.iter().sum::<u32>() > 100 * 100);
}

#[test]
fn a_single_lost_call_is_made_again_while_the_watch_still_goes_on() {
    let mut watch = PollSchedule::new(Some(3), 1, 1);
    watch.on_answer(4, true, Duration::from_millis(900));
    let pause = watch.on_failure(PollFailure::Lost);
    assert!(pause < Duration::from_micros(GOES_ON), "{pause:?}");
    assert_eq!(watch.path(), "/api/targets?index=4&wait=3000");
    // But a silent discovery is not called twenty times a second.
    let pauses: Duration = (0..20).map(|_| watch.on_failure(PollFailure::Lost)).sum();
    assert!(pauses > Duration::from_secs(25), "{pauses:?}");
}

#[test]
fn no_pause_after_a_taken_call_lets_word_grow_old() {
    let mut watch = PollSchedule::new(Some(3), 1, 5);
    for _ in 0..1000 {
        assert!(watch.on_failure(PollFailure::Taken) < Duration::from_secs(6));
    }
}

#[test]
fn pauses_after_refusals_double_are_drawn_and_end_with_an_answer() {
    let pauses = |seed| -> Vec<Duration> {
        let mut watch = PollSchedule::new(Some(3), 1, seed);
        (0..8).map(|_| watch.on_failure(PollFailure::TurnedAway)).collect()
    };
    for (n, pause) in pauses(1).into_iter().enumerate() {
        let mean = (TURNED_AWAY * 2u32.pow(n as u32)).min(LONGEST_TURNED_AWAY);
        assert!(pause >= mean / 2 && pause <= mean * 3 / 2, "{n}: {pause:?}");
    }
    assert_ne!(pauses(1), pauses(2));
    let mut watch = PollSchedule::new(None, 1, 1);
    for _ in 0..6 {
        watch.on_failure(PollFailure::TurnedAway);
    }
    watch.on_answer(9, true, Duration::ZERO);
    assert!(watch.on_failure(PollFailure::TurnedAway) <= TURNED_AWAY * 3 / 2);
}

#[test]
fn a_discovery_that_counts_anew_is_asked_for_the_whole_list() {
    let mut watch = PollSchedule::new(Some(41), 1, 1);
    watch.on_answer(2, false, WAIT);
    assert_eq!(watch.path(), "/api/targets");
    watch.on_answer(2, true, WAIT);
    assert_eq!(watch.path(), "/api/targets?index=2&wait=3000");
}

#[test]
fn an_agent_that_does_not_wait_is_not_asked_in_a_loop() {
    let mut watch = PollSchedule::new(None, 1, 1);
    assert_eq!(watch.path(), "/api/targets");
    assert_eq!(watch.on_answer(9, true, Duration::ZERO), Duration::ZERO);
    assert_eq!(watch.on_answer(9, false, Duration::ZERO), SOON);
    assert_eq!(watch.on_answer(9, false, WAIT), Duration::ZERO);
}
