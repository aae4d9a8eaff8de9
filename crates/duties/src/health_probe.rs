//! Health probes of nodes on behalf of all ingresses.
//!
//! Each shard's owner probes its nodes in turn, at a bounded rate, and publishes its findings at the control plane. A
//! probe carries the shard and epoch of the lease, so that a node can identify the newest owner.

use crate::control_client::{ControlClient, ControlError};
use crate::http_client::call;
use crate::lease::LeaseHandle;
use bytes::Bytes;
use hyper::Request;
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};
use violetyoke_ownership::SingletonRole;

/// Time limit for a node's response, and for publishing the findings.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Minimum time between two probes of one shard.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Number of rounds over all nodes after which unchanged findings are published again.
const ROUNDS_PER_PUBLICATION: u64 = 10;

/// Whether each node is healthy, by its address.
type Findings = BTreeMap<String, bool>;

/// Probes until the lease is to be handed over, or is no longer valid.
pub(crate) async fn run(control: ControlClient, role: SingletonRole, lease: LeaseHandle) {
    let shard = lease.claim.shard.index as usize;
    let nodes: Vec<SocketAddr> =
        role.nodes.iter().skip(shard).step_by(role.shard_count as usize).copied().collect();
    let node_count = nodes.len().max(1);
    // Probes of a shard's nodes are spread evenly over the time between two probes of one node.
    let probe_interval = Duration::from_millis(role.probe_interval_ms) / node_count as u32;
    let mut ticks = interval(probe_interval.max(MIN_PROBE_INTERVAL));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut findings, mut published) = (Findings::new(), Findings::new());
    let mut probes: u64 = 0;
    while !lease.is_ending() {
        ticks.tick().await;
        if let Some(node) = nodes.get(probes as usize % node_count) {
            if lease.check("probe").await.is_err() {
                return;
            }
            findings.insert(node.to_string(), is_healthy(*node, &lease).await);
        }
        lease.record_progress(1);
        probes += 1;
        if findings != published || probes.is_multiple_of(ROUNDS_PER_PUBLICATION * node_count as u64) {
            match publish(&control, &lease, &findings).await {
                Ok(()) => published = findings.clone(),
                Err(ControlError::Fenced { newest }) => return lease.on_fenced(newest),
                Err(error) => tracing::debug!(%error, "findings are published later"),
            }
        }
    }
}

/// Whether a node responds with success in time.
async fn is_healthy(node: SocketAddr, lease: &LeaseHandle) -> bool {
    let request = Request::get("/-/ready")
        .header("vy-duty", lease.claim.shard.to_string())
        .header("vy-epoch", lease.claim.epoch.0)
        .header("vy-holder", lease.holder_name())
        .body(Bytes::new());
    let Ok(request) = request else { return false };
    call(node, request, PROBE_TIMEOUT).await.is_ok_and(|response| response.status.is_success())
}

async fn publish(
    control: &ControlClient,
    lease: &LeaseHandle,
    findings: &Findings,
) -> Result<(), ControlError> {
    let shard = &lease.claim.shard;
    let body = json!({ "holder": lease.holder_name(), "epoch": lease.claim.epoch, "nodes": findings });
    let path = format!("/v1/findings/{}/{}", shard.role, shard.index);
    control.put(&path, &body, PROBE_TIMEOUT).await.map(drop)
}
