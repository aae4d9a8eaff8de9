//! Operators' orders on their way to the primary store, without sockets or clocks: each is sent once over each
//! connection to a primary, until one answers or the time is up. Each sending has a call number of its own, and an answer
//! counts only if it bears that number and came on the connection on which the call went out.

use crate::Millis;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Command, Outcome};

/// An order that no store answers for so long has no clear answer. Its operator goes on to another registry after a second
/// of silence: an answer after that is for nobody.
pub const ANSWER_WITHIN: Millis = 900;
/// Where no primary has been known for so long, this registry or the core is cut off: orders wait only shortly then.
pub const TAKEOVER_TAKES: Millis = 1_500;
pub const WITHOUT_PRIMARY: Millis = 250;
/// A store that is not primary any more is asked again after so long, if no other is known.
const RETRY_AFTER: Millis = 40;

/// One connection to a store: the store's address, and the how-manieth connection to it this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreConnection {
    pub ip: Ipv4Addr,
    pub connection: u64,
}

/// One sending of an order: over which connection, and under which number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
    to: StoreConnection,
    call: u64,
}

#[derive(Clone, Debug)]
struct Waiting {
    order: Command,
    since: Millis,
    sent: Option<Sent>,
    not_before: Millis,
}

/// What is to be done with the orders that wait.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Step {
    /// Call numbers and orders to be sent to the primary.
    pub calls: Vec<(u64, Command)>,
    /// Orders whose time is up: they may be in force or may not.
    pub unclear: Vec<u64>,
}

/// The orders that wait for an answer, by a number in the order of their arrival.
#[derive(Clone, Debug)]
pub struct Orders {
    waiting: BTreeMap<u64, Waiting>,
    arrivals: u64,
    /// The number of the last call: begins anywhere, so that no two lives of a registry use the same ones.
    call: u64,
    /// Since when no primary has been known.
    leaderless_since: Option<Millis>,
}

impl Orders {
    /// `drawn` is a number that no other life of a registry has drawn.
    pub fn new(drawn: u64) -> Orders {
        Orders { waiting: BTreeMap::new(), arrivals: 0, call: drawn, leaderless_since: None }
    }

    /// Takes an order; its number.
    pub fn give(&mut self, now: Millis, order: Command) -> u64 {
        self.arrivals += 1;
        let waiting = Waiting { order, since: now, sent: None, not_before: 0 };
        self.waiting.insert(self.arrivals, waiting);
        self.arrivals
    }

    /// Nobody waits for the answer any more.
    pub fn cancel(&mut self, number: u64) {
        self.waiting.remove(&number);
    }

    /// Time has passed, or another primary is known.
    pub fn step(&mut self, now: Millis, primary: Option<StoreConnection>) -> Step {
        let mut step = Step { calls: Vec::new(), unclear: self.expire(now, primary.is_some()) };
        let Some(to) = primary else { return step };
        for one in self.waiting.values_mut() {
            if one.sent.is_some_and(|sent| sent.to == to) || now < one.not_before {
                continue;
            }
            self.call = self.call.wrapping_add(1);
            one.sent = Some(Sent { to, call: self.call });
            step.calls.push((self.call, one.order.clone()));
        }
        step
    }

    fn expire(&mut self, now: Millis, led: bool) -> Vec<u64> {
        self.leaderless_since = if led { None } else { self.leaderless_since.or(Some(now)) };
        let cut_off = self.leaderless_since.is_some_and(|since| now > since + TAKEOVER_TAKES);
        let within = if cut_off { WITHOUT_PRIMARY } else { ANSWER_WITHIN };
        let expired = self.waiting.iter().filter(|(_, one)| now > one.since + within);
        let expired: Vec<u64> = expired.map(|(number, _)| *number).collect();
        self.waiting.retain(|number, _| !expired.contains(number));
        expired
    }

    /// A store has answered: the order's number with its outcome. An answer to an earlier sending, or one that came on
    /// another connection, belongs to no order.
    pub fn done(
        &mut self,
        now: Millis,
        from: StoreConnection,
        call: u64,
        outcome: Outcome,
    ) -> Option<(u64, Outcome)> {
        let answered = Some(Sent { to: from, call });
        let (number, one) = self.waiting.iter_mut().find(|(_, one)| one.sent == answered)?;
        if outcome == Outcome::NotLeader {
            (one.sent, one.not_before) = (None, now + RETRY_AFTER);
            return None;
        }
        let number = *number;
        self.waiting.remove(&number);
        Some((number, outcome))
    }

    /// A connection to a store has ended: its answers will not come.
    pub fn lost(&mut self, connection: StoreConnection) {
        for one in self.waiting.values_mut() {
            if one.sent.is_some_and(|sent| sent.to == connection) {
                one.sent = None;
            }
        }
    }
}
