//! One state of the world, and what becomes of it.

use violetyoke_ownership::fence::Fence;
use violetyoke_ownership::grantor::Grantor;
use violetyoke_ownership::holder::{Change, Holder};
use violetyoke_ownership::{Answer, Ask, Claim, Epoch, Micros, Record};

pub const TICK: Micros = 500_000;
pub const LENGTH: Micros = 2 * TICK;
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Message {
    Ask { from: usize, number: u64, ask: Ask },
    Answer { to: usize, number: u64, answer: Answer },
    Act { claim: Claim },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub now: Micros,
    pub grantor: Grantor,
    pub record: Record,
    pub epoch: Epoch,
    pub holders: [Holder; 2],
    /// Who has looked at its lease and is about to act.
    pub looked: [Option<Claim>; 2],
    pub under_way: Vec<Message>,
    pub fence: Fence,
    /// The newest epoch that has acted, and the first.
    pub newest: Epoch,
    pub first: Epoch,
    pub out_of_order: bool,
    pub restarts: u8,
    pub doubled: u8,
    pub lost: u8,
    pub acts: [u8; 2],
    pub calls: [u64; 2],
}

impl State {
    pub fn claim(&self, holder: usize) -> Option<Claim> {
        let claim = self.holders[holder].owned().next()?;
        self.holders[holder].may(&claim, self.now).then_some(claim)
    }

    /// What the desk does in one transaction.
    pub fn asked(&mut self, ask: &Ask) -> Answer {
        let mut answer = Answer::default();
        self.grantor.heard(ask, self.now);
        self.grantor.reply(&mut answer, ask, self.now);
        for renewal in &ask.renew {
            match self.grantor.renew(Some(&self.record), &ask.holder, &renewal.claim, renewal.acts, 0) {
                Ok((record, given)) => {
                    answer.given.push(given);
                    self.put(record);
                }
                Err(lost) => answer.lost.push((renewal.claim.clone(), lost)),
            }
        }
        for claim in &ask.release {
            match self.grantor.release(Some(&self.record), &ask.holder, claim) {
                Ok(record) => self.put(record),
                Err(lost) => answer.lost.push((claim.clone(), lost)),
            }
        }
        for claim in &ask.gave_up {
            if let Ok(record) = self.grantor.give_up(Some(&self.record), &ask.holder, claim) {
                self.put(record);
            }
        }
        if !self.grantor.wanted(&ask.holder, self.now).is_empty() {
            let granted = self.grantor.grant(&self.record, &ask.holder, self.epoch + 1, 0);
            if let Some((record, given)) = granted {
                self.epoch += 1;
                answer.given.push(given);
                self.put(record);
            }
        }
        answer
    }

    fn put(&mut self, record: Record) {
        self.grantor.observe(&record, self.now);
        self.record = record;
    }

    pub fn pass(&mut self) {
        self.grantor.forget(self.now);
        if !self.grantor.run_out(self.now).is_empty() {
            if let Some(record) = self.grantor.expire(&self.record, self.now) {
                self.put(record);
            }
        }
    }

    pub fn answered(&mut self, holder: usize, number: u64, answer: Answer) {
        for change in self.holders[holder].answer(number, answer, self.now) {
            // A worker ends its act before it hands over; one here has none half done.
            if let Change::HandOver(claim) = change {
                self.holders[holder].ended(&claim);
            }
        }
    }

    pub fn arrives(&mut self, message: Message, fenced: bool) {
        match message {
            Message::Ask { from, number, ask } => {
                let answer = self.asked(&ask);
                self.under_way.push(Message::Answer { to: from, number, answer });
            }
            Message::Answer { to, number, answer } => self.answered(to, number, answer),
            Message::Act { claim } => {
                if self.fence.pass(&claim.name, claim.epoch).is_err() && fenced {
                    return;
                }
                self.out_of_order |= claim.epoch < self.newest;
                self.newest = self.newest.max(claim.epoch);
                if self.first == 0 {
                    self.first = claim.epoch;
                }
            }
        }
    }

    /// From here on the owner hangs, nothing is lost, and the other works: whether the other has it in time.
    pub fn goes_to_the_other(&self) -> bool {
        if !self.under_way.is_empty() {
            return true;
        }
        let Some(hung) = (0..2).find(|holder| self.claim(*holder).is_some()) else { return true };
        let mut state = self.clone();
        for _ in 0..8 {
            state.now += TICK;
            state.pass();
            for holder in 0..2 {
                state.holders[holder].lapse(state.now);
                if let (true, Some(claim)) = (holder != hung, state.claim(holder)) {
                    state.holders[holder].moved(&claim, 1);
                }
                let (number, ask) = state.holders[holder].ask(state.now);
                let answer = state.asked(&ask);
                state.answered(holder, number, answer);
            }
            if state.claim(1 - hung).is_some() {
                return true;
            }
        }
        false
    }
}
