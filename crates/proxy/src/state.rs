//! What all parts of the proxy share: one thread, so cells do.

use crate::backend::Pools;
use crate::counting::Counting;
use crate::figures::Figures;
use crate::learning::Learning;
use crate::waiting::Waiting;
use slog::Logger;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::Ipv4Addr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::time::Instant;
use violetyoke_api::routing::RoutingTable;
use violetyoke_api::{Configuration, Settings};
use violetyoke_balancing::retry_budget::{RetryBudget, RetryBudgetLimits};
use violetyoke_balancing::{BackendDirectory, Locality, Millis, ServiceLimits};
use violetyoke_transport::connection::Sender;
use violetyoke_transport::messages::{proxy_id, ListDigest, Membership, Revision};

/// What is in force: swapped whole.
#[derive(Debug)]
pub struct Snapshot {
    pub revision: Revision,
    pub table: RoutingTable,
    /// What the table was made of, for the next change.
    pub configuration: Configuration,
}

/// A connection to a registry, and what was last told there.
pub struct Registry {
    pub sender: Option<Sender>,
    pub members: Membership,
    /// Connections to it so far: a later one may be to another life.
    pub lives: u64,
}

pub struct Proxy {
    pub settings: Settings,
    /// Machines whose registries are asked, as the settings have them by now.
    pub seeds: RefCell<Vec<Ipv4Addr>>,
    pub life: u64,
    pub begun: Instant,
    pub log: Logger,
    pub figures: Figures,
    pub snapshot: RefCell<Option<Rc<Snapshot>>>,
    pub evacuated: RefCell<BTreeSet<String>>,
    pub fleet: RefCell<BackendDirectory>,
    pub list: Cell<ListDigest>,
    pub budgets: RefCell<HashMap<String, RetryBudget>>,
    pub counting: RefCell<Counting>,
    pub waiting: RefCell<Waiting>,
    pub pools: RefCell<Pools>,
    pub registries: RefCell<BTreeMap<Ipv4Addr, Registry>>,
    pub lead: Cell<Option<Ipv4Addr>>,
    /// What was told could not be made of what is known: the whole is wanted.
    pub lacking: Cell<bool>,
    pub learning: Learning,
    pub ready: Cell<bool>,
    pub leaving: Cell<bool>,
    /// Told when it begins to leave.
    pub leave: Notify,
    pub open: Cell<usize>,
}

impl Proxy {
    pub fn new(settings: Settings, life: u64, log: Logger) -> Proxy {
        let locality = Locality { zone: settings.local.zone.clone(), region: settings.local.region.clone() };
        let fleet = BackendDirectory::new(proxy_id(&settings.local.node), locality);
        Proxy {
            seeds: RefCell::new(settings.seeds()),
            life,
            begun: Instant::now(),
            log,
            figures: Figures::default(),
            snapshot: RefCell::default(),
            evacuated: RefCell::default(),
            fleet: RefCell::new(fleet),
            list: Cell::new(ListDigest::NONE),
            budgets: RefCell::default(),
            counting: RefCell::default(),
            waiting: RefCell::default(),
            pools: RefCell::default(),
            registries: RefCell::default(),
            lead: Cell::new(None),
            lacking: Cell::new(false),
            learning: Learning::default(),
            ready: Cell::new(false),
            leaving: Cell::new(false),
            leave: Notify::new(),
            open: Cell::new(0),
            settings,
        }
    }

    pub fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis + 1
    }

    pub fn serving(&self) -> bool {
        self.ready.get() && !self.leaving.get()
    }

    pub fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.snapshot.borrow().clone()
    }

    pub fn revision(&self) -> Revision {
        self.snapshot.borrow().as_ref().map(|snapshot| snapshot.revision).unwrap_or_default()
    }

    /// How many ingresses share what is cut over all of them.
    pub fn ingresses(&self) -> usize {
        self.counting.borrow().ingresses
    }

    /// A newer state of control; an older one changes nothing.
    pub fn install(&self, revision: Revision, evacuated: BTreeSet<String>, configuration: Configuration) {
        if revision <= self.revision() {
            return;
        }
        let terms = configuration.services.iter().map(|service| {
            let terms = ServiceLimits {
                slow_start_ms: (service.cold_s * 1000.0) as Millis,
                slow_start_rate_per_s: service.cold_rate_s,
                max_connections: service.max_conns.unwrap_or(0.0) as u32,
            };
            (service.name.clone(), terms)
        });
        let lag = self.settings.platform.cloud_api.as_ref().map_or(1000.0, |api| api.lag_ms) as Millis + 700;
        self.fleet.borrow_mut().configure(self.now(), terms.collect(), evacuated.clone(), lag);
        slog::info!(self.log, "in force"; "version" => configuration.version, "epoch" => revision.epoch,
            "evacuated" => evacuated.len());
        *self.evacuated.borrow_mut() = evacuated;
        let table = RoutingTable::new(&configuration);
        self.counting.borrow_mut().retain(&table);
        *self.snapshot.borrow_mut() = Some(Rc::new(Snapshot { revision, table, configuration }));
        self.waiting.borrow_mut().all();
        self.learning.installed_newer();
    }

    /// The budget of further attempts at a service.
    pub fn budget<R>(&self, service: &str, with: impl FnOnce(&mut RetryBudget) -> R) -> R {
        let bounds = &self.settings.terms.bounds;
        let mut budgets = self.budgets.borrow_mut();
        if !budgets.contains_key(service) {
            let limits = RetryBudgetLimits {
                ratio: bounds.retry_ratio,
                window_ms: (bounds.retry_window_s * 1000.0) as Millis,
                allowance: bounds.retry_slack,
            };
            budgets.insert(service.to_owned(), RetryBudget::new(limits));
        }
        let budget = budgets.entry(service.to_owned());
        with(budget.or_insert_with(|| {
            RetryBudget::new(RetryBudgetLimits { ratio: 0.0, window_ms: 1000, allowance: 0.0 })
        }))
    }
}
