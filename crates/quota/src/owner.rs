//! The owner's counters: requests of the tenants that are assigned to a registry.

use crate::{Admission, Limit, Millis, SlidingWindow, WindowCounts};
use std::collections::HashMap;
use std::fmt::Debug;

/// A request has an older fencing token than an earlier request: it was sent under an assignment that has
/// been replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {received:?} is older than {newest:?}")]
pub struct StaleFence<F: Debug> {
    /// The token of the rejected request.
    pub received: F,
    /// The newest token known.
    pub newest: F,
}

/// Counters by tenant, fenced by the assignment's token `F`. A newer assignment has a greater token.
#[derive(Clone, Debug, Default)]
pub struct OwnerCounters<F> {
    counters: HashMap<String, TenantCounter<F>>,
    newest_token: F,
}

/// Two counts of the same requests, of which the larger one decides. An owner that keeps its tenant when the
/// assignment changes has counted more requests than the few proxies that transfer their usage to it. A new
/// owner has counted fewer.
#[derive(Clone, Copy, Debug, Default)]
struct TenantCounter<F> {
    /// Requests that this owner admitted.
    counted: SlidingWindow,
    /// Usage that proxies transferred under `token`, plus requests that this owner has admitted since.
    imported: SlidingWindow,
    /// Token of the assignment under which usage was last transferred.
    token: F,
}

impl<F: Copy + Ord + Default + Debug> OwnerCounters<F> {
    /// Advances to the token of a newer assignment. Requests with an older token are rejected from now on.
    pub fn advance_fence(&mut self, token: F) {
        self.newest_token = self.newest_token.max(token);
    }

    /// Decides on one request of a tenant and counts the request if it is admitted.
    ///
    /// # Errors
    ///
    /// [`StaleFence`] if the request was sent under an older assignment. This registry may no longer be the
    /// owner.
    pub fn increment(
        &mut self,
        now: Millis,
        tenant: &str,
        token: F,
        limit: Limit,
    ) -> Result<Admission, StaleFence<F>> {
        self.check_fence(token)?;
        let TenantCounter { counted, imported, .. } = self.counter(tenant);
        let (larger, smaller) = if counted.estimate(now, limit) >= imported.estimate(now, limit) {
            (counted, imported)
        } else {
            (imported, counted)
        };
        let admission = larger.try_increment(now, limit);
        if admission.is_admitted() {
            smaller.record(now, limit, WindowCounts::ONE_REQUEST);
        }
        Ok(admission)
    }

    /// Adds the requests of a tenant that one proxy has admitted. Proxies transfer their usage over each new
    /// connection to an owner, and a new owner rebuilds its counter from it.
    ///
    /// # Errors
    ///
    /// [`StaleFence`] if the usage was sent under an older assignment.
    pub fn import(
        &mut self,
        now: Millis,
        tenant: &str,
        token: F,
        limit: Limit,
        usage: WindowCounts,
    ) -> Result<(), StaleFence<F>> {
        self.check_fence(token)?;
        let counter = self.counter(tenant);
        if counter.token < token {
            // Under a new assignment, proxies transfer their complete usage again. Adding it to the previous
            // transfer would count requests twice.
            let counted = counter.counted.max(counter.imported, now, limit);
            *counter = TenantCounter { counted, imported: SlidingWindow::default(), token };
        }
        counter.imported.record(now, limit, usage);
        Ok(())
    }

    /// Drops the counters of tenants that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&str) -> bool) {
        self.counters.retain(|tenant, _| exists(tenant));
    }

    fn check_fence(&mut self, token: F) -> Result<(), StaleFence<F>> {
        if token < self.newest_token {
            return Err(StaleFence { received: token, newest: self.newest_token });
        }
        self.newest_token = token;
        Ok(())
    }

    fn counter(&mut self, tenant: &str) -> &mut TenantCounter<F> {
        let token = self.newest_token;
        self.counters
            .entry(tenant.to_owned())
            .or_insert_with(|| TenantCounter { token, ..TenantCounter::default() })
    }
}
