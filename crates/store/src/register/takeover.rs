//! Who takes over, and how an epoch comes to stand: promises first, then a record that names the holders.

use super::peers::GONE;
use super::quorum::{drawn, enough, majority};
use super::{Effect, Millis, Register, Role};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{ControlState, Member, Outcome, PeerMessage, Record, Stamp};

/// How long promises, and acceptances, are waited for.
const PATIENCE: Millis = 600;
/// After a majority has promised, so long for the others.
const GATHER: Millis = 30;
/// A witness leaves the first try to the backups.
const WITNESS_LATER: Millis = 300;
/// An epoch stands for so long before places in it are improved.
const SETTLED: Millis = 1_500;

impl Register {
    pub(super) fn tick(&mut self) {
        self.send_heartbeats();
        self.expire_orders();
        match &self.role {
            Role::Follower => self.maybe_take_over(),
            Role::Asking { since, .. } => {
                if self.now > since + PATIENCE {
                    self.give_up();
                } else {
                    self.maybe_offer();
                }
            }
            Role::Offering { since, .. } => {
                if self.now > since + PATIENCE {
                    self.give_up();
                }
            }
            Role::Active => {
                self.send_again();
                self.maybe_rearrange();
            }
        }
    }

    fn give_up(&mut self) {
        self.step_down();
        self.rest_until = self.now + 100 + drawn(self.me.id, self.highest, 400);
    }

    fn maybe_take_over(&mut self) {
        let record = &self.durable.record;
        if record.epoch == 0 {
            if self.durable.fresh && self.seeds.first() == Some(&self.me.ip) && self.disk {
                if let Some(members) = self.all_fresh() {
                    self.durable.record.voters = members;
                    self.ask();
                }
            }
            return;
        }
        if !self.voter(self.me.id) || self.led() {
            self.unled = None;
            return;
        }
        let holder = record.holders.contains(&self.me.id);
        let unled = *self.unled.get_or_insert(self.now);
        let wait = if holder { 0 } else { WITNESS_LATER } + drawn(self.me.id, self.highest, 120);
        let others = |id| id == self.me.id || self.healthy(id);
        let heard = enough(record, others);
        if self.disk && heard && self.now >= unled + wait && self.now >= self.rest_until {
            self.ask();
        }
    }

    /// The primary looks for a better arrangement: backups that are well, in other zones, and voters that are there.
    fn maybe_rearrange(&mut self) {
        if !self.disk || self.now < self.rest_until {
            return;
        }
        let ill = self.backups().iter().any(|(id, _)| !self.healthy(*id));
        let healthy = |id| id == self.me.id || self.healthy(id);
        let better = self.now > self.settled_at + SETTLED && self.pending.is_none() && {
            let voters = self.next_voters(&self.durable.record.voters);
            voters != self.durable.record.voters || self.zones_improve()
        };
        if (ill || better) && majority(&self.durable.record.voters, healthy) {
            self.rest_until = self.now + 500;
            self.ask();
        }
    }

    /// All holders stand in one zone, though a well voter stands in another.
    fn zones_improve(&self) -> bool {
        let record = &self.durable.record;
        let other = |member: &&Member| member.zone != self.me.zone && self.healthy(member.id);
        let mut elsewhere = record.voters.iter().filter(other).peekable();
        elsewhere.peek().is_some()
            && record
                .voters
                .iter()
                .filter(|voter| record.holders.contains(&voter.id))
                .all(|it| it.zone == self.me.zone)
    }

    /// Voters as they should be: a machine's new disk in the place of its old one, places of those long gone given to
    /// others, and no more than twice the losses to be borne and one.
    fn next_voters(&self, voters: &[Member]) -> Vec<Member> {
        let mut next = voters.to_vec();
        let most = (2 * self.tolerance as usize + 1).max(self.seeds.len());
        for joiner in self.joiners() {
            if next.iter().any(|voter| voter.id == joiner.id) {
                continue;
            }
            let same = next.iter().position(|voter| voter.ip == joiner.ip);
            let gone = || next.iter().position(|it| it.id != self.me.id && self.silent_for(it.ip) > GONE);
            match same.or_else(gone) {
                Some(place) => next[place] = joiner,
                None if next.len() < most => next.push(joiner),
                None => {}
            }
        }
        // An even number bears no more losses than the odd one below it.
        if next.len() > voters.len() && next.len().is_multiple_of(2) {
            next.truncate(next.len() - 1);
        }
        next
    }

    /// Asks all voters for a promise.
    fn ask(&mut self) {
        let epoch = self.highest.max(self.durable.promised) + 1;
        self.highest = epoch;
        self.durable.promised = epoch;
        self.keep();
        let mine = (self.me.clone(), self.durable.record.clone(), self.durable.held.clone());
        let promises = BTreeMap::from([(self.me.id, mine)]);
        self.role = Role::Asking { epoch, since: self.now, promises };
        self.out.push(Effect::Publish);
        let record = &self.durable.record;
        let mut voters: BTreeSet<Member> =
            record.bases.iter().flatten().chain(&record.voters).cloned().collect();
        voters.remove(&self.me);
        for voter in voters {
            self.send(voter.ip, PeerMessage::Prepare { epoch });
        }
        self.maybe_offer();
    }

    pub(super) fn refused(&mut self, epoch: u64, promised: u64) {
        self.highest = self.highest.max(promised);
        let of_mine = match &self.role {
            Role::Asking { epoch: mine, .. } => *mine == epoch,
            Role::Offering { record, .. } => record.epoch == epoch,
            Role::Active => self.durable.record.epoch == epoch,
            Role::Follower => false,
        };
        if of_mine && promised > epoch {
            self.give_up();
        }
    }

    pub(super) fn promised(&mut self, from: Member, epoch: u64, record: Record, held: ControlState) {
        if let Role::Asking { epoch: mine, promises, .. } = &mut self.role {
            if *mine == epoch {
                promises.insert(from.id, (from, record, held));
                self.maybe_offer();
            }
        }
    }

    /// With a majority's promises: the newest record says whose majority it must be, the newest state is the one.
    fn maybe_offer(&mut self) {
        let Role::Asking { epoch, since, promises } = &self.role else { return };
        let (epoch, since) = (*epoch, *since);
        let records = promises.values().map(|(_, record, _)| record);
        let newest = records.max_by_key(|record| (record.epoch, std::cmp::Reverse(record.bases.len())));
        let Some(base) = newest.cloned() else { return };
        let base = if base.epoch == 0 { self.durable.record.clone() } else { base };
        let has = |id| promises.contains_key(&id);
        let all = base.voters.iter().all(|voter| has(voter.id));
        if !enough(&base, has) || !(all || self.now >= since + GATHER) {
            return;
        }
        let mut held = promises
            .values()
            .map(|(.., held)| held)
            .max_by_key(|held| held.stamp)
            .cloned()
            .unwrap_or_default();
        held.stamp = Stamp { epoch, seq: 0 };
        let voters = self.next_voters(&base.voters);
        let able = |voter: &&Member| has(voter.id) && voter.id != self.me.id && self.healthy(voter.id);
        let mut others: Vec<&Member> = voters.iter().filter(able).collect();
        others.sort_by_key(|voter| voter.zone == self.me.zone);
        let copies = voters.len() / 2 + 1;
        let holders: Vec<u64> =
            [self.me.id].into_iter().chain(others.iter().map(|it| it.id)).take(copies).collect();
        if holders.len() < copies {
            return;
        }
        let mut bases = vec![base.voters.clone()];
        bases.extend(base.bases.iter().cloned());
        bases.retain(|list| *list != voters);
        bases.dedup();
        let record = Record { epoch, voters: voters.clone(), holders, bases };
        self.durable.record = record.clone();
        self.durable.fresh = false;
        self.durable.held = held.clone();
        self.keep();
        let number = self.asked;
        self.role =
            Role::Offering { record: record.clone(), number, since: self.now, accepted: BTreeSet::new() };
        let all: BTreeSet<&Member> = record.bases.iter().flatten().chain(&voters).collect();
        let to: Vec<Member> = all.into_iter().filter(|it| it.id != self.me.id).cloned().collect();
        for voter in to {
            let held = record.holders.contains(&voter.id).then(|| held.clone());
            self.send(voter.ip, PeerMessage::Accept { record: record.clone(), held });
        }
    }

    pub(super) fn accepted(&mut self, id: u64, epoch: u64) {
        let Role::Offering { record, accepted, .. } = &mut self.role else { return };
        if record.epoch != epoch {
            return;
        }
        accepted.insert(id);
        let has = |id| accepted.contains(&id);
        if !record.holders.iter().all(|id| has(*id)) || !enough(record, has) {
            return;
        }
        self.role = Role::Active;
        self.settled_at = self.now;
        self.unled = None;
        self.committed = self.durable.held.stamp;
        self.installed(epoch);
        for (id, ip) in self.others() {
            if self.healthy(id) {
                self.send(ip, PeerMessage::Installed { epoch });
            }
        }
        // What was on its way under the epoch before is part of what all holders have now.
        let pending = self.pending.take().map(|pending| (pending.client, Outcome::Acknowledged));
        let confirmed =
            std::mem::take(&mut self.confirming).into_values().map(|one| (one.client, one.outcome));
        for (client, outcome) in pending.into_iter().chain(confirmed) {
            self.answer(client, outcome);
        }
        // Told once this store's own disk has it too.
        self.gated.push_back((self.asked, Effect::Publish));
        self.next_order();
    }
}
