//! What a gateway decides without a total: the same estimate from what is known, and how much may be sent
//! untold, by quota and by ceiling.

use crate::interface::*;
use crate::requests::Stage;
use crate::Gateway;

/// Multiple of its part of the quota that a gateway may send alone: parts are uneven, and known roughly.
const ALONE_PART: f64 = 1.5;

impl Gateway {
    /// The same estimate from what is known: last totals, and own units since then, scaled to all where they
    /// tell of them. A customer known to ask beyond its quota is let in by chance, for its covered share.
    pub(crate) fn decide_alone(&mut self, id: RequestId) -> bool {
        let Some(open) = self.requests.open.get(&id).filter(|open| open.stage == Stage::Asking) else {
            return false;
        };
        let (of, units) = (open.request.customer, open.request.units);
        let spare = self.spare(of);
        let customer = &self.quota.customers[&of];
        let (all, beyond, seen) = (units / self.part(customer), customer.beyond, self.seen(customer));
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        customer.waiting.retain(|other| *other != id);
        let within = if customer.telling { self.within(of, seen, all) } else { self.by_chance(1.0 - beyond) };
        if !within || units > spare {
            // Its call has most likely added, or is owed: what is refused must not swell the count.
            let (open, customer) =
                (&self.requests.open[&id], self.quota.customers.get_mut(&of).expect("just read"));
            customer.owed -= if open.window == customer.window { open.stands } else { 0.0 };
            self.refuse_beyond(id);
            return false;
        }
        let customer = self.quota.customers.get_mut(&of).expect("just read");
        (customer.spare, customer.unseen) = (customer.spare - units, customer.unseen + units);
        self.watch(of, 0.0, all);
        self.admit(id);
        true
    }

    /// Units that may be sent untold: under a ceiling, this gateway's part of what lies between quota and it,
    /// so that all parts and the told units stay below; else, of many gateways, its part of the quota.
    pub(crate) fn spare(&mut self, of: CustomerId) -> f64 {
        let (now, largest) = (self.now, self.settings.largest_request);
        let customer = self.quota.customers.get_mut(&of).expect("rolled on arrival");
        let plan = &self.settings.plans[customer.plan];
        let (rate, most) = if plan.ceiling_rate > 0.0 {
            let most = (plan.ceiling_burst - plan.burst).max(0.0) / customer.spread;
            ((plan.ceiling_rate - plan.rate).max(0.0) / customer.spread, most)
        } else if customer.telling {
            return f64::INFINITY;
        } else {
            let part = ALONE_PART * customer.share.max(1.0 / customer.spread);
            (plan.rate * part, (plan.burst * part).max(largest))
        };
        customer.spare = (customer.spare + (now - customer.spare_at) as f64 / 1e6 * rate).min(most);
        customer.spare_at = now;
        customer.spare
    }

    /// Whether the quota would let in units untold that the ceiling does not.
    pub(crate) fn ceiling_stops(&mut self, of: CustomerId, units: f64) -> bool {
        let customer = &self.quota.customers[&of];
        let (seen, all) = (self.seen(customer), units / self.part(customer));
        self.settings.plans[customer.plan].ceiling_rate > 0.0
            && units > self.spare(of)
            && self.within(of, seen, all)
    }
}
