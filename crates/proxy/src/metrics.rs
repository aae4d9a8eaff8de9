//! The metrics of the process. They are published at `/api/figures`, and logged in one line when the process ends.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use std::fmt::{self, Display};
use violetyoke_balancing::queue::MAX_PENDING;

/// The prefix of all metric names.
const PREFIX: &str = "violetyoke_proxy";

macro_rules! metrics {
    ($($field:ident = $name:literal: $help:literal,)*) => {
        /// All counters of a proxy, since the start of the process. The published names and help texts are part of the
        /// interface to operators, and must not change when a field is renamed.
        #[derive(Debug, Default)]
        pub(crate) struct Metrics {
            $(#[doc = $help] pub(crate) $field: Counter,)*
        }

        impl Metrics {
            fn register(&self, registry: &mut Registry) {
                $(registry.register($name, $help, self.$field.clone());)*
            }

            fn values(&self) -> Vec<(&'static str, u64)> {
                vec![$(($name, self.$field.get()),)*]
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
    claims_granted = "claims_granted": "keyed requests that were claimed and forwarded",
    claims_in_progress = "claims_in_progress": "keyed requests whose operation another request was executing",
    claims_replayed = "claims_replayed": "keyed requests answered with a recorded response",
    claims_unknown = "claims_unknown": "keyed requests whose operation may have run without a response",
    claims_unavailable = "claims_unavailable": "keyed requests refused, as no store decided on their claim in time",
    responses_read = "responses_read": "responses sent for repeats at other proxies",
    responses_missing = "responses_missing": "responses that were asked for and are not kept here",
    claims_released = "claims_released": "claims given back, their request never having run",
    late_grants = "late_grants": "grants of claims that came too late to be used, or twice",
}

/// Values that are measured when the metrics are requested.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Gauges {
    /// The number of queued requests of the service that has the most of them.
    pub(crate) longest_queue: usize,
}

impl Gauges {
    fn register(self, registry: &mut Registry) {
        let longest_queue = Gauge::<i64>::default();
        longest_queue.set(self.longest_queue as i64);
        registry.register(
            "longest_queue",
            "requests that wait for the service that has the most",
            longest_queue,
        );
        let queue_limit = Gauge::<i64>::default();
        queue_limit.set(MAX_PENDING as i64);
        registry.register("queue_limit", "requests that may wait for one service", queue_limit);
    }
}

impl Metrics {
    /// All metrics in the Prometheus text format.
    pub(crate) fn to_prometheus(&self, gauges: Gauges) -> String {
        let mut registry = Registry::with_prefix(PREFIX);
        self.register(&mut registry);
        gauges.register(&mut registry);
        let mut text = String::new();
        // Writing to a string cannot fail.
        encode(&mut text, &registry).ok();
        text
    }
}

/// Formats all counters in one line for the log.
impl Display for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (name, value)) in self.values().into_iter().enumerate() {
            let separator = if index == 0 { "" } else { ", " };
            write!(f, "{separator}{name} {value}")?;
        }
        Ok(())
    }
}
