//! The owner's side: counters of the tenants that are assigned to a registry.

use crate::{Admission, Limit, Millis, SlidingWindow, WindowCounts};
use std::collections::HashMap;
use std::fmt::Debug;

/// A request bears an older fencing token than one seen before: it was sent under an assignment that is no longer in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {received:?} is older than {newest:?}")]
pub struct StaleFence<F: Debug> {
    /// The token of the rejected request.
    pub received: F,
    /// The newest token known.
    pub newest: F,
}

/// Counters by tenant, fenced by the assignment's token `F`; a newer assignment has a greater token.
#[derive(Clone, Debug, Default)]
pub struct OwnerCounters<F> {
    counters: HashMap<String, TenantCounter<F>>,
    newest_token: F,
}

/// Two counts of the same requests. The larger one decides: an owner that kept its tenant over a change of the
/// assignment has counted more than the few proxies that transfer their usage report, and a new owner has counted less.
#[derive(Clone, Copy, Debug, Default)]
struct TenantCounter<F> {
    /// Requests that were admitted here.
    counted: SlidingWindow,
    /// Usage that proxies transferred under `token`, and requests that were admitted here since.
    imported: SlidingWindow,
    /// The assignment under which usage was last transferred.
    token: F,
}

impl<F: Copy + Ord + Default + Debug> OwnerCounters<F> {
    /// A newer assignment is in force: what bears an older token is rejected from now on.
    pub fn advance_fence(&mut self, token: F) {
        self.newest_token = self.newest_token.max(token);
    }

    /// Decides on one more request of a tenant, and counts it if it is admitted.
    ///
    /// # Errors
    ///
    /// [`StaleFence`] where the request was sent under an older assignment: this registry may no longer be the owner.
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

    /// Adds what one proxy has admitted of a tenant. Proxies transfer this to an owner that they have a new connection to;
    /// an owner that is new to the tenant rebuilds its counter from it.
    ///
    /// # Errors
    ///
    /// [`StaleFence`] where the usage was sent under an older assignment.
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
            // Under another assignment proxies transfer everything anew: adding to what they transferred before would
            // count it twice.
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
