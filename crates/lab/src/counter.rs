//! The shared counter: parts of fixed capacity, each with a bounded queue. A part also works on calls whose callers
//! have given up waiting.

use std::collections::{HashMap, VecDeque};
use violetyoke_decision::interface::Micros;

/// A part removes expired totals once in this many calls.
const CALLS_BETWEEN_CLEANUPS: u64 = 4096;

/// A call in flight or in a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    /// The caller.
    pub(crate) ingress: usize,
    /// The caller's epoch: after a restart, the caller ignores the answer.
    pub(crate) epoch: u32,
    /// The caller's number of the call.
    pub(crate) number: u64,
    /// The name of the total.
    pub(crate) name: u64,
    pub(crate) amount: f64,
    /// Time to live of a new total.
    pub(crate) lifetime: Micros,
    pub(crate) sent_at: Micros,
}

/// The result of a call's arrival at a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Arrival {
    /// The part was idle, and will have answered it at this time.
    Started(Micros),
    Queued,
    /// Refused: the queue is full, and nothing is added.
    QueueFull,
    /// The part is unreachable.
    Lost,
}

/// A call that a part has completed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Completion {
    pub(crate) call: Call,
    /// The new total; `None` if the answer is lost.
    pub(crate) total: Option<f64>,
    /// When the next call of the queue will be completed; `None` if the queue is empty.
    pub(crate) next: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Total {
    value: f64,
    expires: Micros,
}

/// A factor until a time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slowdown {
    pub(crate) factor: f64,
    pub(crate) until: Micros,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    queue: VecDeque<Call>,
    totals: HashMap<u64, Total>,
    /// Calls are lost until then.
    pub(crate) silent_until: Micros,
    /// Until then calls change totals, but their answers are lost.
    pub(crate) answers_lost_until: Micros,
    /// Factor on the time for a call.
    pub(crate) slowdown: Slowdown,
    completed: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Counter {
    pub(crate) parts: Vec<Part>,
    /// Time for a call, in microseconds.
    call_time: f64,
    /// The most calls in a part's queue, with the one that it works on.
    queue: usize,
}

impl Counter {
    /// A counter whose parts together answer this many calls a second.
    pub(crate) fn new(parts: usize, calls_per_second: f64, queue: usize) -> Counter {
        let call_time = 1e6 * parts as f64 / calls_per_second;
        Counter { parts: vec![Part::default(); parts], call_time, queue }
    }

    /// The part that a name belongs to.
    fn part(&self, name: u64) -> usize {
        (name % self.parts.len() as u64) as usize
    }

    fn call_time(&self, part: usize, now: Micros) -> Micros {
        let Slowdown { factor, until } = self.parts[part].slowdown;
        (self.call_time * if now < until { factor } else { 1.0 }).max(1.0) as Micros
    }

    /// Handles the arrival of a call. Returns the number of its part and the result.
    pub(crate) fn arrive(&mut self, now: Micros, call: Call) -> (usize, Arrival) {
        let number = self.part(call.name);
        let call_time = self.call_time(number, now);
        let part = &mut self.parts[number];
        let arrival = if now < part.silent_until {
            Arrival::Lost
        } else if part.queue.len() >= self.queue {
            Arrival::QueueFull
        } else {
            part.queue.push_back(call);
            if part.queue.len() == 1 {
                Arrival::Started(now + call_time)
            } else {
                Arrival::Queued
            }
        };
        (number, arrival)
    }

    /// Completes the first call in the queue of a part; `None` if the queue is empty.
    pub(crate) fn complete(&mut self, now: Micros, number: usize) -> Option<Completion> {
        let call_time = self.call_time(number, now);
        let part = &mut self.parts[number];
        let call = part.queue.pop_front()?;
        part.completed += 1;
        if part.completed.is_multiple_of(CALLS_BETWEEN_CLEANUPS) {
            part.totals.retain(|_, total| total.expires > now);
        }
        let next = (!part.queue.is_empty()).then_some(now + call_time);
        if now < part.silent_until {
            return Some(Completion { call, total: None, next });
        }
        let total = part.totals.entry(call.name).or_insert(Total { value: 0.0, expires: 0 });
        if total.expires <= now {
            *total = Total { value: 0.0, expires: now + call.lifetime };
        }
        total.value += call.amount;
        let total = (now >= part.answers_lost_until).then_some(total.value);
        Some(Completion { call, total, next })
    }

    /// All totals are lost.
    pub(crate) fn clear(&mut self) {
        self.parts.iter_mut().for_each(|part| part.totals.clear());
    }
}

#[cfg(test)]
mod tests;
