//! Operators' orders at the primary: those that wait are written together, and each is answered once all data_replicas have the
//! state on their disks, or have confirmed the epoch where nothing had to be written.

use super::{Client, Confirming, Effect, Millis, Pending, Register, Role};
use std::collections::BTreeSet;
use violetyoke_transport::messages::{Acceptance, Command, ControlState, Outcome, PeerMessage, Revision};

/// A state that a backup has not said to have is sent again after so long.
const RESEND_AFTER: Millis = 250;
/// An order waits so long for an epoch to be installed, and an answer for confirmation: no longer than a registry does,
/// so that nothing runs long after its operator was told that it is unclear.
const ORDER_EXPIRES: Millis = 900;

/// Orders that are answered together, each with its own outcome.
pub(super) type Answers = Vec<(Client, Outcome)>;

/// Applies one order to a state: its outcome once that state is committed, and whether the state is another.
fn apply(state: &mut ControlState, order: Command) -> (Outcome, bool) {
    match order {
        Command::Read => (Outcome::Read(state.clone()), false),
        Command::Evacuate { zone, empty: true } => (Outcome::Acknowledged, state.evacuated.insert(zone)),
        Command::Evacuate { zone, empty: false } => (Outcome::Acknowledged, state.evacuated.remove(&zone)),
        Command::Replace { version, text } => replace(state, version, text),
    }
}

fn replace(state: &mut ControlState, version: u64, text: String) -> (Outcome, bool) {
    match state.acceptance(version, &text) {
        Acceptance::SameText => return (Outcome::Acknowledged, false),
        Acceptance::OtherText => return (Outcome::VersionTaken, false),
        Acceptance::Unknown => {}
    }
    // An older version has no effect but to take its number, so that no other text is confirmed under it.
    let remembered = state.accepted.insert(version, &text);
    let newer = state.is_newer(version);
    if newer {
        (state.version, state.text) = (version, text);
    }
    (Outcome::Acknowledged, newer || remembered)
}

impl Register {
    pub(super) fn order(&mut self, client: Client, order: Command) {
        if !self.active() && !self.trying() {
            return self.out.push(Effect::Answer { client, outcome: Outcome::NotLeader });
        }
        self.waiting.push_back((client, order, self.now));
        self.next_orders();
    }

    /// Tells clients to ask elsewhere. Nothing that this answer says rests on the disk.
    pub(super) fn turn_away(&mut self, clients: impl IntoIterator<Item = Client>) {
        let answers =
            clients.into_iter().map(|client| Effect::Answer { client, outcome: Outcome::NotLeader });
        self.out.extend(answers);
    }

    /// All clients that wait for an answer, which they don't get from this store any more.
    pub(super) fn take_clients(&mut self) -> Vec<Client> {
        let waiting = std::mem::take(&mut self.waiting).into_iter().map(|(client, ..)| client);
        waiting.chain(self.take_answers().into_iter().map(|(client, _)| client)).collect()
    }

    /// Answers that wait for a commit or for confirmation.
    fn take_answers(&mut self) -> Answers {
        let pending = self.pending.take().map(|pending| pending.answers).into_iter().flatten();
        let confirming = std::mem::take(&mut self.confirming).into_values().flat_map(|one| one.answers);
        pending.chain(confirming).collect()
    }

    pub(super) fn expire_orders(&mut self) {
        let now = self.now;
        let expired = |since: Millis| now > since + ORDER_EXPIRES;
        let mut clients = Vec::new();
        self.waiting.retain(|(client, _, since)| {
            if expired(*since) {
                clients.push(*client);
            }
            !expired(*since)
        });
        self.confirming.retain(|_, one| {
            if expired(one.since) {
                clients.extend(one.answers.iter().map(|(client, _)| *client));
            }
            !expired(one.since)
        });
        self.turn_away(clients);
    }

    /// Takes all orders that wait, one after the other, into one new state.
    pub(super) fn next_orders(&mut self) {
        if !matches!(self.role, Role::Active) || self.pending.is_some() || self.waiting.is_empty() {
            return;
        }
        let mut state = self.durable.held.clone();
        let mut answers = Answers::new();
        let mut changed = false;
        for (client, order, _) in std::mem::take(&mut self.waiting) {
            let (outcome, changes) = apply(&mut state, order);
            answers.push((client, outcome));
            changed |= changes;
        }
        if changed {
            self.write_state(answers, state);
        } else {
            self.confirm_leadership(answers);
        }
    }

    fn write_state(&mut self, answers: Answers, mut state: ControlState) {
        state.revision.sequence += 1;
        self.durable.held = state;
        self.keep();
        self.pending =
            Some(Pending { answers, number: self.requested, written: BTreeSet::new(), sent: self.now });
        self.send_pending();
    }

    /// Sends what is not on all disks yet to those that have not said so. A backup may write while this disk does: the
    /// answer waits for both.
    fn send_pending(&mut self) {
        let Some(pending) = &mut self.pending else { return };
        pending.sent = self.now;
        let written = pending.written.clone();
        let (epoch, held) = (self.durable.config.epoch, self.durable.held.clone());
        for (id, ip) in self.backups() {
            if !written.contains(&id) {
                self.out.push(Effect::Send {
                    to: ip,
                    message: PeerMessage::Write { epoch, state: held.clone() },
                });
            }
        }
    }

    /// A message may be lost with its connection, while both ends are healthy: it is sent again.
    pub(super) fn send_again(&mut self) {
        let now = self.now;
        if self.pending.as_ref().is_some_and(|pending| now > pending.sent + RESEND_AFTER) {
            self.send_pending();
        }
    }

    pub(super) fn written(&mut self, id: u64, epoch: u64, revision: Revision) {
        let now = self.durable.held.revision;
        if epoch != self.durable.config.epoch || revision != now || !self.active() {
            return;
        }
        if let Some(pending) = &mut self.pending {
            pending.written.insert(id);
            self.maybe_committed();
        }
    }

    fn maybe_committed(&mut self) {
        let committed = |pending: &mut Pending| {
            self.durable.config.data_replicas.iter().all(|id| pending.written.contains(id))
        };
        let Some(pending) = self.pending.take_if(committed) else { return };
        self.committed = self.durable.held.revision;
        self.answer_all(pending.answers);
        self.gated.push_back((self.requested, Effect::Publish));
        self.send_snapshots();
        self.next_orders();
    }

    fn answer_all(&mut self, answers: Answers) {
        for (client, outcome) in answers {
            self.answer(client, outcome);
        }
    }

    /// An answer that tells how things are is true only while no other store leads: all backups confirm the epoch first.
    fn confirm_leadership(&mut self, answers: Answers) {
        self.nonce += 1;
        let nonce = self.nonce;
        let confirmed = BTreeSet::from([self.me.id]);
        self.confirming.insert(nonce, Confirming { answers, confirmed, since: self.now });
        let epoch = self.durable.config.epoch;
        for (_, ip) in self.backups() {
            self.send(ip, PeerMessage::Confirm { epoch, nonce });
        }
        self.confirmed(self.me.id, epoch, nonce);
    }

    pub(super) fn confirmed(&mut self, id: u64, epoch: u64, nonce: u64) {
        if epoch != self.durable.config.epoch || !self.active() {
            return;
        }
        let Some(one) = self.confirming.get_mut(&nonce) else { return };
        one.confirmed.insert(id);
        let confirmed = &one.confirmed;
        if self.durable.config.data_replicas.iter().all(|id| confirmed.contains(id)) {
            if let Some(one) = self.confirming.remove(&nonce) {
                self.answer_all(one.answers);
            }
        }
    }

    /// This primary's next epoch begins with a state that a voter promised. Answers that wait rest on this store's own
    /// state: they are given under the next epoch only if no other store has led since.
    pub(super) fn keep_answers_if_newest(&mut self, chosen: Revision) {
        if chosen > self.durable.held.revision {
            let answers = self.take_answers();
            self.turn_away(answers.into_iter().map(|(client, _)| client));
        }
    }

    /// The next epoch is installed: all data_replicas have what was pending under the one before.
    pub(super) fn answer_under_next_epoch(&mut self) {
        let answers = self.take_answers();
        self.answer_all(answers);
    }

    /// This store is primary and hears all its backups: only then is it named to registries as the one to ask. One that
    /// is cut off goes on as a primary without knowing better, and can answer nothing.
    pub fn leads_in_contact(&self) -> bool {
        self.active() && self.backups().iter().all(|(id, _)| self.reachable(*id))
    }

    /// Registries are told when contact with the backups is lost or made again.
    pub(super) fn publish_contact(&mut self) {
        let in_contact = self.leads_in_contact();
        if in_contact != self.published_contact {
            self.published_contact = in_contact;
            self.out.push(Effect::Publish);
        }
    }
}
