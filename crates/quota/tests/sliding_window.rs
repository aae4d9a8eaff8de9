//! The sliding window counter and the windows of a limit.

#![cfg(test)]

use violetyoke_quota::{Admission, Limit, SlidingWindow};

#[test]
fn sustained_overload_is_admitted_at_the_limit_in_every_interval() {
    let limit = Limit::new(245.0, 245.0).expect("a limit");
    let mut window = SlidingWindow::default();

    let admitted: Vec<u64> =
        (0..20_000u64).filter(|now| window.try_increment(*now, limit).is_admitted()).collect();

    for start in (0..15_000).step_by(97) {
        let within = admitted.iter().filter(|at| (start..start + 5_000).contains(*at)).count();
        assert!(within as f64 <= 245.0 * 5.0 + 245.0, "{within} in the five seconds from {start}");
    }
    assert!(admitted.len() as f64 > 0.9 * 245.0 * 20.0, "{} in 20 s", admitted.len());
}

#[test]
fn denied_request_is_admitted_after_its_retry_time() {
    let limit = Limit::new(50.0, 50.0).expect("a limit");
    let mut window = SlidingWindow::default();
    let mut now = 10_000;
    for _ in 0..200 {
        if let Admission::Denied { retry_after_ms } = window.try_increment(now, limit) {
            assert!((1..=2_000).contains(&retry_after_ms), "{retry_after_ms} ms");
            let mut later = window;
            let retried = later.try_increment(now + retry_after_ms + 1, limit);
            assert!(retried.is_admitted(), "not admitted {retry_after_ms} ms after {now}");
            now += retry_after_ms;
        }
    }
}

#[test]
fn zero_rate_is_unlimited_and_zero_burst_gives_a_window_of_one_second() {
    assert_eq!(Limit::new(0.0, 10.0), None);
    let limit = Limit::new(20.0, 0.0).map(|limit| (limit.window_ms, limit.max_requests));
    assert_eq!(limit, Some((1000, 20.0)));
}
