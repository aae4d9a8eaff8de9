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
mod tests {
    use super::*;

    fn call(name: u64, amount: f64) -> Call {
        Call { ingress: 0, epoch: 0, number: 1, name, amount, life: 10_000_000, made: 0 }
    }

    #[test]
    fn a_part_works_one_call_after_another_and_turns_away_what_its_line_does_not_hold() {
        let mut counter = Counter::new(2, 1_000.0, 2);
        assert_eq!(counter.take(0, call(2, 3.0)), (0, Taken::Starts(2_000)));
        assert_eq!(counter.take(1, call(2, 4.0)), (0, Taken::Waits));
        assert_eq!(counter.take(2, call(2, 5.0)), (0, Taken::Full));
        assert_eq!(counter.take(3, call(3, 1.0)), (1, Taken::Starts(2_003)));
        let (_, total, next) = counter.done(2_000, 0).expect("in line");
        assert_eq!((total, next), (Some(3.0), Some(4_000)));
        let (_, total, next) = counter.done(4_000, 0).expect("in line");
        assert_eq!((total, next), (Some(7.0), None));
    }

    #[test]
    fn numbers_end_with_their_life_and_are_lost_when_it_is_emptied() {
        let mut counter = Counter::new(1, 1_000.0, 8);
        let total = |counter: &mut Counter, now| {
            counter.take(now, call(7, 1.0));
            counter.done(now + 1_000, 0).expect("in line").1
        };
        assert_eq!(total(&mut counter, 0), Some(1.0));
        assert_eq!(total(&mut counter, 5_000_000), Some(2.0));
        assert_eq!(total(&mut counter, 10_002_000), Some(1.0));
        counter.empty();
        assert_eq!(total(&mut counter, 10_010_000), Some(1.0));
    }

    #[test]
    fn an_answer_can_be_lost_with_its_units_added() {
        let mut counter = Counter::new(1, 1_000.0, 8);
        counter.parts[0].deaf_until = 2_000;
        counter.take(0, call(7, 1.0));
        assert_eq!(counter.done(1_000, 0).expect("in line").1, None);
        counter.take(3_000, call(7, 1.0));
        assert_eq!(counter.done(4_000, 0).expect("in line").1, Some(2.0));
    }
}
