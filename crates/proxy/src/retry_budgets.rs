//! Retry budgets, one for each service.

use crate::clock::Clock;
use crate::registries::RegistryConnections;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use violetyoke_api::settings::Bounds;
use violetyoke_balancing::retry_budget::{RetryBudget, RetryBudgetLimits};

/// This proxy's share of each service's retry budget.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    limits: RetryBudgetLimits,
    clock: Clock,
    registries: Rc<RegistryConnections>,
    by_service: RefCell<HashMap<String, RetryBudget>>,
}

impl RetryBudgets {
    pub(crate) fn new(bounds: &Bounds, clock: Clock, registries: Rc<RegistryConnections>) -> RetryBudgets {
        let limits = RetryBudgetLimits {
            ratio: bounds.retry_ratio,
            window_ms: bounds.retry_window_s.to_millis(),
            allowance: bounds.retry_slack,
        };
        RetryBudgets { limits, clock, registries, by_service: RefCell::default() }
    }

    /// Records a client's request. The budget is a ratio of the number of requests.
    pub(crate) fn record_request(&self, service: &str) {
        let now = self.clock.now();
        self.with_budget(service, |budget| budget.record_request(now));
    }

    /// Whether the budget allows one more retry.
    pub(crate) fn has_capacity(&self, service: &str) -> bool {
        let (now, proxy_count) = (self.clock.now(), self.registries.proxy_count());
        self.with_budget(service, |budget| budget.has_capacity(now, proxy_count))
    }

    /// Takes one retry from the budget. Returns whether the budget allowed it.
    #[must_use]
    pub(crate) fn try_acquire(&self, service: &str) -> bool {
        let (now, proxy_count) = (self.clock.now(), self.registries.proxy_count());
        self.with_budget(service, |budget| budget.try_acquire(now, proxy_count))
    }

    fn with_budget<R>(&self, service: &str, f: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let mut budgets = self.by_service.borrow_mut();
        f(budgets.entry(service.to_owned()).or_insert_with(|| RetryBudget::new(self.limits)))
    }
}
