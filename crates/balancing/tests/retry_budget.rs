//! The retry budget: retries stay within one proxy's share.

#![cfg(test)]

use violetyoke_balancing::retry_budget::{RetryBudget, RetryBudgetLimits};

#[test]
fn retries_stay_within_the_share_of_one_proxy_in_every_window() {
    let limits = RetryBudgetLimits { ratio: 0.2, window_ms: 10_000, allowance: 58.0 };
    let mut budget = RetryBudget::new(limits);
    let mut retries: Vec<u64> = Vec::new();
    for now in (0..40_000u64).step_by(10) {
        budget.record_request(now);
        if budget.try_acquire(now, 9) {
            retries.push(now);
        }
    }
    for start in (0..30_000).step_by(333) {
        let within = retries.iter().filter(|at| (start..start + 10_000).contains(*at)).count();
        assert!(within as f64 <= 0.2 * 1000.0 + 58.0 / 9.0, "{within} from {start}");
    }
    assert!(retries.len() > 400, "{}", retries.len());
}
