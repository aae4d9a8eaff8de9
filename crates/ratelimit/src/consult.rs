//! Asking an outside rate limit server before a request is admitted: whether to ask at all, until when its answer
//! counts, what its silence means, and what is made of an answer that comes too late.
//!
//! A question goes through these states; each ends, and its place with it:
//!
//! ```text
//! asked --answer in time--> answered --request's end--> over
//!   |--time is up or asker left--> given up --late answer, or `late` has passed--> over
//! ```
//!
//! An outside server that says OK has counted. Where the request was then not let in (refused by the pool's own
//! quota, refused as the answer was late, its client gone before that), its units are booked as a credit: the next
//! request about the same descriptor uses them in place of a question. So the outside counts are used once at
//! most, and what is lost of them is bounded: the credits that nobody uses in time, and the answers that never
//! come, at most one question's units for each.

use crate::breaker::{self, Breaker, Leave, Micros};
use std::collections::{BTreeMap, BTreeSet};

/// What silence means, as the configuration states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Silence {
    /// The pool's own quota decides alone.
    OwnQuota,
    Refuse,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// How long an answer is waited for at most, and at most this part of what is left of the request's time.
    pub budget: Micros,
    pub part: f64,
    /// Questions out at once, those given up on among them until their end is known.
    pub most_open: usize,
    /// For how long after that a late answer is waited for, to be booked.
    pub late: Micros,
    /// For how long units that were counted for nothing may be used by another request.
    pub credit: Micros,
    pub silence: Silence,
    /// Longest time that a refused client is told to wait; 0: none is told.
    pub longest_hint: Micros,
    pub breaker: breaker::Settings,
}

/// Below that a question is not worth its sending.
const LEAST_TIME: Micros = 1_000;
/// Times that one question is sent at most.
const MOST_ASKED: u32 = 2;
/// Credits that are kept at once; the oldest go first.
const MOST_CREDITS: usize = 4_096;

/// What to do about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// Its units have been counted outside already, for a request that was not let in.
    Counted { number: u64 },
    /// Ask, and give up then.
    Question { number: u64, until: Micros },
    /// Nothing is asked: there is no time or place for it, or the breaker is open.
    Silent(Word),
}

/// What an answer, or the want of one, means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    /// The pool's own quota decides.
    GoOn,
    /// Over the outside limit. 0: no time is known.
    Over { retry_after: Micros },
    /// The outside server is silent, and that means to refuse. 0: no time is known.
    Refuse { retry_after: Micros },
}

/// What the outside server said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Said {
    Ok,
    /// With the time until its limit has room again, where it tells one.
    Over {
        reset: Option<Micros>,
    },
    /// Nothing that is an answer: an error, no connection, a code that is neither.
    Nothing,
    /// The connection of this number broke under it, as under all that were on it.
    Broke {
        connection: u64,
    },
}

/// How often what happened; a request may be in several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: u64,
    pub ok: u64,
    pub over: u64,
    /// Questions that ended without an answer in time.
    pub silent: u64,
    /// Requests that were not asked about: no room, no time, or an open breaker.
    pub unasked: u64,
    /// Late answers: OK for a request that was let in meanwhile, OK for one that was not, and over for one that
    /// was let in, which the outside limit would not have let pass.
    pub late_ok: u64,
    pub late_unused: u64,
    pub late_over_let_in: u64,
    /// Answers that were waited for in vain: they may have been counted.
    pub lost: u64,
    /// Units counted outside for nothing, and those of them that were used after all.
    pub credited: u64,
    pub credits_used: u64,
    pub opened: u64,
}

/// Broken connections that are known: questions are out on the last few only.
const BROKEN: usize = 8;

struct Open {
    about: u64,
    epoch: u64,
    state: State,
    /// Whether the request was let in, once that is known.
    let_in: Option<bool>,
    /// Where it used a credit: when that ends.
    credit: Option<Micros>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum State {
    Asked,
    /// The answer was OK, in time.
    Counted,
    /// Nobody waits for the answer any more.
    GivenUp,
}

/// One outside server, as one pool sees it.
pub struct Outside {
    settings: Settings,
    breaker: Breaker,
    open: BTreeMap<u64, Open>,
    /// Questions whose answer may still come, which hold a place.
    out: usize,
    next: u64,
    /// Connections that broke of late, with the breaker's epoch then: one break is one failure.
    broke: BTreeSet<(u64, u64)>,
    /// Credits by what they are about, by when they end, and each with a number of its own.
    credits: BTreeSet<(u64, Micros, u64)>,
    /// The same in the order in which they end.
    ends: BTreeSet<(Micros, u64, u64)>,
    pub tally: Tally,
}

impl Outside {
    pub fn new(settings: Settings, seed: u64) -> Outside {
        Outside {
            settings,
            breaker: Breaker::new(settings.breaker, seed),
            open: BTreeMap::new(),
            out: 0,
            next: 1,
            broke: BTreeSet::new(),
            credits: BTreeSet::new(),
            ends: BTreeSet::new(),
            tally: Tally::default(),
        }
    }

    /// Other settings from now on; what is out ends by the times that it was given.
    pub fn change(&mut self, settings: Settings) {
        self.settings = settings;
        self.breaker.change(settings.breaker);
    }

    /// For how long a question that was given up on is kept.
    pub fn late(&self) -> Micros {
        self.settings.late
    }

    pub fn is_shut(&self) -> bool {
        !self.breaker.is_closed()
    }

    /// Questions that hold a place, and records and credits that are kept.
    pub fn held(&self) -> (usize, usize, usize) {
        (self.out, self.open.len(), self.ends.len())
    }

    /// A request is to be asked about: `about` stands for all that the question says but the try's name.
    pub fn ask(&mut self, now: Micros, deadline: Micros, about: u64) -> Ask {
        self.forget(now);
        if let Some(end) = self.use_credit(about) {
            let number = self.number();
            let (epoch, state) = (0, State::Counted);
            self.open.insert(number, Open { about, epoch, state, let_in: None, credit: Some(end) });
            return Ask::Counted { number };
        }
        let left = deadline.saturating_sub(now);
        let time = self.settings.budget.min((left as f64 * self.settings.part) as Micros);
        if self.out >= self.settings.most_open || time < LEAST_TIME {
            self.tally.unasked += 1;
            return Ask::Silent(self.silent(0));
        }
        let epoch = match self.breaker.ask(now) {
            Leave::Ask { epoch } => epoch,
            Leave::Shut { reopens } => {
                self.tally.unasked += 1;
                return Ask::Silent(self.silent(reopens));
            }
        };
        let number = self.number();
        self.open.insert(number, Open { about, epoch, state: State::Asked, let_in: None, credit: None });
        self.out += 1;
        self.tally.asked += 1;
        Ask::Question { number, until: now + time }
    }

    fn number(&mut self) -> u64 {
        let number = self.next;
        self.next += 1;
        number
    }

    /// Whether a question that the server has not looked at is asked once more: not where it has been already, and
    /// not for a request that nobody holds up for it any longer.
    pub fn again(&self, now: Micros, number: u64, until: Micros, asked: u32) -> bool {
        let waits = self.open.get(&number).is_some_and(|open| open.state == State::Asked);
        waits && asked < MOST_ASKED && now < until
    }

    /// An answer has come. None: nobody waits for it any more, and it has been booked.
    pub fn answered(&mut self, now: Micros, number: u64, said: Said) -> Option<Word> {
        let open = self.open.get_mut(&number)?;
        if open.state == State::Counted {
            return None;
        }
        self.out -= 1;
        let (about, epoch, state, let_in) = (open.about, open.epoch, open.state, open.let_in);
        if state == State::GivenUp {
            self.open.remove(&number);
            self.late_answer(now, about, said, let_in);
            return None;
        }
        match said {
            Said::Ok => {
                // Kept until it is known what became of the request.
                open.state = State::Counted;
                self.breaker.succeeded(epoch);
                self.tally.ok += 1;
                Some(Word::GoOn)
            }
            Said::Over { reset } => {
                self.open.remove(&number);
                self.breaker.succeeded(epoch);
                self.tally.over += 1;
                Some(Word::Over { retry_after: self.hint(reset.unwrap_or(0)) })
            }
            Said::Nothing => {
                self.open.remove(&number);
                Some(self.failed(now, epoch))
            }
            Said::Broke { connection } => {
                self.open.remove(&number);
                // A trial has an epoch of its own, and its end is told whatever broke before it.
                if self.broke.insert((connection, epoch)) {
                    if self.broke.len() > BROKEN {
                        self.broke.pop_first();
                    }
                    return Some(self.failed(now, epoch));
                }
                self.tally.silent += 1;
                Some(self.silent(0))
            }
        }
    }

    /// The time for an answer is up: what the request is to do. None: it has been answered.
    pub fn give_up(&mut self, now: Micros, number: u64) -> Option<Word> {
        let open = self.open.get_mut(&number).filter(|open| open.state == State::Asked)?;
        open.state = State::GivenUp;
        let epoch = open.epoch;
        let word = self.failed(now, epoch);
        if word != Word::GoOn {
            self.ended(now, number, false);
        }
        Some(word)
    }

    /// The asker went away before the answer: its request is not let in.
    pub fn left(&mut self, now: Micros, number: u64) {
        let Some(open) = self.open.get_mut(&number).filter(|open| open.state == State::Asked) else { return };
        open.state = State::GivenUp;
        let epoch = open.epoch;
        self.breaker.left(now, epoch);
        self.ended(now, number, false);
    }

    /// What became of a request that was told to go on.
    pub fn ended(&mut self, now: Micros, number: u64, let_in: bool) {
        let Some(open) = self.open.get_mut(&number) else { return };
        // The first word holds: one that was refused here is not let in by whoever drops it later.
        open.let_in.get_or_insert(let_in);
        if open.state == State::Counted {
            let (about, credit) = (open.about, open.credit);
            self.open.remove(&number);
            match (let_in, credit) {
                (true, Some(_)) => self.tally.credits_used += 1,
                (true, None) => {}
                // Counted when it was first booked: it ends when it would have.
                (false, Some(end)) => self.keep(now, about, end),
                (false, None) => self.book(now, about),
            }
        }
    }

    /// A late answer is not waited for any longer.
    pub fn lost(&mut self, number: u64) {
        if self.open.get(&number).is_some_and(|open| open.state != State::Counted) {
            self.open.remove(&number);
            self.out -= 1;
            self.tally.lost += 1;
        }
    }

    fn late_answer(&mut self, now: Micros, about: u64, said: Said, let_in: Option<bool>) {
        // A request whose end is not known yet went on by its own quota: it counts as let in.
        let let_in = let_in.unwrap_or(true);
        match said {
            Said::Ok if let_in => self.tally.late_ok += 1,
            Said::Ok => {
                self.tally.late_unused += 1;
                self.book(now, about);
            }
            Said::Over { .. } if let_in => self.tally.late_over_let_in += 1,
            Said::Over { .. } | Said::Nothing | Said::Broke { .. } => {}
        }
    }

    fn failed(&mut self, now: Micros, epoch: u64) -> Word {
        self.tally.silent += 1;
        if self.breaker.failed(now, epoch) {
            self.tally.opened += 1;
        }
        self.silent(0)
    }

    fn silent(&self, reopens: Micros) -> Word {
        match self.settings.silence {
            Silence::OwnQuota => Word::GoOn,
            Silence::Refuse => Word::Refuse { retry_after: self.hint(reopens) },
        }
    }

    fn hint(&self, time: Micros) -> Micros {
        time.min(self.settings.longest_hint)
    }

    fn book(&mut self, now: Micros, about: u64) {
        self.tally.credited += 1;
        self.keep(now, about, now + self.settings.credit);
    }

    fn keep(&mut self, now: Micros, about: u64, end: Micros) {
        if end <= now {
            return;
        }
        if self.ends.len() >= MOST_CREDITS {
            self.drop_first();
        }
        let number = self.number();
        self.credits.insert((about, end, number));
        self.ends.insert((end, about, number));
    }

    /// Takes the credit that ends first, and tells when it would have.
    fn use_credit(&mut self, about: u64) -> Option<Micros> {
        let (about, end, number) =
            *self.credits.range((about, 0, 0)..=(about, Micros::MAX, u64::MAX)).next()?;
        self.credits.remove(&(about, end, number));
        self.ends.remove(&(end, about, number));
        Some(end)
    }

    fn forget(&mut self, now: Micros) {
        while self.ends.first().is_some_and(|(end, ..)| *end <= now) {
            self.drop_first();
        }
    }

    fn drop_first(&mut self) {
        if let Some((end, about, number)) = self.ends.pop_first() {
            self.credits.remove(&(about, end, number));
        }
    }
}
