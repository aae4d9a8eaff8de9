//! `measure owners`: what leases cost at 10, 100 and 300 holders and 1,000 shards, in virtual time, by the shipped
//! state machines: calls a second, moves when one holder leaves, time until all is owned again when it is killed.

use crate::figures::Figures;
use crate::process::Result;
use std::collections::BTreeMap;
use violetyoke_ownership::{
    Epoch, LeaseEvent, LeaseHolder, LeaseManager, LeaseRecord, Micros, RenewRequest, RenewResponse, RoleKind,
    ShardId, SingletonRole,
};

const SHARDS: u32 = 1_000;
const TTL: Micros = 10_000_000;
const STEP: Micros = 20_000;
/// How often the lease manager looks for expired leases.
const EXPIRY_INTERVAL: Micros = 100_000;

struct World {
    now: Micros,
    manager: LeaseManager,
    store: BTreeMap<ShardId, LeaseRecord>,
    epoch: Epoch,
    holders: Vec<LeaseHolder>,
    /// When each calls next.
    next: Vec<Micros>,
    drawn: u64,
    calls: u64,
    grants: u64,
    writes: u64,
}

impl World {
    fn new(holders: usize) -> World {
        let role = SingletonRole {
            shard_count: SHARDS,
            ttl_ms: TTL / 1_000,
            ..SingletonRole::new("work", RoleKind::Report)
        };
        let mut manager = LeaseManager::new(vec![role], true, 0);
        (0..SHARDS).for_each(|shard| manager.observe(&LeaseRecord::new(ShardId::new("work", shard)), 0));
        World {
            now: 0,
            manager,
            store: BTreeMap::new(),
            epoch: Epoch(0),
            holders: (0..holders)
                .map(|number| LeaseHolder::new(format!("i{number}#1"), vec!["work".into()]))
                .collect(),
            next: (0..holders as u64).map(|number| number * 7_919 % 3_000_000).collect(),
            drawn: 1,
            calls: 0,
            grants: 0,
            writes: 0,
        }
    }

    fn put(&mut self, record: LeaseRecord) {
        self.writes += 1;
        self.manager.observe(&record, self.now);
        self.store.insert(record.shard.clone(), record);
    }

    fn handle(&mut self, request: &RenewRequest) -> RenewResponse {
        let mut response = RenewResponse::default();
        self.manager.record_call(request, self.now);
        self.manager.complete_response(&mut response, request, self.now);
        for renewal in &request.renew {
            let old = self.store.get(&renewal.claim.shard);
            match self.manager.renew(old, &request.holder, renewal, 0) {
                Ok((record, grant)) => {
                    response.grants.push(grant);
                    self.put(record);
                }
                Err(reason) => response.lost.push((renewal.claim.clone(), reason)),
            }
        }
        for claim in &request.release {
            if let Ok(record) = self.manager.release(self.store.get(&claim.shard), &request.holder, claim) {
                self.put(record);
            }
        }
        let grantable = if request.is_leaving {
            Vec::new()
        } else {
            self.manager.grantable_to(&request.holder, self.now)
        };
        for shard in grantable {
            let old = self.store.get(&shard).cloned().unwrap_or_else(|| LeaseRecord::new(shard));
            self.epoch = self.epoch.advanced_by(1);
            if let Some((record, grant)) = self.manager.grant(&old, &request.holder, self.epoch, 0) {
                self.grants += 1;
                response.grants.push(grant);
                self.put(record);
            }
        }
        response
    }

    /// A pause that differs from call to call, a half-splitmix of a counter.
    fn draw(&mut self) -> u64 {
        self.drawn =
            self.drawn.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.drawn >> 33
    }

    fn call(&mut self, number: usize) {
        self.calls += 1;
        let (call, request) = self.holders[number].next_request(self.now);
        let response = self.handle(&request);
        let pace = response.next_call_ms * 1_000;
        for event in self.holders[number].on_response(call, response, self.now) {
            if let LeaseEvent::HandOverRequested(claim) = event {
                self.holders[number].finish(&claim);
            }
        }
        let claims: Vec<_> = self.holders[number].claims().collect();
        claims.iter().for_each(|claim| self.holders[number].record_progress(claim, 1));
        self.next[number] = self.now + pace * 3 / 4 + self.draw() % (pace / 4);
    }

    /// Runs so long, or until all shards are owned; how long it was.
    fn run(&mut self, time: Micros, until_owned: bool) -> Micros {
        let began = self.now;
        while self.now < began + time {
            self.now += STEP;
            if self.now.is_multiple_of(EXPIRY_INTERVAL) {
                self.manager.remove_silent_candidates(self.now);
                for shard in self.manager.expired_shards(self.now) {
                    let expired = self.store.get(&shard).and_then(|old| self.manager.expire(old, self.now));
                    if let Some(record) = expired {
                        self.put(record);
                    }
                }
            }
            let free = self.manager.has_assignable_shard();
            for number in 0..self.holders.len() {
                drop(self.holders[number].expire_leases(self.now)); // Nothing runs that would be stopped.
                let stirred =
                    free && !self.manager.grantable_to(self.holders[number].name(), self.now).is_empty();
                if self.next[number] <= self.now || stirred || self.holders[number].has_urgent_request() {
                    self.call(number);
                }
            }
            if until_owned
                && self.holders.iter().map(|holder| holder.claims().count()).sum::<usize>() == SHARDS as usize
            {
                break;
            }
        }
        self.now - began
    }
}

pub fn run() -> Result<Figures> {
    let mut figures = Figures::default();
    for holders in [10, 100, 300] {
        let mut world = World::new(holders);
        let first = world.run(10 * TTL, true);
        world.run(2 * TTL, false);
        (world.calls, world.writes) = (0, 0);
        let time = world.run(3 * TTL, false) as f64 / 1e6;
        figures.tell(&format!("holders_{holders}_all_owned_after_s"), format!("{:.2}", first as f64 / 1e6));
        figures
            .tell(&format!("holders_{holders}_calls_a_second"), format!("{:.1}", world.calls as f64 / time));
        figures.tell(
            &format!("holders_{holders}_records_written_a_second"),
            format!("{:.1}", world.writes as f64 / time),
        );
        let most = world.holders.iter().map(|holder| holder.claims().count()).max().unwrap_or(0);
        figures.tell(&format!("holders_{holders}_most_shards_of_one"), most);
        // One is killed: nobody hears from it again.
        world.grants = 0;
        let gone = world.holders.swap_remove(0);
        world.next.swap_remove(0);
        let its = gone.claims().count();
        let again = world.run(5 * TTL, true) as f64 / 1e6;
        figures.tell(&format!("holders_{holders}_shards_of_the_killed"), its);
        figures.tell(&format!("holders_{holders}_all_owned_again_after_s"), format!("{again:.2}"));
        figures.at_most(
            &format!("holders_{holders}_moves_of_its_shards"),
            world.grants as f64 / its.max(1) as f64,
            1.0,
        );
        figures.at_most(&format!("holders_{holders}_again_of_length"), again / (TTL as f64 / 1e6), 1.1);
    }
    Ok(figures)
}
