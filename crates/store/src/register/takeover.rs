//! Who becomes primary, and how a replica set is installed: promises of an epoch first, then a replica set that names the data_replicas.

use super::quorum::{drawn, enough, majority};
use super::{Effect, Millis, Register, Role};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{
    ControlState, InitialState, PeerMessage, ReplicaConfig, Revision, StoreNode,
};

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
    pub from: StoreNode,
    pub config: ReplicaConfig,
    pub revision: Revision,
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
        let config = self.newest_record();
        if config.epoch == 0 {
            if self.durable.fresh && self.seeds.first() == Some(&self.me.ip) && self.disk {
                if let Some(members) = self.all_fresh() {
                    self.durable.config.voters = members;
                    self.ask(None);
                }
            }
            return;
        }
        let config = if self.guards.holders_vote { config } else { &self.durable.config };
        let voter = config.has_voter(self.me.id);
        let place = config.data_replicas.iter().skip(1).position(|id| *id == self.me.id);
        let others = |id| id == self.me.id || self.reachable(id);
        let heard = enough(config, others);
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
    pub(super) fn ask(&mut self, voters: Option<Vec<StoreNode>>) {
        let epoch = self.highest.max(self.durable.promised) + 1;
        self.highest = epoch;
        self.durable.promised = epoch;
        self.keep();
        let has = self.durable.held.revision;
        let (from, config) = (self.me.clone(), self.durable.config.clone());
        let own = Promised { from, config, revision: has, state: None };
        let promises = BTreeMap::from([(self.me.id, own)]);
        self.role = Role::Asking { epoch, since: self.now, voters, promises };
        self.out.push(Effect::Publish);
        let configs = [&self.durable.config, self.newest_record()];
        let mut asked: BTreeSet<StoreNode> = configs.into_iter().flat_map(named).cloned().collect();
        asked.remove(&self.me);
        for voter in asked {
            self.send(voter.ip, PeerMessage::Prepare { epoch, newest: has });
        }
        self.maybe_offer();
    }

    pub(super) fn refused(&mut self, epoch: u64, promised: u64) {
        self.highest = self.highest.max(promised);
        let of_mine = match &self.role {
            Role::Asking { epoch: mine, .. } => *mine == epoch,
            Role::Offering { config, .. } => config.epoch == epoch,
            Role::Active => self.durable.config.epoch == epoch,
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

    /// With a majority's promises: the newest replica set says whose majority it must be, the newest state is the one.
    fn maybe_offer(&mut self) {
        let Role::Asking { epoch, since, voters, promises } = &self.role else { return };
        let epoch = *epoch;
        let configs = promises.values().map(|promised| &promised.config);
        let newest =
            configs.max_by_key(|config| (config.epoch, std::cmp::Reverse(config.previous_voters.len())));
        let Some(base) = newest else { return };
        let base = if base.epoch == 0 { self.durable.config.clone() } else { base.clone() };
        let has = |id| promises.contains_key(&id);
        let all = base.voters.iter().all(|voter| has(voter.id));
        if !enough(&base, has) || !(all || self.now >= since + PROMISE_GRACE) {
            return;
        }
        // Holders have to be voters, or a majority might have none among them. Known once a majority has promised: before
        // that, the replica set here may be older than the one that made this store a voter.
        if !base.has_voter(self.me.id) && self.guards.holders_vote {
            return self.give_up();
        }
        // Voters change by their installed replica set's primary alone.
        let own = base.epoch == self.durable.config.epoch && base.previous_voters.is_empty();
        let voters = voters.clone().filter(|_| own).unwrap_or_else(|| base.voters.clone());
        let Some(data_replicas) = self.choose_holders(&base, &voters, has) else { return };
        let states = promises.values().filter_map(|promised| promised.state.as_ref());
        let mut state = states
            .chain([&self.durable.held])
            .max_by_key(|state| state.revision)
            .cloned()
            .unwrap_or_default();
        let from = std::mem::replace(&mut state.revision, Revision { epoch, sequence: 0 });
        let have = promises.values().filter(|promised| promised.revision == from);
        let have: BTreeSet<u64> = have.map(|promised| promised.from.id).collect();
        let mut previous_voters = vec![base.voters.clone()];
        previous_voters.extend(base.previous_voters.iter().cloned());
        previous_voters.retain(|list| *list != voters);
        previous_voters.dedup();
        self.keep_answers_if_newest(from);
        self.offer(ReplicaConfig { epoch, voters, data_replicas, previous_voters }, state, from, &have);
    }

    /// This store first, then those that stay, in other zones where there are any: more than half of the voters.
    /// A voter of before has to have promised; one that is new gets the state with the replica set.
    fn choose_holders(
        &self,
        base: &ReplicaConfig,
        voters: &[StoreNode],
        has: impl Fn(u64) -> bool,
    ) -> Option<Vec<u64>> {
        let able = |voter: &&StoreNode| {
            let ready = has(voter.id) || !base.has_voter(voter.id);
            voter.id != self.me.id && ready && self.reachable(voter.id)
        };
        let mut others: Vec<&StoreNode> = voters.iter().filter(able).collect();
        others.sort_by_key(|voter| (!self.eligible(voter.id), voter.zone == self.me.zone));
        let copies = voters.len() / 2 + 1;
        let data_replicas: Vec<u64> =
            [self.me.id].into_iter().chain(others.iter().map(|it| it.id)).take(copies).collect();
        (data_replicas.len() == copies).then_some(data_replicas)
    }

    /// Sends the replica set to all that it names; a holder that has promised with that very state (`from`) gets its new
    /// revision alone.
    fn offer(&mut self, config: ReplicaConfig, state: ControlState, from: Revision, have: &BTreeSet<u64>) {
        self.durable.config = config.clone();
        self.durable.fresh = false;
        self.durable.held = state.clone();
        self.keep();
        let number = self.requested;
        let state_for = |id: u64| match (config.data_replicas.contains(&id), have.contains(&id)) {
            (false, _) => None,
            (true, true) => Some(InitialState::Promised { from, to: state.revision }),
            (true, false) => Some(InitialState::Full(state.clone())),
        };
        let to: BTreeSet<&StoreNode> = named(&config).filter(|it| it.id != self.me.id).collect();
        for voter in to {
            let state = state_for(voter.id);
            self.send(voter.ip, PeerMessage::Accept { config: config.clone(), state });
        }
        self.role = Role::Offering { config, number, since: self.now, accepted: BTreeSet::new() };
    }

    pub(super) fn accepted(&mut self, id: u64, epoch: u64) {
        let Role::Offering { config, accepted, .. } = &mut self.role else { return };
        if config.epoch != epoch {
            return;
        }
        accepted.insert(id);
        let has = |id| accepted.contains(&id);
        let agreed =
            if self.guards.prior_majorities { enough(config, has) } else { majority(&config.voters, has) };
        if !config.data_replicas.iter().all(|id| has(*id)) || !agreed {
            return;
        }
        self.role = Role::Active;
        self.settled_at = self.now;
        self.unled = None;
        self.committed = self.durable.held.revision;
        self.snapshots.clear();
        self.installed();
        // All learn from the heartbeats, as often as they need it, that the replica set is installed.
        self.greet();
        self.answer_under_next_epoch();
        // Told once this store's own disk has it too.
        self.gated.push_back((self.requested, Effect::Publish));
        self.next_orders();
    }
}

/// All that a replica set names as voters, of now and of before.
fn named(config: &ReplicaConfig) -> impl Iterator<Item = &StoreNode> {
    config.previous_voters.iter().flatten().chain(&config.voters)
}
