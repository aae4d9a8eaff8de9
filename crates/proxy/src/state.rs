//! The state that the parts of a proxy share. All of it is used on one thread, so cells suffice and locks are not needed.

use crate::backends::Backends;
use crate::clock::Clock;
use crate::configuration::ConfigurationStore;
use crate::freshness::FreshnessCheck;
use crate::metrics::Metrics;
use crate::operations::OperationClient;
use crate::pending::PendingRequests;
use crate::quota_client::QuotaClient;
use crate::registries::RegistryConnections;
use crate::retry_budgets::RetryBudgets;
use crate::serving::ServingState;
use crate::split::SplitSequences;
use crate::upstream::ConnectionPool;
use slog::Logger;
use std::rc::Rc;
use std::time::Duration;
use violetyoke_api::Settings;
use violetyoke_balancing::Millis;

/// The maximum time for which responses are kept for repeats of their requests.
const MAX_RESPONSE_WINDOW: Duration = Duration::from_secs(3_600);

/// One proxy. Each part owns its state, which only the part's own methods change.
pub(crate) struct Proxy {
    pub(crate) log: Logger,
    pub(crate) metrics: Rc<Metrics>,
    pub(crate) serving: Rc<ServingState>,
    pub(crate) registries: Rc<RegistryConnections>,
    pub(crate) configuration: Rc<ConfigurationStore>,
    pub(crate) backends: Backends,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) quota: QuotaClient,
    pub(crate) operations: Rc<OperationClient>,
    pub(crate) freshness: FreshnessCheck,
    /// Samples for routes that split their requests among services.
    pub(crate) splits: SplitSequences,
    /// Requests that are queued until a backend has capacity.
    pub(crate) pending: PendingRequests,
    /// Idle connections to backends.
    pub(crate) connection_pool: ConnectionPool,
    clock: Clock,
}

impl Proxy {
    /// Creates a proxy that has not received any state; `incarnation` distinguishes this process from an earlier one on the
    /// same machine.
    pub(crate) fn new(
        settings: &Settings,
        registries: RegistryConnections,
        incarnation: u64,
        log: Logger,
    ) -> Proxy {
        let clock = Clock::start();
        let response_window = settings.terms.bounds.dedup_window_s.to_duration().min(MAX_RESPONSE_WINDOW);
        let metrics = Rc::new(Metrics::default());
        let registries = Rc::new(registries);
        let configuration = Rc::new(ConfigurationStore::default());
        Proxy {
            log,
            serving: Rc::default(),
            backends: Backends::new(settings, clock),
            retry_budgets: RetryBudgets::new(&settings.terms.bounds, clock, registries.clone()),
            quota: QuotaClient::new(registries.clone(), metrics.clone(), clock),
            operations: OperationClient::new(
                registries.clone(),
                metrics.clone(),
                incarnation,
                response_window,
            ),
            freshness: FreshnessCheck::new(registries.clone(), configuration.clone()),
            splits: SplitSequences::default(),
            pending: PendingRequests::new(clock),
            connection_pool: ConnectionPool::default(),
            metrics,
            registries,
            configuration,
            clock,
        }
    }

    /// Milliseconds since the start of the process.
    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }
}
