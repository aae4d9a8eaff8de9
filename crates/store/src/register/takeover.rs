//! Who becomes primary, and how a record is installed: promises of an epoch first, then a record that names the holders.

use super::quorum::{drawn, enough, majority};
use super::{Effect, Millis, Register, Role};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{ControlState, HolderState, Member, PeerMessage, Record, Stamp};

/// How long promises, and acceptances, are waited for.
pub(super) const PHASE_TIMEOUT: Millis = 600;
/// After a majority has promised, so long for the others.
const PROMISE_GRACE: Millis = 30;
/// Each backup leaves the first try to those before it.
const BACKUP_DELAY: Millis = 150;
/// A witness leaves it to the backups.
const WITNESS_DELAY: Millis = 300;
/// Stores with the same delay differ by up to this much.
const JITTER: Millis = 60;

/// What a voter had when it promised.
#[derive(Clone, Debug)]
pub(super) struct Promised {
    pub from: Member,
    pub record: Record,
    pub stamp: Stamp,
    /// Where it is newer than the asker's.
    pub state: Option<ControlState>,
}

impl Register {
    pub(super) fn tick(&mut self) {
        self.send_heartbeats();
        self.expire_orders();
        self.publish_contact();
        match &self.role {
            Role::Follower => self.maybe_take_over(),
            Role::Asking { since, .. } => {
                if self.now > since + PHASE_TIMEOUT {
                    self.give_up();
                } else {
                    self.maybe_offer();
                }
            }
            Role::Offering { since, .. } => {
                if self.now > since + PHASE_TIMEOUT {
                    self.give_up();
                }
            }
            Role::Active => {
                self.send_again();
                self.send_snapshots();
                self.maybe_rearrange();
            }
        }
    }

    fn give_up(&mut self) {
        self.step_down();
        self.rest_until = self.now + 100 + drawn(self.me.id, self.highest, 400);
    }

    fn maybe_take_over(&mut self) {
        let record = self.newest_record();
        if record.epoch == 0 {
            if self.durable.fresh && self.seeds.first() == Some(&self.me.ip) && self.disk {
                if let Some(members) = self.all_fresh() {
                    self.durable.record.voters = members;
                    self.ask(None);
                }
            }
            return;
        }
        let record = if self.guards.holders_vote { record } else { &self.durable.record };
        let voter = record.has_voter(self.me.id);
        let place = record.holders.iter().skip(1).position(|id| *id == self.me.id);
        let others = |id| id == self.me.id || self.reachable(id);
        let heard = enough(record, others);
        if !voter || self.leaving || self.led() {
            self.unled = None;
            return;
        }
        let unled = *self.unled.get_or_insert(self.now);
        let delay = place.map_or(WITNESS_DELAY, |place| place as Millis * BACKUP_DELAY);
        let wait = delay + drawn(self.me.id, self.highest, JITTER);
        if self.disk && heard && self.now >= unled + wait && self.now >= self.rest_until {
            self.ask(None);
        }
    }

    /// Asks all voters for a promise; a primary may have another list of voters in mind.
    pub(super) fn ask(&mut self, voters: Option<Vec<Member>>) {
        let epoch = self.highest.max(self.durable.promised) + 1;
        self.highest = epoch;
        self.durable.promised = epoch;
        self.keep();
        let has = self.durable.held.stamp;
        let (from, record) = (self.me.clone(), self.durable.record.clone());
        let own = Promised { from, record, stamp: has, state: None };
        let promises = BTreeMap::from([(self.me.id, own)]);
        self.role = Role::Asking { epoch, since: self.now, voters, promises };
        self.out.push(Effect::Publish);
        let records = [&self.durable.record, self.newest_record()];
        let mut asked: BTreeSet<Member> = records.into_iter().flat_map(named).cloned().collect();
        asked.remove(&self.me);
        for voter in asked {
            self.send(voter.ip, PeerMessage::Prepare { epoch, has });
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

    pub(super) fn promised(&mut self, epoch: u64, promised: Promised) {
        if let Role::Asking { epoch: mine, promises, .. } = &mut self.role {
            if *mine == epoch {
                promises.insert(promised.from.id, promised);
                self.maybe_offer();
            }
        }
    }

    /// With a majority's promises: the newest record says whose majority it must be, the newest state is the one.
    fn maybe_offer(&mut self) {
        let Role::Asking { epoch, since, voters, promises } = &self.role else { return };
        let epoch = *epoch;
        let records = promises.values().map(|promised| &promised.record);
        let newest =
            records.max_by_key(|record| (record.epoch, std::cmp::Reverse(record.prior_voters.len())));
        let Some(base) = newest else { return };
        let base = if base.epoch == 0 { self.durable.record.clone() } else { base.clone() };
        let has = |id| promises.contains_key(&id);
        let all = base.voters.iter().all(|voter| has(voter.id));
        if !enough(&base, has) || !(all || self.now >= since + PROMISE_GRACE) {
            return;
        }
        // Holders have to be voters, or a majority might have none among them. Known once a majority has promised: before
        // that, the record here may be older than the one that made this store a voter.
        if !base.has_voter(self.me.id) && self.guards.holders_vote {
            return self.give_up();
        }
        // Voters change by their installed record's primary alone.
        let own = base.epoch == self.durable.record.epoch && base.prior_voters.is_empty();
        let voters = voters.clone().filter(|_| own).unwrap_or_else(|| base.voters.clone());
        let Some(holders) = self.choose_holders(&base, &voters, has) else { return };
        let states = promises.values().filter_map(|promised| promised.state.as_ref());
        let mut state =
            states.chain([&self.durable.held]).max_by_key(|state| state.stamp).cloned().unwrap_or_default();
        let from = std::mem::replace(&mut state.stamp, Stamp { epoch, seq: 0 });
        let have = promises.values().filter(|promised| promised.stamp == from);
        let have: BTreeSet<u64> = have.map(|promised| promised.from.id).collect();
        let mut prior_voters = vec![base.voters.clone()];
        prior_voters.extend(base.prior_voters.iter().cloned());
        prior_voters.retain(|list| *list != voters);
        prior_voters.dedup();
        self.keep_answers_if_newest(from);
        self.offer(Record { epoch, voters, holders, prior_voters }, state, from, &have);
    }

    /// This store first, then those that stay, in other zones where there are any: more than half of the voters.
    /// A voter of before has to have promised; one that is new gets the state with the record.
    fn choose_holders(
        &self,
        base: &Record,
        voters: &[Member],
        has: impl Fn(u64) -> bool,
    ) -> Option<Vec<u64>> {
        let able = |voter: &&Member| {
            let ready = has(voter.id) || !base.has_voter(voter.id);
            voter.id != self.me.id && ready && self.reachable(voter.id)
        };
        let mut others: Vec<&Member> = voters.iter().filter(able).collect();
        others.sort_by_key(|voter| (!self.eligible(voter.id), voter.zone == self.me.zone));
        let copies = voters.len() / 2 + 1;
        let holders: Vec<u64> =
            [self.me.id].into_iter().chain(others.iter().map(|it| it.id)).take(copies).collect();
        (holders.len() == copies).then_some(holders)
    }

    /// Sends the record to all that it names; a holder that has promised with that very state (`from`) gets its new
    /// stamp alone.
    fn offer(&mut self, record: Record, state: ControlState, from: Stamp, have: &BTreeSet<u64>) {
        self.durable.record = record.clone();
        self.durable.fresh = false;
        self.durable.held = state.clone();
        self.keep();
        let number = self.requested;
        let state_for = |id: u64| match (record.holders.contains(&id), have.contains(&id)) {
            (false, _) => None,
            (true, true) => Some(HolderState::Promised { from, to: state.stamp }),
            (true, false) => Some(HolderState::Whole(state.clone())),
        };
        let to: BTreeSet<&Member> = named(&record).filter(|it| it.id != self.me.id).collect();
        for voter in to {
            let state = state_for(voter.id);
            self.send(voter.ip, PeerMessage::Accept { record: record.clone(), state });
        }
        self.role = Role::Offering { record, number, since: self.now, accepted: BTreeSet::new() };
    }

    pub(super) fn accepted(&mut self, id: u64, epoch: u64) {
        let Role::Offering { record, accepted, .. } = &mut self.role else { return };
        if record.epoch != epoch {
            return;
        }
        accepted.insert(id);
        let has = |id| accepted.contains(&id);
        let agreed =
            if self.guards.prior_majorities { enough(record, has) } else { majority(&record.voters, has) };
        if !record.holders.iter().all(|id| has(*id)) || !agreed {
            return;
        }
        self.role = Role::Active;
        self.settled_at = self.now;
        self.unled = None;
        self.committed = self.durable.held.stamp;
        self.snapshots.clear();
        self.installed();
        // All learn from the heartbeats, as often as they need it, that the record is installed.
        self.greet();
        self.answer_under_next_epoch();
        // Told once this store's own disk has it too.
        self.gated.push_back((self.requested, Effect::Publish));
        self.next_orders();
    }
}

/// All that a record names as voters, of now and of before.
fn named(record: &Record) -> impl Iterator<Item = &Member> {
    record.prior_voters.iter().flatten().chain(&record.voters)
}
