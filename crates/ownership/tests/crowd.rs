//! Many candidates at once: one winner, few calls, few moves.

#![cfg(test)]

mod desk;

use desk::*;
use violetyoke_ownership::holder::Holder;
use violetyoke_ownership::Micros;

const STEP: Micros = 10_000;

/// Holders that call three times a length, each at its own time, and work on all that they have.
struct Crowd {
    desk: Desk,
    holders: Vec<Holder>,
    calls: Vec<u32>,
    now: Micros,
}

impl Crowd {
    fn new(candidates: usize, shards: u32) -> Crowd {
        let holders = (0..candidates).map(|number| Holder::new(format!("i{number}#1"), duties())).collect();
        Crowd { desk: Desk::new(shards), holders, calls: vec![0; candidates], now: 0 }
    }

    fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.desk.pass(self.now);
            for number in 0..self.holders.len() {
                let holder = &mut self.holders[number];
                holder.lapse(self.now);
                let due = self.now / STEP % 33 == number as u64 % 33;
                // What a watch tells: there is something to be had, or something to be told.
                let stirred = !self.desk.grantor.wanted(holder.name(), self.now).is_empty();
                if due || stirred || holder.urgent() {
                    self.calls[number] += 1;
                    let changes = call(&mut self.desk, holder, self.now);
                    for claim in handed_over(&changes) {
                        holder.ended(&claim);
                    }
                }
                let owned: Vec<_> = holder.owned().collect();
                owned.iter().for_each(|claim| holder.moved(claim, 1));
            }
        }
    }

    fn owned(&self) -> usize {
        self.holders.iter().map(|holder| holder.owned().count()).sum()
    }
}

#[test]
fn when_an_owner_dies_one_of_a_hundred_has_its_shard_after_few_calls_of_each() {
    let mut crowd = Crowd::new(100, 1);
    crowd.run(3 * LENGTH);
    let owner = crowd.holders.iter().position(|holder| holder.owned().count() == 1).unwrap();
    assert_eq!(crowd.owned(), 1);
    crowd.holders.remove(owner);
    crowd.calls.remove(owner);
    crowd.calls.fill(0);
    let before = crowd.desk.epoch;
    crowd.run(2 * LENGTH);
    assert_eq!(crowd.owned(), 1, "one has it");
    assert_eq!(crowd.desk.epoch, before + 1, "and nobody else had it between");
    let most = *crowd.calls.iter().max().unwrap();
    assert!(most <= 8, "a holder called {most} times in two lengths");
}

#[test]
fn one_that_leaves_thirty_moves_its_own_shards_and_no_others() {
    let mut crowd = Crowd::new(30, 300);
    crowd.run(4 * LENGTH);
    assert_eq!(crowd.owned(), 300);
    let mut gone = crowd.holders.pop().unwrap();
    crowd.calls.pop();
    let its = gone.owned().count();
    let epochs = crowd.desk.epoch;
    // It ends as it should: it hands over, and says that it leaves.
    let over = gone.leave();
    assert_eq!(over.len(), its);
    handed_over(&over).iter().for_each(|claim| gone.ended(claim));
    let now = crowd.now;
    call(&mut crowd.desk, &mut gone, now);
    crowd.run(LENGTH / 10);
    assert_eq!(crowd.owned(), 300, "without waiting for a length");
    assert_eq!(crowd.desk.epoch - epochs, its as u64, "only what it had moves");
}
