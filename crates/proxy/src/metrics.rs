//! Counters of one process, published at `/api/figures` and logged in one line when the process ends.

use std::cell::Cell;
use std::fmt::{self, Display};

/// A number that only grows, from the start of the process on.
#[derive(Debug, Default)]
pub(crate) struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub(crate) fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }
}

/// A counter as it is published.
struct PublishedCounter {
    name: &'static str,
    help: &'static str,
    value: u64,
}

macro_rules! metrics {
    ($($field:ident = $name:literal: $help:literal,)*) => {
        /// All counters of a proxy. Their published names and help texts are part of the interface to operators, and stay
        /// as they are where a field is renamed.
        #[derive(Debug, Default)]
        pub(crate) struct Metrics {
            $(#[doc = $help] pub(crate) $field: Counter,)*
        }

        impl Metrics {
            fn published(&self) -> Vec<PublishedCounter> {
                vec![$(PublishedCounter { name: $name, help: $help, value: self.$field.0.get() },)*]
            }
        }
    };
}

metrics! {
    requests = "requests": "requests of clients",
    answered = "answered": "answered with what a backend said",
    over_limit = "past_limit": "refused past a tenant's limit",
    rejected = "refused": "refused, never having run",
    failed = "failed": "given up on, having run perhaps",
    retries = "further": "further attempts",
    retry_budget_exhausted = "no_budget": "further attempts that the budget did not allow",
    local_quota_decisions = "unasked": "counted here, as their holder could not be asked",
    unknown_routes = "no_route": "denied: no such route",
    unknown_credentials = "no_key": "denied: no such key",
    backend_connections = "connections": "connections opened to backends",
}

impl PublishedCounter {
    fn to_prometheus(&self) -> String {
        let PublishedCounter { name, help, value } = self;
        format!(
            "# HELP violetyoke_proxy_{name}_total {help}\n\
             # TYPE violetyoke_proxy_{name}_total counter\n\
             violetyoke_proxy_{name}_total {value}\n"
        )
    }
}

impl Metrics {
    /// All counters in the Prometheus text format.
    pub(crate) fn to_prometheus(&self) -> String {
        self.published().iter().map(PublishedCounter::to_prometheus).collect()
    }
}

/// All counters in one line, for the log.
impl Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, PublishedCounter { name, value, .. }) in self.published().iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{name} {value}")?;
        }
        Ok(())
    }
}
