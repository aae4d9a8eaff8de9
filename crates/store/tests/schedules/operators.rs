//! Operators: each sends one order at a time until it has a clear answer, to one machine after the other, and pauses.

use super::player::Player;
use crate::simulation::events::Scheduled;
use crate::simulation::Millis;
use violetyoke_transport::messages::{Command, Outcome};

/// How often an operator looks whether its answer is there.
const LOOKS: Millis = 20;
/// A sending without an answer is given up after so long, and the same order goes to another machine.
const SILENCE: Millis = 900;
/// An order that is not acknowledged in so long a calm time breaks the bound on availability.
pub const ACKNOWLEDGED_WITHIN: Millis = 4_000;
/// An order is given up after so long.
const INSISTS: Millis = 25_000;
/// One of two texts under a number may stay without a clear answer; its operator insists so long.
const CONTESTED: Millis = 5_000;
const PAUSE: Millis = 400;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    Configure,
    Evacuate,
    Read,
}

pub struct Current {
    order: Command,
    begun: Millis,
    /// How long it has waited in calm times, in one stretch.
    calm: Millis,
    looked: Millis,
    client: u64,
    sent: Millis,
    sendings: usize,
    /// Another operator sends another text under the same number.
    contested: bool,
    last: usize,
}

pub struct Operator {
    duty: Duty,
    current: Option<Current>,
    /// An order that it has to send next, in place of one of its own.
    pub next: Option<Command>,
}

impl Operator {
    pub fn new(duty: Duty) -> Operator {
        Operator { duty, current: None, next: None }
    }
}

impl Player {
    pub(super) fn operator(&mut self, number: usize) {
        let again = match self.operators[number].current.take() {
            None => self.begin(number),
            Some(current) => self.look(number, current),
        };
        let at = self.cluster.now + again;
        self.cluster.at(at, Scheduled::Operator { number });
    }

    /// Sends its next order; after how long it looks for the answer.
    fn begin(&mut self, number: usize) -> Millis {
        if self.ended {
            return INSISTS;
        }
        let next = self.operators[number].next.take();
        let contested = next.is_some();
        let order = next.unwrap_or_else(|| self.draw_order(self.operators[number].duty));
        let (now, client, last) = self.send(&order, 0, usize::MAX);
        let current = Current {
            order,
            begun: now,
            calm: 0,
            looked: now,
            client,
            sent: now,
            sendings: 1,
            contested,
            last,
        };
        self.operators[number].current = Some(current);
        LOOKS
    }

    fn draw_order(&mut self, duty: Duty) -> Command {
        match duty {
            Duty::Configure => {
                self.version += 1 + self.cluster.random.below(3);
                self.replacement(self.version, "")
            }
            Duty::Evacuate => {
                let zone = ["a", "b"][self.cluster.random.below(2) as usize].to_owned();
                Command::Evacuate { zone, empty: self.cluster.random.one_in(2) }
            }
            Duty::Read => Command::Read,
        }
    }

    pub(super) fn replacement(&self, version: u64, operator: &str) -> Command {
        let text = format!("configuration {version} {operator}{}", " ".repeat(self.text));
        Command::Replace { version, text }
    }

    fn look(&mut self, number: usize, mut current: Current) -> Millis {
        let now = self.cluster.now;
        let elapsed = now - current.looked;
        current.looked = now;
        current.calm = if self.settled() { current.calm + elapsed } else { 0 };
        let answer = self.cluster.answers.remove(&current.client);
        if answer == Some(Outcome::VersionTaken) {
            if !current.contested {
                self.breaks("refused", shown(&current.order));
            }
            return self.pause();
        }
        if let Some(Outcome::Acknowledged | Outcome::Read(_)) = &answer {
            self.figures.answered(now - current.begun);
            return self.pause();
        }
        if current.contested && now > current.begun + CONTESTED {
            return self.pause();
        }
        if current.calm > ACKNOWLEDGED_WITHIN && !current.contested {
            self.breaks("availability", format!("{}: {} ms of calm", shown(&current.order), current.calm));
            return self.pause();
        }
        if now > current.begun + INSISTS {
            self.figures.given_up += 1;
            return self.pause();
        }
        if answer.is_some() || now > current.sent + SILENCE {
            let (sent, client, last) = self.send(&current.order, current.sendings, current.last);
            (current.sent, current.client, current.last) = (sent, client, last);
            current.sendings += 1;
        }
        self.operators[number].current = Some(current);
        LOOKS
    }

    fn pause(&mut self) -> Millis {
        if self.burst > 0 {
            self.burst -= 1;
            return 1;
        }
        self.text = 0;
        self.cluster.random.within(10..PAUSE)
    }

    /// Sends an order: every other time to a machine that says it leads, and else to any but the one before.
    fn send(&mut self, order: &Command, sendings: usize, last: usize) -> (Millis, u64, usize) {
        let machines = &self.cluster.machines;
        let leads = |n: &usize| machines[*n].replica.as_ref().is_some_and(|replica| replica.is_leader());
        let mut leaders: Vec<usize> = (0..machines.len()).filter(leads).collect();
        leaders.sort_by_key(|n| {
            std::cmp::Reverse(machines[*n].replica.as_ref().map_or(0, |replica| replica.epoch()))
        });
        let count = machines.len() as u64;
        let any = self.cluster.random.below(count) as usize;
        let any = if any == last { (any + 1) % count as usize } else { any };
        let n = match leaders.get((sendings / 2) % leaders.len().max(1)) {
            Some(leader) if sendings.is_multiple_of(2) => *leader,
            _ => any,
        };
        let client = self.cluster.order(n, order.clone());
        (self.cluster.now, client, n)
    }
}

/// An order without the length of its text.
fn shown(order: &Command) -> String {
    match order {
        Command::Replace { version, text } => format!("replace {version} {:?}", text.trim_end()),
        other => format!("{other:?}"),
    }
}
