//! What this process's tenants have used since it was last told of, and the telling of it.

use crate::desk::Control;
use hyper::Method;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// How often it is told.
const EVERY: Duration = Duration::from_millis(500);

/// Tries of each tenant. What serves requests adds to them, and waits for nobody.
#[derive(Clone, Debug, Default)]
pub struct Uses(Arc<Mutex<BTreeMap<String, Arc<AtomicU64>>>>);

impl Uses {
    /// A tenant's count, to be added to.
    pub fn of(&self, tenant: &str) -> Arc<AtomicU64> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.entry(tenant.to_string()).or_default().clone()
    }

    fn take(&self) -> BTreeMap<String, u64> {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = all.iter().map(|(name, count)| (name.clone(), count.swap(0, Ordering::Relaxed)));
        let taken: BTreeMap<String, u64> = taken.filter(|(_, count)| *count > 0).collect();
        // Nobody adds to one that only this map holds.
        all.retain(|_, count| Arc::strong_count(count) > 1);
        taken
    }
}

/// Tells the control plane for as long as the process runs. Each batch has a number, and is told until it is
/// acknowledged; a batch that comes twice counts once. With a process that is killed goes what it has not told.
pub async fn tell(uses: Uses, control: Control, life: String) {
    let (mut number, mut batch) = (0u64, BTreeMap::new());
    loop {
        sleep(EVERY).await;
        if batch.is_empty() {
            batch = uses.take();
            number += 1;
        }
        if batch.is_empty() {
            number -= 1;
            continue;
        }
        let body = json!({ "life": life, "number": number, "tries": batch });
        if control.json(Method::POST, "/v1/use", Some(body)).await.is_ok() {
            batch.clear();
        }
    }
}
