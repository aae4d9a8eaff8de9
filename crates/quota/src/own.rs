//! An ingress's side: what it let pass of each tenant, and what it may let pass while the holder can't be reached.

use crate::{Limit, Millis, Window};
use std::collections::HashMap;

/// Of its even part, so much is an ingress's own while it can't ask: others may still ask, and the parts of those that
/// have just gone are not yet known to be free.
pub(crate) const PART: f64 = 0.75;
/// Windows of that part (ms): the quota's own span.
pub(crate) const LENGTH: Millis = 5_000;

#[derive(Clone, Debug, Default)]
struct Own {
    passed: Window,
    unasked: Window,
}

#[derive(Clone, Debug, Default)]
pub struct Passed {
    tenants: HashMap<String, Own>,
}

impl Passed {
    fn own(&mut self, tenant: &str) -> &mut Own {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.to_owned(), Own::default());
        }
        self.tenants.entry(tenant.to_owned()).or_default()
    }

    /// The holder let one pass.
    pub fn passed(&mut self, now: Millis, tenant: &str, limit: Limit) {
        let own = self.own(tenant);
        own.passed.note(now, limit, 1.0, 0.0);
        own.unasked.note(now, limit.part(1.0, LENGTH), 1.0, 0.0);
    }

    /// The holder can't be asked: whether one may pass as part of what this ingress has of its own, being one of
    /// `ingresses`.
    pub fn unasked(
        &mut self,
        now: Millis,
        tenant: &str,
        limit: Limit,
        ingresses: usize,
    ) -> Result<(), Millis> {
        let part = limit.part(PART / ingresses.max(1) as f64, LENGTH);
        let own = self.own(tenant);
        own.unasked.add(now, part)?;
        own.passed.note(now, limit, 1.0, 0.0);
        Ok(())
    }

    /// What a new holder is told.
    pub fn told(&mut self, now: Millis, tenant: &str, limit: Limit) -> (f64, f64) {
        self.own(tenant).passed.held(now, limit)
    }

    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.tenants.retain(|tenant, _| known(tenant));
    }
}
