//! Changed settings while the service runs.

use crate::interface::*;
use crate::Gateway;

impl Gateway {
    /// Takes new settings. Classes and plans keep their numbers, new ones come behind them. Where a plan's
    /// windows change, its customers' use is carried into the first new one: nobody gets a quota anew by it.
    pub fn reconfigure(&mut self, now: Micros, settings: Settings) {
        self.now = self.now.max(now);
        let customers: Vec<CustomerId> = self.quota.customers.keys().copied().collect();
        let mut carried = Vec::new();
        for of in customers {
            self.advance(of);
            let customer = &self.quota.customers[&of];
            let (old, new) = (&self.settings.plans[customer.plan], &settings.plans[customer.plan]);
            if old.rate > 0.0 && self.length_of(old) != self.length_of(new) {
                carried.push((of, self.estimate(customer, self.seen(customer)).max(0.0)));
            }
        }
        self.fleet.begin(&settings.classes);
        self.settings = settings;
        for (of, stands) in carried {
            let length = self.length_of(&self.settings.plans[self.quota.customers[&of].plan]);
            // What is still on its way to the old windows is not seen in the new ones.
            let calls = self.quota.calls.values().flatten().filter(|call| call.customer == of);
            let on_its_way: f64 = calls.map(|call| call.amount.max(0.0)).sum();
            let customer = self.quota.customers.get_mut(&of).expect("just read");
            customer.window = self.now / length as u64;
            (customer.total, customer.own, customer.unseen, customer.before) = (0.0, 0.0, 0.0, 0.0);
            (customer.before_known, customer.before_asked) = (true, true);
            // All of it is known here; each gateway puts its own part on the counter, and what the others'
            // parts show there is taken off what is known.
            (customer.heard, customer.owed) = (stands + on_its_way, stands * customer.share + on_its_way);
        }
    }
}
