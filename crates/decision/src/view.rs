//! What can be read of a gateway. Nothing is decided here, and nothing changed.

use crate::interface::*;
use crate::Gateway;

/// A customer's quota as it stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Units allowed at once, and units a second that refill them.
    pub burst: f64,
    pub rate: f64,
    /// Units left, by whichever of the module's two views of the past lets in more.
    pub left: f64,
    /// Time until all of them are there again.
    pub until_full: Micros,
}

impl Gateway {
    /// How many customers and backends it keeps figures of.
    pub fn known(&self) -> (usize, usize) {
        (self.quota.customers.len(), self.fleet.backends.len())
    }

    /// A customer's quota, where its plan has one and it is known.
    pub fn standing(&self, of: CustomerId) -> Option<Standing> {
        let customer = self.quota.customers.get(&of)?;
        let plan = self.settings.plans.get(customer.plan).filter(|plan| plan.rate > 0.0)?;
        let refilled = plan.rate * (self.now - customer.watched) as f64 / 1e6;
        let stands = (customer.standing - refilled).max(0.0);
        let estimate = self.estimate(customer, self.seen(customer));
        let left = (plan.burst - stands).max(self.window_of(plan).1 - estimate).clamp(0.0, plan.burst);
        let until_full = ((plan.burst - left) / plan.rate * 1e6) as Micros;
        Some(Standing { burst: plan.burst, rate: plan.rate, left, until_full })
    }
}
