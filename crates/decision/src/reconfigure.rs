//! Changes of settings at run time.

use crate::{interface::*, Gateway};

impl Gateway {
    /// Replaces the settings. Classes and plans keep their indices, new ones follow them. Where the length of
    /// a plan's windows changes, its customers' units are carried into the new window: no quota is reset.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) {
        self.now = self.now.max(now);
        let mut carried = Vec::new();
        for customer_id in self.quota.customers.keys().copied().collect::<Vec<_>>() {
            self.advance_window(customer_id);
            let customer = &self.quota.customers[&customer_id];
            let has_quota = self.settings.plans[customer.plan].rate > 0.0;
            if has_quota && self.settings.window(customer.plan).0 != settings.window(customer.plan).0 {
                carried.push((customer_id, self.estimate(customer, self.current_units(customer)).max(0.0)));
            }
        }
        self.fleet.add_classes(&settings.classes);
        self.settings = settings;
        for (customer_id, units) in carried {
            let length = self.settings.window(self.quota.customers[&customer_id].plan).0;
            // Calls of undecided requests will add to the old window, and are not included yet.
            let calls = self.quota.calls.values().flatten();
            let waiting = calls.filter(|call| call.customer == customer_id && call.request.is_some());
            let undecided: f64 = waiting.map(|call| call.amount).sum();
            let customer = self.quota.customers.get_mut(&customer_id).expect("just read");
            customer.window = self.now / length as u64;
            customer.carried_in = customer.window;
            (customer.total, customer.added, customer.unconfirmed, customer.previous) = (0.0, 0.0, 0.0, 0.0);
            // Kept here, as units of peers are, and not added to the counter: a plan that changes back within
            // a window finds its old counters there, and their totals are subtracted.
            (customer.peer_units, customer.unreported) = (units + undecided, 0.0);
            (customer.previous_known, customer.previous_queried) = (true, true);
        }
    }
}
