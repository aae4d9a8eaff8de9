//! How much of each limit an owner sets aside for proxies that may be admitting requests without asking it.

use crate::local::LOCAL_SHARE;
use crate::{Millis, PartitionedProxies};

impl PartitionedProxies {
    /// The part (0 to 1) of each limit that the owner must not admit itself. `tolerated_overshoot` is the part by which a
    /// limit may be exceeded; it bears the first local admissions.
    ///
    /// Without a reservation the owner admits the whole limit beside what partitioned proxies admit
    /// (docs/incidents/cut-off-edges.md).
    pub fn reserved_fraction(&self, now: Millis, tolerated_overshoot: f64) -> f64 {
        if !self.is_majority_connected() {
            return 0.0;
        }
        (self.unsupervised_part(now) * LOCAL_SHARE - tolerated_overshoot).max(0.0)
    }
}
