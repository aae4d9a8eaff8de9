//! Probes of nodes on behalf of all: each shard's owner asks its nodes in turn, within a budget, and tells the
//! control plane what it found. A probe carries the lease's name and epoch, so that a node that can tell knows the
//! newest owner.

use crate::call::call;
use crate::desk::{Control, Refused};
use crate::lease::Lease;
use bytes::Bytes;
use hyper::{Method, Request};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{interval, MissedTickBehavior};
use violetyoke_ownership::duty::Duty;

/// How long a node's answer is waited for.
const PATIENCE: Duration = Duration::from_millis(500);
/// Rounds between two tellings where nothing has changed.
const SELDOM: u64 = 10;

/// Until the lease is to be handed over, or is not good any more.
pub async fn run(control: Control, duty: Duty, lease: Lease) {
    let shard = lease.claim.name.shard as usize;
    let nodes: Vec<SocketAddr> =
        duty.nodes.iter().skip(shard).step_by(duty.shards as usize).copied().collect();
    // The budget: the nodes of a shard are spread over the time between two probes of one.
    let every = Duration::from_millis(duty.every_ms) / nodes.len().max(1) as u32;
    let mut turns = interval(every.max(Duration::from_millis(10)));
    turns.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut found, mut told) = (BTreeMap::new(), BTreeMap::new());
    let mut turn: u64 = 0;
    while !lease.is_ending() {
        turns.tick().await;
        if let Some(node) = nodes.get(turn as usize % nodes.len().max(1)) {
            if lease.check("probe").await.is_err() {
                return;
            }
            found.insert(node.to_string(), probe(*node, &lease).await);
        }
        lease.moved(1);
        turn += 1;
        if found != told || turn.is_multiple_of(SELDOM * nodes.len().max(1) as u64) {
            match tell(&control, &lease, &found).await {
                Ok(()) => told = found.clone(),
                Err(Refused::Fenced { newest }) => return lease.fenced(newest),
                Err(Refused::Failed(error)) => tracing::debug!(%error, "findings are told later"),
            }
        }
    }
}

/// Whether a node answers well.
async fn probe(node: SocketAddr, lease: &Lease) -> bool {
    let request = Request::get("/-/ready")
        .header("vy-duty", lease.claim.name.to_string())
        .header("vy-epoch", lease.claim.epoch)
        .header("vy-holder", lease.holder())
        .body(Bytes::new());
    let Ok(request) = request else { return false };
    call(node, request, PATIENCE).await.is_ok_and(|answered| answered.status.is_success())
}

async fn tell(control: &Control, lease: &Lease, found: &BTreeMap<String, bool>) -> Result<(), Refused> {
    let name = &lease.claim.name;
    let body = json!({ "holder": lease.holder(), "epoch": lease.claim.epoch, "nodes": found });
    let path = format!("/v1/findings/{}/{}", name.duty, name.shard);
    control.json_within(Method::PUT, &path, Some(body), PATIENCE).await.map(drop)
}
