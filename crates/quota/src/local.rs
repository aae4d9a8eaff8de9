//! A proxy's side: what it has admitted of each tenant, and what it may admit while the owner can't be reached.

use crate::{Admission, Limit, Millis, SlidingWindow, WindowCounts};
use std::collections::HashMap;

/// Part of its even share of a limit that a proxy admits on its own while it can't reach the owner. Not all of it: other
/// proxies may still reach the owner, and the shares of proxies that have just left are not yet known to be free.
pub(crate) const LOCAL_SHARE: f64 = 0.75;
/// Window of that share (ms): the span over which the operators' rule on quotas is measured.
pub(crate) const LOCAL_WINDOW_MS: Millis = 5_000;

/// What one proxy has admitted, by tenant.
#[derive(Clone, Debug, Default)]
pub struct LocalUsage {
    tenants: HashMap<String, TenantUsage>,
}

#[derive(Clone, Debug, Default)]
struct TenantUsage {
    /// All admitted requests, in the windows of the tenant's limit: what a new owner is told.
    admitted: SlidingWindow,
    /// All admitted requests, in windows of [`LOCAL_WINDOW_MS`]: requests that the owner admitted use up the local
    /// share too.
    local: SlidingWindow,
}

impl LocalUsage {
    /// Records a request that the owner admitted.
    pub fn record(&mut self, now: Millis, tenant: &str, limit: Limit) {
        let usage = self.usage_of(tenant);
        usage.admitted.record(now, limit, WindowCounts::ONE_REQUEST);
        usage.local.record(now, limit.scaled(1.0, LOCAL_WINDOW_MS), WindowCounts::ONE_REQUEST);
    }

    /// Decides on a request while the owner can't be asked, as one of `proxy_count` proxies, and records it if it is
    /// admitted.
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

    /// What this proxy has admitted in the tenant's last two windows, for a new owner.
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
