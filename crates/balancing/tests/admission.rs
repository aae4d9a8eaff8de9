//! Admission control: the fraction of requests that is rejected while the backends' queues are too long.

#![cfg(test)]

mod common;

use common::{directory, listed, ANY};
use violetyoke_balancing::{BackendDirectory, Observation, ReportedLoad, SelectionCriteria};

/// Time until the latency target (ms).
const LEFT_MS: u64 = 800;

/// Lets a backend with six busy slots respond every 100 ms and report `waiting` queued requests. Returns the
/// time of its last response.
fn report(directory: &mut BackendDirectory, id: &str, latency_ms: u64, waiting: u32) -> u64 {
    for now in (1_000..3_000).step_by(100) {
        directory.record_attempt_started(now, id);
        let load = ReportedLoad::new(6, waiting);
        directory.record_attempt_finished(now, id, Observation::Response { latency_ms, load });
    }
    2_900
}

/// Number of rejected requests out of 1,000.
fn rejected_of_1000(
    directory: &BackendDirectory,
    now: u64,
    criteria: SelectionCriteria<'_>,
    remaining_ms: u64,
) -> usize {
    (0..1_000).filter(|_| directory.should_shed(now, criteria, remaining_ms)).count()
}

/// Guards against backends that spend their time on requests that already missed their latency target, and
/// against rejecting so many requests that backends get none.
#[test]
fn rejected_fraction_grows_with_the_queue() {
    let mut counts = Vec::new();
    for waiting in [0, 4, 12, 24] {
        let mut directory = directory(vec![listed("one", "a1", 6)]);
        // The execution of each request takes 200 ms.
        let now = report(&mut directory, "one", 200 + u64::from(waiting) * 200 / 6, waiting);
        counts.push(rejected_of_1000(&directory, now, ANY, LEFT_MS));
    }
    // After the execution 600 ms are left, of which 180 ms may be spent in the queue: 0.9 requests per slot.
    assert_eq!(counts[..2], [0, 0], "{counts:?}");
    assert!((750..=850).contains(&counts[2]) && (750..=850).contains(&counts[3]), "{counts:?}");
}

/// Guards against rejecting requests that have enough time to wait.
#[test]
fn requests_with_a_long_latency_target_are_not_rejected_for_the_same_queue() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    let now = report(&mut directory, "one", 500, 9);
    let counts = [400, 800, 5_000].map(|remaining_ms| rejected_of_1000(&directory, now, ANY, remaining_ms));
    assert!((750..=850).contains(&counts[0]), "{counts:?}");
    assert!((600..=720).contains(&counts[1]), "{counts:?}");
    assert_eq!(counts[2], 0, "{counts:?}");
}

/// Guards against rejecting requests after the overload has ended, when no new report corrects the estimate.
#[test]
fn queue_estimate_decays_without_reports() {
    let mut directory = directory(vec![listed("one", "a1", 6)]);
    let now = report(&mut directory, "one", 1_000, 24);
    assert!(rejected_of_1000(&directory, now, ANY, LEFT_MS) > 700);
    assert_eq!(rejected_of_1000(&directory, now + 10_000, ANY, LEFT_MS), 0);
}

/// Guards against rejecting a request because of queues in a region where it need not or must not be
/// executed.
#[test]
fn admission_depends_on_the_queues_of_eligible_regions_only() {
    let mut directory = directory(vec![listed("own", "a1", 6), listed("other", "b1", 6)]);
    let now = report(&mut directory, "own", 1_000, 24);
    let (own, other) = ([String::from("a")], [String::from("b")]);
    let within = |home_regions| SelectionCriteria { home_regions, ..ANY };
    assert!(rejected_of_1000(&directory, now, within([&own, &[]]), LEFT_MS) > 700);
    assert_eq!(rejected_of_1000(&directory, now, within([&[], &other]), LEFT_MS), 0);
    assert_eq!(rejected_of_1000(&directory, now, ANY, LEFT_MS), 0, "the other region has capacity");
    let now = report(&mut directory, "other", 1_000, 24);
    assert!(rejected_of_1000(&directory, now, ANY, LEFT_MS) > 700, "neither region has capacity");
}
