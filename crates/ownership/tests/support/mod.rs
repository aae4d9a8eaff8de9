//! A lease manager and its store in virtual time, and calls to it without delay.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use violetyoke_ownership::{
    Claim, Epoch, LeaseEvent, LeaseHolder, LeaseManager, LeaseRecord, Micros, RenewRequest, RenewResponse,
    RoleKind, ShardId, SingletonRole,
};

pub(crate) const TTL: Micros = 1_000_000;

pub(crate) fn role(shard_count: u32) -> SingletonRole {
    SingletonRole { shard_count, ttl_ms: TTL / 1_000, ..SingletonRole::new("report", RoleKind::Report) }
}

pub(crate) fn holder(name: &str) -> LeaseHolder {
    LeaseHolder::new(name, vec!["report".to_string()])
}

/// A lease manager and its store.
pub(crate) struct ControlPlane {
    pub(crate) manager: LeaseManager,
    pub(crate) store: BTreeMap<ShardId, LeaseRecord>,
    pub(crate) epoch: Epoch,
}

impl ControlPlane {
    pub(crate) fn new(shard_count: u32) -> ControlPlane {
        let mut manager = LeaseManager::new(vec![role(shard_count)], true, 0);
        for shard in 0..shard_count {
            manager.observe(&LeaseRecord::new(ShardId::new("report", shard)), 0);
        }
        ControlPlane { manager, store: BTreeMap::new(), epoch: Epoch(0) }
    }

    /// Replaces the lease manager by one that has just started, on the same store.
    pub(crate) fn restart(&mut self, now: Micros) {
        let shard_count = self.manager.roles().next().unwrap().shard_count;
        self.manager = LeaseManager::new(vec![role(shard_count)], false, now);
        for shard in 0..shard_count {
            let shard = ShardId::new("report", shard);
            let record = self.store.get(&shard).cloned().unwrap_or_else(|| LeaseRecord::new(shard));
            self.manager.observe(&record, now);
        }
    }

    fn put(&mut self, record: LeaseRecord, now: Micros) {
        self.manager.observe(&record, now);
        self.store.insert(record.shard.clone(), record);
    }

    /// Handles a request, as the control plane does in one transaction.
    pub(crate) fn handle(&mut self, request: &RenewRequest, now: Micros) -> RenewResponse {
        let mut response = RenewResponse::default();
        self.manager.record_call(request, now);
        self.manager.complete_response(&mut response, request, now);
        for renewal in &request.renew {
            let old = self.store.get(&renewal.claim.shard);
            match self.manager.renew(old, &request.holder, renewal, 0) {
                Ok((record, grant)) => {
                    response.grants.push(grant);
                    self.put(record, now);
                }
                Err(reason) => response.lost.push((renewal.claim.clone(), reason)),
            }
        }
        for claim in &request.release {
            match self.manager.release(self.store.get(&claim.shard), &request.holder, claim) {
                Ok(record) => self.put(record, now),
                Err(reason) => response.lost.push((claim.clone(), reason)),
            }
        }
        for claim in &request.expired {
            let old = self.store.get(&claim.shard);
            if let Ok(record) = self.manager.release_expired(old, &request.holder, claim) {
                self.put(record, now);
            }
        }
        if !request.is_leaving {
            for shard in self.manager.grantable_to(&request.holder, now) {
                let old = self.store.get(&shard).cloned().unwrap_or_else(|| LeaseRecord::new(shard));
                self.epoch = self.epoch.advanced_by(1);
                if let Some((record, grant)) = self.manager.grant(&old, &request.holder, self.epoch, 0) {
                    response.grants.push(grant);
                    self.put(record, now);
                }
            }
        }
        response.newest_epoch = self.epoch;
        response
    }

    /// Revokes expired leases.
    pub(crate) fn expire_leases(&mut self, now: Micros) {
        self.manager.remove_silent_candidates(now);
        for shard in self.manager.expired_shards(now) {
            if let Some(record) = self.manager.expire(&self.store[&shard], now) {
                self.put(record, now);
            }
        }
    }
}

/// Makes one call without delay, and another one if the holder has received no response recently, because nothing is
/// granted before that.
pub(crate) fn call(control: &mut ControlPlane, holder: &mut LeaseHolder, now: Micros) -> Vec<LeaseEvent> {
    let mut events = Vec::new();
    loop {
        let (call, request) = holder.next_request(now);
        let has_received = request.echo > 0 && now + 1 - request.echo < TTL;
        let response = control.handle(&request, now);
        events.extend(holder.on_response(call, response, now));
        if has_received {
            return events;
        }
    }
}

pub(crate) fn gained(events: &[LeaseEvent]) -> Vec<Claim> {
    let claim = |event: &LeaseEvent| match event {
        LeaseEvent::Gained { claim, .. } => Some(claim.clone()),
        _ => None,
    };
    events.iter().filter_map(claim).collect()
}

/// Makes a call that has to gain exactly one lease, and returns its claim.
pub(crate) fn gain_one(control: &mut ControlPlane, holder: &mut LeaseHolder, now: Micros) -> Claim {
    let gained = gained(&call(control, holder, now));
    assert_eq!(gained.len(), 1, "one lease is to be gained");
    gained[0].clone()
}

pub(crate) fn handed_over(events: &[LeaseEvent]) -> Vec<Claim> {
    let claim = |event: &LeaseEvent| match event {
        LeaseEvent::HandOverRequested(claim) => Some(claim.clone()),
        _ => None,
    };
    events.iter().filter_map(claim).collect()
}
