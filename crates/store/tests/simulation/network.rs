//! Links between machines: delays, blocked and slow links, and message loss by kind.

use super::random::Random;
use super::{Cluster, Millis};
use std::collections::{BTreeMap, BTreeSet};
use violetyoke_transport::messages::{Envelope, PeerMessage};

/// Upper bound (exclusive) on the delay of a message on a link that is not slow.
const MAX_DELAY: Millis = 4;

/// Delay and rate of the links of a slow machine.
#[derive(Clone, Copy, Debug)]
pub struct SlowLinks {
    pub delay: Millis,
    pub bytes_per_ms: u64,
}

/// Loss of messages on all links.
#[derive(Clone, Copy, Debug)]
pub struct MessageLoss {
    /// The variant name of the affected messages.
    pub kind: &'static str,
    pub percent: u64,
}

/// One direction between two machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link {
    pub from: usize,
    pub to: usize,
}

impl Link {
    fn touches(&self, machine: usize) -> bool {
        self.from == machine || self.to == machine
    }
}

/// The links between all machines.
pub struct Network {
    blocked: BTreeSet<Link>,
    slow: BTreeMap<usize, SlowLinks>,
    /// When each slow link has transmitted all earlier messages.
    busy_until: BTreeMap<Link, Millis>,
    pub loss: Option<MessageLoss>,
    /// A machine that receives no message of other leaders and candidates, so that it keeps its role.
    pub without_leader_messages: Option<usize>,
    /// Upper bound (exclusive) on the delay of a message; with 1, messages arrive at once.
    max_delay: Millis,
}

/// The name of a message's variant.
pub fn kind(message: &PeerMessage) -> String {
    let text = format!("{message:?}");
    text.chars().take_while(char::is_ascii_alphanumeric).collect()
}

/// Whether a message may reveal another leader or candidate: every message except a follower's heartbeat.
fn may_reveal_leader(message: &PeerMessage) -> bool {
    !matches!(message, PeerMessage::Heartbeat(heartbeat) if !heartbeat.is_leader)
}

impl Network {
    pub(super) fn new() -> Network {
        Network {
            blocked: BTreeSet::new(),
            slow: BTreeMap::new(),
            busy_until: BTreeMap::new(),
            loss: None,
            without_leader_messages: None,
            max_delay: MAX_DELAY,
        }
    }

    /// A network whose messages arrive at once.
    pub(super) fn without_delay() -> Network {
        Network { max_delay: 1, ..Network::new() }
    }

    pub(super) fn is_blocked(&self, link: Link) -> bool {
        self.blocked.contains(&link)
    }

    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert(Link { from, to });
    }

    /// Unblocks all links of a machine.
    pub fn unblock(&mut self, machine: usize) {
        self.blocked.retain(|link| !link.touches(machine));
    }

    /// Unblocks all links except those of a machine.
    pub fn unblock_others(&mut self, machine: usize) {
        self.blocked.retain(|link| link.touches(machine));
    }

    pub fn unblock_all(&mut self) {
        self.blocked.clear();
    }

    /// Blocks both directions between two machines.
    pub fn disconnect(&mut self, one: usize, other: usize) {
        self.block(one, other);
        self.block(other, one);
    }

    /// Unblocks both directions between two machines.
    pub fn connect(&mut self, one: usize, other: usize) {
        self.blocked.retain(|link| !(link.touches(one) && link.touches(other)));
    }

    /// Whether both directions are open.
    pub fn is_connected(&self, one: usize, other: usize) -> bool {
        let is_open = |from, to| !self.blocked.contains(&Link { from, to });
        one == other || (is_open(one, other) && is_open(other, one))
    }

    pub fn slow_down(&mut self, machine: usize, links: SlowLinks) {
        self.slow.insert(machine, links);
    }

    pub fn restore_speed(&mut self, machine: usize) {
        self.slow.remove(&machine);
        self.busy_until.retain(|link, _| !link.touches(machine));
    }

    /// Whether no link is slow and no messages are lost. Blocked links are not considered.
    pub fn is_healthy(&self) -> bool {
        self.slow.is_empty() && self.loss.is_none()
    }

    /// The arrival time of a message that is sent now; `None` if the message is lost.
    pub(super) fn arrival(
        &mut self,
        now: Millis,
        link: Link,
        envelope: &Envelope,
        random: &mut Random,
    ) -> Option<Millis> {
        let is_withheld =
            self.without_leader_messages == Some(link.to) && may_reveal_leader(&envelope.message);
        if self.blocked.contains(&link) || is_withheld {
            return None;
        }
        if let Some(loss) = self.loss {
            if kind(&envelope.message) == loss.kind && random.below(100) < loss.percent {
                return None;
            }
        }
        let slow = self.slow.get(&link.from).or(self.slow.get(&link.to)).copied();
        let Some(SlowLinks { delay, bytes_per_ms }) = slow else {
            return Some(now + random.below(self.max_delay));
        };
        let size = rmp_serde::to_vec(envelope).map_or(0, |bytes| bytes.len() as u64);
        let transmission_start = self.busy_until.get(&link).copied().unwrap_or(0).max(now);
        let transmission_end = transmission_start + size / bytes_per_ms.max(1);
        self.busy_until.insert(link, transmission_end);
        Some(transmission_end + delay + random.below(self.max_delay))
    }
}

impl Cluster {
    /// Blocks all messages from a machine.
    pub fn block_outbound(&mut self, n: usize) {
        for other in 0..self.machines.len() {
            self.network.block(n, other);
        }
    }

    /// Blocks all messages to a machine.
    pub fn block_inbound(&mut self, n: usize) {
        for other in 0..self.machines.len() {
            self.network.block(other, n);
        }
    }

    /// Partitions a machine from all others.
    pub fn isolate(&mut self, n: usize) {
        self.block_outbound(n);
        self.block_inbound(n);
    }
}
