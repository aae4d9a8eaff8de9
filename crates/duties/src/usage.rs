//! Counts the attempts of each tenant at this process, and publishes the counts at the control plane.

use crate::control_client::ControlClient;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// Time between two publications.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);

/// Counters of each tenant's attempts. Threads that serve requests add to them without waiting.
#[derive(Clone, Debug, Default)]
pub struct UsageCounters(Arc<Mutex<BTreeMap<String, Arc<AtomicU64>>>>);

impl UsageCounters {
    /// A tenant's counter, for the caller to add to.
    pub fn of_tenant(&self, tenant: &str) -> Arc<AtomicU64> {
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        counters.entry(tenant.to_string()).or_default().clone()
    }

    /// Resets all counters, and returns those that were not 0.
    fn drain(&self) -> BTreeMap<String, u64> {
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let counts =
            counters.iter().map(|(tenant, counter)| (tenant.clone(), counter.swap(0, Ordering::Relaxed)));
        let counts = counts.filter(|(_, count)| *count > 0).collect();
        // A counter without another reference can no longer be added to.
        counters.retain(|_, counter| Arc::strong_count(counter) > 1);
        counts
    }
}

/// Publishes the counts for as long as the process runs. Each batch has a number and is sent until it is acknowledged;
/// the control plane counts a batch that arrives twice once. Counts that are not published are lost with the process.
pub async fn publish(counters: UsageCounters, control: ControlClient, holder: String) {
    let (mut batch_number, mut batch) = (0u64, BTreeMap::new());
    loop {
        sleep(PUBLISH_INTERVAL).await;
        if batch.is_empty() {
            batch = counters.drain();
            if batch.is_empty() {
                continue;
            }
            batch_number += 1;
        }
        let body = json!({ "life": holder, "number": batch_number, "tries": batch });
        if control.post("/v1/use", &body).await.is_ok() {
            batch.clear();
        }
    }
}
