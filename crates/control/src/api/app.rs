//! The state of a control plane that all calls share.

use super::ingress_state::IngressState;
use crate::keys::{self, KeyRole, Pepper};
use crate::rate_limit::{RateLimit, RateLimiter};
use crate::roles::{EpochFile, LeaseService};
use crate::store::{self, Author, ReadView, Revision, Store, Writes};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Settings of a control plane.
#[derive(Clone)]
pub struct Options {
    /// From a tenant's deletion until its data is deleted, in milliseconds: longer than any of its requests takes.
    pub drain_ms: u64,
    /// How often each key may be used.
    pub rate_limit: RateLimit,
    /// What the store's keys are hashed with.
    pub pepper: Pepper,
    /// Where epochs are reserved beside the store.
    pub epoch_file: EpochFile,
    /// Added to the wall clock, in milliseconds: tests of a wrong clock set it.
    pub clock_offset_ms: Arc<AtomicI64>,
}

/// Longest name of an ingress, in bytes, and most ingresses that are remembered: any ingress key may report names.
const MAX_INGRESS_NAME_LENGTH: usize = 128;
const MAX_INGRESSES: usize = 10_000;

/// A control plane.
pub struct App {
    /// Its state on disk.
    pub store: Arc<dyn Store>,
    /// The leases of singleton roles.
    pub leases: LeaseService,
    pub(super) options: Options,
    pub(super) rate_limiter: RateLimiter,
    /// The newest revision that clients are told of.
    pub(super) revision: watch::Sender<Revision>,
    /// Whether the process shuts down.
    pub(super) shutdown: watch::Sender<bool>,
    ingresses: Mutex<BTreeMap<String, IngressState>>,
}

/// Why the first operator's key could not be made.
#[derive(Debug, thiserror::Error)]
pub enum FirstKeyError {
    /// There are no random numbers.
    #[error(transparent)]
    Random(#[from] keys::RandomError),
    /// The store failed.
    #[error(transparent)]
    Store(#[from] store::Error),
}

fn wall_ms(options: &Options) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now.saturating_add_signed(options.clock_offset_ms.load(Ordering::Relaxed))
}

impl App {
    /// A control plane on a store. It must be called on a tokio runtime, which runs the rate limiter.
    ///
    /// # Errors
    /// If the store or the epoch file cannot be read.
    pub fn new(store: Arc<dyn Store>, options: Options) -> store::Result<Arc<App>> {
        let now = wall_ms(&options);
        let leases = LeaseService::open(&*store, options.epoch_file.clone(), now)?;
        Ok(Arc::new(App {
            leases,
            store,
            rate_limiter: RateLimiter::start(options.rate_limit),
            options,
            revision: watch::Sender::new(0),
            ingresses: Mutex::default(),
            shutdown: watch::Sender::new(false),
        }))
    }

    /// Unix time in milliseconds.
    pub fn now(&self) -> u64 {
        wall_ms(&self.options)
    }

    /// The store has reached this revision: calls that wait for a change look again.
    pub(crate) fn announce_revision(&self, revision: Revision) {
        self.revision.send_if_modified(|known| {
            let newer = revision > *known;
            *known = revision.max(*known);
            newer
        });
    }

    fn lock_ingresses(&self) -> MutexGuard<'_, BTreeMap<String, IngressState>> {
        self.ingresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Remembers what an ingress has reported, unless there are too many.
    pub(super) fn record_ingress(&self, name: &str, state: IngressState) {
        let mut ingresses = self.lock_ingresses();
        let has_room = ingresses.len() < MAX_INGRESSES || ingresses.contains_key(name);
        if name.len() <= MAX_INGRESS_NAME_LENGTH && has_room {
            ingresses.insert(name.to_string(), state);
        }
    }

    /// What each ingress has reported last, by name.
    pub(super) fn ingresses(&self) -> BTreeMap<String, IngressState> {
        self.lock_ingresses().clone()
    }

    /// Makes the first operator's key if the store has no keys, and returns it. It is shown once, to whoever starts the
    /// control plane.
    ///
    /// # Errors
    /// [`FirstKeyError`].
    pub fn create_first_key(&self) -> Result<Option<String>, FirstKeyError> {
        let now = self.now();
        let first = self.options.pepper.make_key(KeyRole::Operator, "first".into(), now, None)?;
        let stored = first.stored;
        let path = keys::path(&stored.role, &stored.id);
        let body = serde_json::to_value(&stored);
        let body = body.map_err(|source| store::Error::Document { path: path.clone(), source })?;
        let writes = Writes::default().put(path.clone(), body).put(keys::index_path(&stored.id), path.into());
        let decide =
            &mut |read: &dyn ReadView| Ok(read.list("keys/", "", 1)?.is_empty().then(|| writes.clone()));
        let revision = self.store.transact(&Author::control(now), decide)?;
        Ok(revision.map(|_| first.key))
    }
}
