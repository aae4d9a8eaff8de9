//! The holder's side: the counts of the tenants that are dealt to it.

use crate::{Limit, Millis, Window};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct Count<F> {
    /// What was counted here.
    window: Window,
    /// What ingresses told under the newest deal that any told under, and what was counted here since.
    told: Window,
    fence: F,
}

/// Counts by tenant; `F` orders deals, the newer the greater.
#[derive(Clone, Debug, Default)]
pub struct Holder<F> {
    counts: HashMap<String, Count<F>>,
    newest: F,
}

/// An add or a word that came under a deal that is no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stale;

impl<F: Copy + Ord + Default> Holder<F> {
    /// A newer deal: what comes under an older one is refused from now on.
    pub fn raise(&mut self, fence: F) {
        self.newest = self.newest.max(fence);
    }

    /// One more request of a tenant.
    pub fn add(
        &mut self,
        now: Millis,
        tenant: &str,
        fence: F,
        limit: Limit,
    ) -> Result<Result<(), Millis>, Stale> {
        if fence < self.newest {
            return Err(Stale);
        }
        self.newest = fence;
        let count = self.count(tenant);
        // Whoever held it all along has counted more than a few tell; whoever is new to it has been told more.
        let here = count.window.estimate(now, limit) >= count.told.estimate(now, limit);
        let (larger, smaller) =
            if here { (&mut count.window, &mut count.told) } else { (&mut count.told, &mut count.window) };
        let added = larger.add(now, limit);
        if added.is_ok() {
            smaller.note(now, limit, 1.0, 0.0);
        }
        Ok(added)
    }

    /// What one ingress let pass of a tenant in its last two windows, told when the count came here: a holder that is
    /// new to it rebuilds the count from those who passed the requests on.
    pub fn tell(
        &mut self,
        now: Millis,
        tenant: &str,
        fence: F,
        limit: Limit,
        told: (f64, f64),
    ) -> Result<(), Stale> {
        if fence < self.newest {
            return Err(Stale);
        }
        self.newest = fence;
        let count = self.count(tenant);
        if count.fence < fence {
            // Another deal: whoever comes to this holder by it tells anew, and others have no reason to.
            let window = count.window.larger(count.told, now, limit);
            *count = Count { window, told: Window::default(), fence };
        }
        count.told.note(now, limit, told.0, told.1);
        Ok(())
    }

    fn count(&mut self, tenant: &str) -> &mut Count<F> {
        if !self.counts.contains_key(tenant) {
            let count = Count { window: Window::default(), told: Window::default(), fence: self.newest };
            self.counts.insert(tenant.to_owned(), count);
        }
        self.counts.entry(tenant.to_owned()).or_default()
    }

    /// Forgets tenants that are no more.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.counts.retain(|tenant, _| known(tenant));
    }
}
