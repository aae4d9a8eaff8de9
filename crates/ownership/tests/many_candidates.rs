//! Many candidates at once: one gets the lease, with few calls and few moves.

#![cfg(test)]

mod support;

use support::{call, handed_over, holder, ControlPlane, TTL};
use violetyoke_ownership::{LeaseHolder, Micros};

const STEP: Micros = 10_000;

/// Holders that call three times in a lease duration, each at its own time, and make progress on all their leases.
struct Fleet {
    control: ControlPlane,
    holders: Vec<LeaseHolder>,
    calls: Vec<u32>,
    now: Micros,
}

impl Fleet {
    fn new(candidates: usize, shard_count: u32) -> Fleet {
        let holders = (0..candidates).map(|number| holder(&format!("i{number}#1"))).collect();
        Fleet { control: ControlPlane::new(shard_count), holders, calls: vec![0; candidates], now: 0 }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.control.expire_leases(self.now);
            for number in 0..self.holders.len() {
                self.step(number);
            }
        }
    }

    fn step(&mut self, number: usize) {
        let holder = &mut self.holders[number];
        drop(holder.expire_leases(self.now)); // The work of a simulated holder needs no stopping.
        let is_due = self.now / STEP % 33 == number as u64 % 33;
        // The control plane reports this to a watch.
        let has_grantable = !self.control.manager.grantable_to(holder.name(), self.now).is_empty();
        if is_due || has_grantable || holder.has_urgent_request() {
            self.calls[number] += 1;
            let events = call(&mut self.control, holder, self.now);
            for claim in handed_over(&events) {
                holder.finish(&claim);
            }
        }
        let claims: Vec<_> = holder.claims().collect();
        claims.iter().for_each(|claim| holder.record_progress(claim, 1));
    }

    fn held_leases(&self) -> usize {
        self.holders.iter().map(|holder| holder.claims().count()).sum()
    }
}

#[test]
fn one_of_a_hundred_candidates_replaces_a_dead_owner_with_few_calls_of_each() {
    let mut fleet = Fleet::new(100, 1);
    fleet.run(3 * TTL);
    let owner = fleet.holders.iter().position(|holder| holder.claims().count() == 1).unwrap();
    assert_eq!(fleet.held_leases(), 1);
    fleet.holders.remove(owner);
    fleet.calls.remove(owner);
    fleet.calls.fill(0);
    let epoch_before = fleet.control.epoch;

    fleet.run(2 * TTL);

    assert_eq!(fleet.held_leases(), 1, "one process has the lease");
    assert_eq!(fleet.control.epoch, epoch_before.advanced_by(1), "and no other process had it in between");
    let most = *fleet.calls.iter().max().unwrap();
    assert!(most <= 8, "a holder called {most} times in two lease durations");
}

#[test]
fn shutdown_of_one_of_thirty_moves_its_own_shards_and_no_others() {
    let mut fleet = Fleet::new(30, 300);
    fleet.run(4 * TTL);
    assert_eq!(fleet.held_leases(), 300);
    let mut leaving = fleet.holders.pop().unwrap();
    fleet.calls.pop();
    let held = leaving.claims().count();
    let epoch_before = fleet.control.epoch;

    let events = leaving.start_shutdown();
    assert_eq!(events.len(), held);
    handed_over(&events).iter().for_each(|claim| leaving.finish(claim));
    let now = fleet.now;
    call(&mut fleet.control, &mut leaving, now);
    fleet.run(TTL / 10);

    assert_eq!(fleet.held_leases(), 300, "without waiting for a lease to expire");
    assert_eq!(fleet.control.epoch.0 - epoch_before.0, held as u64, "only its own shards move");
}
