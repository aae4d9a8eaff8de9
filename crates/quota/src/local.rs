//! The proxy's counters: admitted requests of each tenant, and local admission while the owner is
//! unreachable.

use crate::{Admission, Limit, Millis, SlidingWindow, WindowCounts};
use std::collections::HashMap;

/// Fraction of its even share of a limit that a proxy admits locally while it can't reach the owner. Less
/// than 1 because other proxies may still reach the owner, and a recent change of the number of proxies may
/// not be known yet.
pub(crate) const LOCAL_SHARE: f64 = 0.75;
/// Window of the local share (ms), equal to the interval over which operators measure compliance with quotas.
pub(crate) const LOCAL_WINDOW_MS: Millis = 5_000;

/// Requests that one proxy has admitted, by tenant.
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
    tenants: HashMap<String, TenantUsage>,
}

#[derive(Clone, Debug, Default)]
struct TenantUsage {
    /// All admitted requests, in the windows of the tenant's limit. These counts are transferred to a new
    /// owner.
    admitted: SlidingWindow,
    /// All admitted requests, in windows of [`LOCAL_WINDOW_MS`]. Requests that the owner admitted count
    /// against the local share too.
    local: SlidingWindow,
}

impl LocalUsage {
    /// Records a request that the owner admitted.
    pub fn record(&mut self, now: Millis, tenant: &str, limit: Limit) {
        let usage = self.usage_of(tenant);
        usage.admitted.record(now, limit, WindowCounts::ONE_REQUEST);
        usage.local.record(now, limit.scaled(1.0, LOCAL_WINDOW_MS), WindowCounts::ONE_REQUEST);
    }

    /// Decides on a request while the owner is unreachable, as one of `proxy_count` proxies. Records the
    /// request if it is admitted.
    pub fn try_admit_locally(
        &mut self,
        now: Millis,
        tenant: &str,
        limit: Limit,
        proxy_count: usize,
    ) -> Admission {
        let share = limit.scaled(LOCAL_SHARE / proxy_count.max(1) as f64, LOCAL_WINDOW_MS);
        let usage = self.usage_of(tenant);
        let admission = usage.local.try_increment(now, share);
        if admission.is_admitted() {
            usage.admitted.record(now, limit, WindowCounts::ONE_REQUEST);
        }
        admission
    }

    /// Requests that this proxy has admitted in the current and the previous window of the tenant, for a new
    /// owner.
    pub fn usage(&mut self, now: Millis, tenant: &str, limit: Limit) -> WindowCounts {
        self.usage_of(tenant).admitted.counts(now, limit)
    }

    /// Drops the usage of tenants that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.tenants.retain(|tenant, _| exists(tenant));
    }

    fn usage_of(&mut self, tenant: &str) -> &mut TenantUsage {
        self.tenants.entry(tenant.to_owned()).or_default()
    }
}
