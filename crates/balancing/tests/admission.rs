//! Which part of the requests is refused while too much waits at backends.

#![cfg(test)]

mod common;

use common::{directory, listed, ANY};
use violetyoke_balancing::{BackendDirectory, Observation, ReportedLoad, SelectionCriteria};

/// Time until the latency target (ms).
const LEFT_MS: u64 = 800;

/// A backend with six slots responds every 100 ms, and reports that so many requests wait. Returns when it has done so.
fn report(directory: &mut BackendDirectory, id: &str, latency_ms: u64, waiting: u32) -> u64 {
    for now in (1_000..3_000).step_by(100) {
        directory.record_attempt_started(now, id);
        let load = Some(ReportedLoad { running: 6, waiting });
        directory.record_attempt_finished(now, id, Observation::Response { latency_ms, load });
    }
    2_900
}

/// How many of 1,000 requests are refused.
fn refused(directory: &BackendDirectory, now: u64, criteria: SelectionCriteria<'_>, left_ms: u64) -> usize {
    (0..1_000).filter(|_| directory.should_shed(now, criteria, left_ms)).count()
}

/// Guards against backends that work off requests which are too late by then, and against ones that get none.
#[test]
fn part_of_the_requests_is_refused_that_grows_with_the_queue() {
    let mut counts = Vec::new();
    for waiting in [0, 4, 12, 24] {
        let mut directory = directory(vec![listed("one", "a1", 6)]);
        // Each request is executed for 200 ms.
        let now = report(&mut directory, "one", 200 + u64::from(waiting) * 200 / 6, waiting);
        counts.push(refused(&directory, now, ANY, LEFT_MS));
    }
    // The target leaves 600 ms, of which waiting may take 180: 0.9 requests for each slot.
    assert_eq!(counts[..2], [0, 0], "{counts:?}");
    assert!((750..=850).contains(&counts[2]) && (750..=850).contains(&counts[3]), "{counts:?}");
}

/// Guards against refusals of requests that can wait.
#[test]
fn requests_with_a_distant_target_are_not_refused_for_the_same_queue() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    let now = report(&mut directory, "one", 500, 9);
    let counts = [400, 800, 5_000].map(|left_ms| refused(&directory, now, ANY, left_ms));
    assert!((750..=850).contains(&counts[0]), "{counts:?}");
    assert!((600..=720).contains(&counts[1]), "{counts:?}");
    assert_eq!(counts[2], 0, "{counts:?}");
}

/// Guards against refusals that go on once the overload is over and nothing tells of it.
#[test]
fn queue_is_forgotten_without_reports() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    let now = report(&mut directory, "one", 1_000, 24);
    assert!(refused(&directory, now, ANY, LEFT_MS) > 700);
    assert_eq!(refused(&directory, now + 10_000, ANY, LEFT_MS), 0);
}

/// Guards against refusals for a queue of backends that the request need not go to, or may not.
#[test]
fn queues_of_the_regions_that_may_get_the_request_decide() {
    let mut directory = directory(vec![listed("own", "a1", 6), listed("other", "b1", 6)]);
    let now = report(&mut directory, "own", 1_000, 24);
    let (own, other) = ([String::from("a")], [String::from("b")]);
    let bound_to = |home_regions| SelectionCriteria { home_regions, ..ANY };
    assert!(refused(&directory, now, bound_to([&own, &[]]), LEFT_MS) > 700);
    assert_eq!(refused(&directory, now, bound_to([&[], &other]), LEFT_MS), 0);
    assert_eq!(refused(&directory, now, ANY, LEFT_MS), 0, "the other region can take it");
    let now = report(&mut directory, "other", 1_000, 24);
    assert!(refused(&directory, now, ANY, LEFT_MS) > 700, "neither can take it");
}
