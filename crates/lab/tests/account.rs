//! The token buckets of emulated accounts.

#![cfg(test)]

use violetyoke_lab::account::Bucket;

#[test]
fn take_returns_the_units_beyond_the_level_and_the_bucket_refills() {
    let mut bucket = Bucket::full(2.0, 10.0, 0);
    assert_eq!(bucket.take(0, 8.0), 0.0);
    assert_eq!(bucket.take(0, 5.0), 3.0);
    assert!(!bucket.has(400_000, 1.0));
    assert!(bucket.has(500_000, 1.0));
    assert_eq!(bucket.take(60_000_000, 10.0), 0.0);
}
