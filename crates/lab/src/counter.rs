//! The shared counter: parts of fixed capacity, each with a bounded line, which also work on calls that nobody
//! waits for any more.

use std::collections::{HashMap, VecDeque};
use violetyoke_decision::interface::Micros;

/// A call on its way or in line.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub ingress: usize,
    pub epoch: u32,
    pub number: u64,
    pub name: u64,
    pub amount: f64,
    pub life: Micros,
    pub made: Micros,
}

/// What a part says of a call that has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Taken {
    /// It stands in line; the part was idle, and will be done with it then.
    Starts(Micros),
    Waits,
    /// The line is full: nothing is added.
    Full,
    /// Nobody hears it.
    Lost,
}

#[derive(Clone, Debug, Default)]
pub struct Part {
    line: VecDeque<Call>,
    numbers: HashMap<u64, (f64, Micros)>,
    /// It hears nothing until then.
    pub silent_until: Micros,
    /// Answers are lost, with what they say added, until then.
    pub deaf_until: Micros,
    /// Factor on the time for a call, until then.
    pub slow: (f64, Micros),
    pub worked: u64,
}

#[derive(Clone, Debug)]
pub struct Counter {
    pub parts: Vec<Part>,
    /// Time for a call (us), and most calls in line at a part.
    call: f64,
    line: usize,
}

impl Counter {
    pub fn new(parts: usize, calls_per_second: f64, line: usize) -> Counter {
        let call = 1e6 * parts as f64 / calls_per_second;
        Counter { parts: vec![Part::default(); parts], call, line }
    }

    /// The part that a name belongs to.
    pub fn part(&self, name: u64) -> usize {
        (name % self.parts.len() as u64) as usize
    }

    fn time(&self, part: usize, now: Micros) -> Micros {
        let (factor, until) = self.parts[part].slow;
        (self.call * if now < until { factor } else { 1.0 }).max(1.0) as Micros
    }

    pub fn take(&mut self, now: Micros, call: Call) -> (usize, Taken) {
        let number = self.part(call.name);
        let time = self.time(number, now);
        let part = &mut self.parts[number];
        let taken = if now < part.silent_until {
            Taken::Lost
        } else if part.line.len() >= self.line {
            Taken::Full
        } else {
            part.line.push_back(call);
            if part.line.len() == 1 {
                Taken::Starts(now + time)
            } else {
                Taken::Waits
            }
        };
        (number, taken)
    }

    /// The first call in a part's line is done: the call, its total (none: its answer is lost), and when the next
    /// one will be.
    pub fn done(&mut self, now: Micros, number: usize) -> Option<(Call, Option<f64>, Option<Micros>)> {
        let time = self.time(number, now);
        let part = &mut self.parts[number];
        let call = part.line.pop_front()?;
        part.worked += 1;
        if part.worked.is_multiple_of(4096) {
            part.numbers.retain(|_, (_, end)| *end > now);
        }
        let next = (!part.line.is_empty()).then_some(now + time);
        if now < part.silent_until {
            return Some((call, None, next));
        }
        let (total, end) = part.numbers.entry(call.name).or_insert((0.0, 0));
        if *end <= now {
            (*total, *end) = (0.0, now + call.life);
        }
        *total += call.amount;
        let total = *total;
        Some((call, (now >= part.deaf_until).then_some(total), next))
    }

    /// All numbers are lost.
    pub fn empty(&mut self) {
        self.parts.iter_mut().for_each(|part| part.numbers.clear());
    }
}

#[cfg(test)]
mod tests;
