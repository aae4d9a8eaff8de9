//! The fraction of each limit that an owner reserves for proxies that may be admitting requests locally.

use crate::local::LOCAL_SHARE;
use crate::{Millis, PartitionedProxies};

impl PartitionedProxies {
    /// The fraction of each limit that the owner must not admit itself. `tolerated_overshoot` is the fraction
    /// by which a limit may be exceeded; local admissions up to this fraction need no reservation.
    ///
    /// Without a reservation, the owner would admit the full limit in addition to the local admissions of
    /// partitioned proxies (docs/incidents/cut-off-edges.md).
    pub fn reserved_fraction(&self, now: Millis, tolerated_overshoot: f64) -> f64 {
        if !self.is_majority_connected() {
            return 0.0;
        }
        (self.local_admission_fraction(now) * LOCAL_SHARE - tolerated_overshoot).max(0.0)
    }
}
