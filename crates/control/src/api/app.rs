//! What all calls share.

use super::snapshots::IngressState;
use crate::keys::{Pepper, Role};
use crate::limit::{Limiter, Rates};
use crate::roles::{EpochFile, LeaseService};
use crate::store::{Author, Revision, Store, Writes};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// How the control plane runs.
#[derive(Clone)]
pub struct Options {
    /// From a tenant's deletion until it goes: longer than any request of its takes.
    pub drain_ms: u64,
    pub rates: Rates,
    pub pepper: Pepper,
    /// Where epochs are reserved beside the store.
    pub epoch_file: EpochFile,
    /// Added to the wall clock: tests of a clock that is wrong move it.
    pub clock_offset_ms: Arc<AtomicI64>,
}

/// What all calls share.
pub struct App {
    pub store: Arc<dyn Store>,
    pub options: Options,
    pub leases: LeaseService,
    pub(super) limiter: Limiter,
    pub(super) revision: watch::Sender<Revision>,
    ingresses: Mutex<BTreeMap<String, IngressState>>,
    pub(super) ending: watch::Sender<bool>,
}

fn wall_ms(options: &Options) -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    now.saturating_add_signed(options.clock_offset_ms.load(Ordering::Relaxed))
}

impl App {
    /// Must be called on a runtime.
    pub fn new(store: Arc<dyn Store>, options: Options) -> crate::store::Result<Arc<App>> {
        let now = wall_ms(&options);
        let leases = LeaseService::open(&*store, options.epoch_file.clone(), now)?;
        Ok(Arc::new(App {
            leases,
            store,
            limiter: Limiter::start(options.rates),
            options,
            revision: watch::Sender::new(0),
            ingresses: Mutex::default(),
            ending: watch::Sender::new(false),
        }))
    }

    /// Unix time in milliseconds.
    pub fn now(&self) -> u64 {
        wall_ms(&self.options)
    }

    /// The store is at this revision: whoever waits looks again.
    pub(crate) fn announce_revision(&self, revision: Revision) {
        self.revision.send_if_modified(|known| {
            let newer = revision > *known;
            *known = revision.max(*known);
            newer
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, IngressState>> {
        self.ingresses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn seen(&self, name: &str, state: IngressState) {
        // A name is at most as long as others, and there are at most so many: any key of an ingress may call this.
        let mut ingresses = self.lock();
        if name.len() <= 128 && (ingresses.len() < 10_000 || ingresses.contains_key(name)) {
            ingresses.insert(name.to_string(), state);
        }
    }

    pub(super) fn ingresses(&self) -> BTreeMap<String, IngressState> {
        self.lock().clone()
    }

    /// The first operator's key, where a store has none: shown once, to whoever starts the control plane.
    pub fn first_key(&self) -> Result<Option<String>, String> {
        let now = self.now();
        let (key, secret) = self.options.pepper.make(Role::Operator, "first".into(), now, None)?;
        let path = crate::keys::path(&key.role, &key.id);
        let body = serde_json::to_value(&key).map_err(|error| error.to_string())?;
        let writes = Writes::default()
            .put(path.clone(), body)
            .put(crate::keys::index(&key.id), serde_json::Value::from(path));
        let author = Author { who: "control".into(), at: now };
        let decide = &mut |read: &dyn crate::store::Read| {
            Ok(read.list("keys/", "", 1)?.is_empty().then(|| writes.clone()))
        };
        let made = self.store.transact(&author, decide).map_err(|error| error.to_string())?;
        Ok(made.map(|_| secret))
    }
}
