//! The confidence interval of paired differences.

#![cfg(test)]

use violetyoke_lab::compare::paired;

#[test]
fn interval_is_exact_for_a_constant_difference_and_widens_with_noise() {
    let steady: Vec<_> = (0..20).map(|n| (f64::from(n), f64::from(n) + 1.0)).collect();
    let steady = paired(&steady).expect("pairs");
    assert_eq!((steady.mean, steady.low, steady.high), (1.0, 1.0, 1.0));
    let noisy: Vec<_> = (0..20).map(|n| (0.0, if n % 2 == 0 { 3.0 } else { -1.0 })).collect();
    let noisy = paired(&noisy).expect("pairs");
    assert!(noisy.mean == 1.0 && noisy.low < 0.4 && noisy.high > 1.6, "{noisy:?}");
    assert_eq!(paired(&[]), None);
}
