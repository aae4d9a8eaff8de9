//! The poll schedule of a single gateway, and of a fleet that shares one discovery service.

use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// The time-out of discovery for calls in its queue (us).
const TIMEOUT: u64 = 2 * S;
/// The maximum time after an answer for the next call to continue the watch (us).
const WATCH_EXPIRY: u64 = 200 * MS;

/// How a gateway schedules its calls.
trait Caller {
    fn requests_complete_list(&self) -> bool;
    fn on_answer(&mut self) -> Duration;
    fn on_failure(&mut self, failure: PollFailure) -> Duration;
}

/// A gateway with the real schedule.
struct Scheduled(PollSchedule);

impl Caller for Scheduled {
    fn requests_complete_list(&self) -> bool {
        !self.0.path().contains("index=")
    }
    fn on_answer(&mut self) -> Duration {
        self.0.on_answer(7, false, POLL_WAIT)
    }
    fn on_failure(&mut self, failure: PollFailure) -> Duration {
        self.0.on_failure(failure)
    }
}

/// A gateway without regard to others: requests the complete list, and retries 50 ms after each failure.
struct WithoutBackoff;

impl Caller for WithoutBackoff {
    fn requests_complete_list(&self) -> bool {
        true
    }
    fn on_answer(&mut self) -> Duration {
        Duration::ZERO
    }
    fn on_failure(&mut self, _: PollFailure) -> Duration {
        FIRST_LOST_PAUSE
    }
}

struct Observed {
    /// The number of calls of each gateway, without those that continued a watch.
    calls: Vec<u32>,
    /// The time of the first answer to each gateway (us).
    first_answer_at: Vec<Option<u64>>,
    /// The maximum number of calls in one second, without the first second, in which all gateways start.
    max_calls_per_second: u32,
}

/// Simulates discovery with the capacity for one complete list to each gateway in 8 s, or twice as many calls for changes.
/// It serves calls in order. It rejects a call at once if its turn is further away than the time-out, and wastes the work for
/// a call that times out. A call that continues a watch costs nothing.
fn simulate(callers: &mut [Box<dyn Caller>], length: u64) -> Observed {
    let complete_list_cost = 8 * S / callers.len() as u64;
    let mut observed = Observed {
        calls: vec![0; callers.len()],
        first_answer_at: vec![None; callers.len()],
        max_calls_per_second: 0,
    };
    let mut calls_in_second = vec![0; (length / S) as usize + 1];
    let mut busy_until = 0;
    let mut answered_at = vec![None::<u64>; callers.len()];
    let mut due = BinaryHeap::new();
    let gateways = callers.len() as u64;
    for i in 0..callers.len() {
        // All start within a second.
        due.push(Reverse((i as u64 * S / gateways, i)));
    }
    while let Some(Reverse((now, i))) = due.pop().filter(|Reverse((now, _))| *now < length) {
        let caller = &mut callers[i];
        if answered_at[i].is_some_and(|answered_at| now - answered_at <= WATCH_EXPIRY) {
            answered_at[i] = Some(now + POLL_WAIT.as_micros() as u64);
            let pause = caller.on_answer();
            due.push(Reverse((now + (POLL_WAIT + pause).as_micros() as u64, i)));
            continue;
        }
        observed.calls[i] += 1;
        calls_in_second[(now / S) as usize] += 1;
        let (ended_at, pause) = if busy_until > now + TIMEOUT {
            (now + 3 * MS, caller.on_failure(PollFailure::Rejected))
        } else {
            busy_until = busy_until.max(now)
                + if caller.requests_complete_list() { complete_list_cost } else { complete_list_cost / 2 };
            if busy_until > now + TIMEOUT {
                (now + TIMEOUT, caller.on_failure(PollFailure::TimedOut))
            } else {
                observed.first_answer_at[i].get_or_insert(busy_until);
                answered_at[i] = Some(busy_until);
                (busy_until, caller.on_answer())
            }
        };
        due.push(Reverse((ended_at + pause.as_micros() as u64, i)));
    }
    observed.max_calls_per_second = calls_in_second.into_iter().skip(1).max().unwrap_or(0);
    observed
}

fn fleet(gateways: u16, known: Option<u64>) -> Vec<Box<dyn Caller>> {
    (0..gateways)
        .map(|i| {
            Box::new(Scheduled(PollSchedule::new(known, gateways, 977 + u64::from(i)))) as Box<dyn Caller>
        })
        .collect()
}

#[test]
fn a_fleet_that_starts_within_a_second_does_not_overload_discovery() {
    for gateways in [100, 300] {
        let observed = simulate(&mut fleet(gateways, Some(7)), 60 * S);
        let latest =
            observed.first_answer_at.iter().map(|time| time.expect("each gateway has its list")).max();
        assert!(latest < Some(12 * S), "the last list of {gateways} came at {latest:?} us");
        let most = observed.calls.iter().max();
        assert!(most <= Some(&5), "one of {gateways} made {most:?} calls");
        let total: u32 = observed.calls.iter().sum();
        assert!(total <= 2 * u32::from(gateways), "{gateways} made {total} calls");
        assert!(
            observed.max_calls_per_second <= u32::from(gateways) * 2 / 5,
            "{}",
            observed.max_calls_per_second
        );
    }
}

#[test]
fn a_fleet_without_known_versions_gets_all_its_lists() {
    for gateways in [100, 300] {
        let observed = simulate(&mut fleet(gateways, None), 120 * S);
        let latest =
            observed.first_answer_at.iter().map(|time| time.expect("each gateway has its list")).max();
        assert!(latest < Some(90 * S), "the last list of {gateways} came at {latest:?} us");
        let total: u32 = observed.calls.iter().sum();
        assert!(total <= 8 * u32::from(gateways), "{gateways} made {total} calls in two minutes");
    }
}

/// Counter-check of the simulation: without backoff, most gateways get no list in time, at hundreds of calls each.
#[test]
fn a_fleet_without_backoff_overloads_discovery() {
    let mut fleet: Vec<Box<dyn Caller>> =
        (0..100).map(|_| Box::new(WithoutBackoff) as Box<dyn Caller>).collect();
    let observed = simulate(&mut fleet, 60 * S);
    assert!(
        observed.first_answer_at.iter().filter(|time| time.is_some_and(|time| time < 12 * S)).count() < 50
    );
    assert!(observed.calls.iter().sum::<u32>() > 100 * 100);
}

#[test]
fn a_single_lost_call_is_retried_before_the_watch_expires() {
    let mut schedule = PollSchedule::new(Some(3), 1, 1);
    schedule.on_answer(4, true, Duration::from_millis(900));
    let pause = schedule.on_failure(PollFailure::NoValidReply);
    assert!(pause < Duration::from_micros(WATCH_EXPIRY), "{pause:?}");
    assert_eq!(schedule.path(), "/api/targets?index=4&wait=3000");
    // Further lost calls are retried with backoff.
    let pauses: Duration = (0..20).map(|_| schedule.on_failure(PollFailure::NoValidReply)).sum();
    assert!(pauses > Duration::from_secs(25), "{pauses:?}");
}

#[test]
fn the_pause_after_a_timed_out_call_is_short_enough_for_the_list_to_stay_fresh() {
    let mut schedule = PollSchedule::new(Some(3), 1, 5);
    for _ in 0..1000 {
        assert!(schedule.on_failure(PollFailure::TimedOut) < Duration::from_secs(6));
    }
}

#[test]
fn pauses_after_rejected_calls_double_with_jitter_until_an_answer() {
    let pauses = |seed| -> Vec<Duration> {
        let mut schedule = PollSchedule::new(Some(3), 1, seed);
        (0..8).map(|_| schedule.on_failure(PollFailure::Rejected)).collect()
    };
    for (n, pause) in pauses(1).into_iter().enumerate() {
        let mean = (MIN_FIRST_REJECTED_PAUSE * 2u32.pow(n as u32)).min(MAX_REJECTED_PAUSE);
        assert!(pause >= mean / 2 && pause <= mean * 3 / 2, "{n}: {pause:?}");
    }
    assert_ne!(pauses(1), pauses(2));
    let mut schedule = PollSchedule::new(None, 1, 1);
    for _ in 0..6 {
        schedule.on_failure(PollFailure::Rejected);
    }
    schedule.on_answer(9, true, Duration::ZERO);
    assert!(schedule.on_failure(PollFailure::Rejected) <= MIN_FIRST_REJECTED_PAUSE * 3 / 2);
}

#[test]
fn a_discovery_that_restarts_its_versions_is_polled_for_the_complete_list() {
    let mut schedule = PollSchedule::new(Some(41), 1, 1);
    schedule.on_answer(2, false, POLL_WAIT);
    assert_eq!(schedule.path(), "/api/targets");
    schedule.on_answer(2, true, POLL_WAIT);
    assert_eq!(schedule.path(), "/api/targets?index=2&wait=3000");
}

#[test]
fn a_discovery_that_does_not_hold_calls_is_not_polled_in_a_busy_loop() {
    let mut schedule = PollSchedule::new(None, 1, 1);
    assert_eq!(schedule.path(), "/api/targets");
    assert_eq!(schedule.on_answer(9, true, Duration::ZERO), Duration::ZERO);
    assert_eq!(schedule.on_answer(9, false, Duration::ZERO), MIN_POLL_INTERVAL);
    assert_eq!(schedule.on_answer(9, false, POLL_WAIT), Duration::ZERO);
}
