//! What ingresses hear: lists of nodes, and one another.

use super::*;

impl World<'_> {
    /// A node stands otherwise than before: every ingress hears of it in its own time.
    pub(super) fn announce(&mut self, node: usize) {
        for ingress in 0..self.ingresses.len() {
            let delay = self.links_rng.random_range(self.experiment.discovery.clone());
            let epoch = self.ingresses[ingress].epoch;
            self.events.schedule(self.now + delay, Happens::Listed { ingress, epoch, node });
        }
    }

    pub(super) fn listed(&mut self, ingress: usize, epoch: u32, node: usize) {
        if self.ingresses[ingress].epoch != epoch || !self.ingresses[ingress].up() {
            return;
        }
        let deaf = self.cuts.discovery[ingress].max(self.cuts.lists_stopped);
        if self.now < deaf {
            let delay = self.links_rng.random_range(self.experiment.discovery.clone());
            return self.events.schedule(deaf + delay, Happens::Listed { ingress, epoch, node });
        }
        self.outcome.lists += u64::from(self.counts());
        self.tell_nodes(ingress, ListKind::Delta, &[node]);
    }

    /// Tells an ingress how nodes stand now.
    pub(super) fn tell_nodes(&mut self, ingress: usize, kind: ListKind, nodes: &[usize]) {
        let (now, blind) = (self.now, self.sabotage == Some(Sabotage::BlindToDrains));
        let wires = self.ingresses[ingress].wires();
        let mut entries = Vec::with_capacity(nodes.len());
        for place in nodes {
            let node = &self.nodes[*place];
            let condition = match node {
                Node { is_removed: true, .. } if !blind => Condition::Gone,
                Node { is_draining: true, .. } if !blind => Condition::Draining,
                _ => Condition::Ready,
            };
            let id = wires.number(&node.name, *place);
            wires.line(*place).accepting = condition == Condition::Ready;
            entries.push(BackendEntry {
                id,
                zone: node.zone,
                kind: 0,
                cell: 0,
                condition,
                weight: 1.0,
                started_at: node.started_at,
            });
            self.checker.on_listed(now, ingress, *place, !node.is_draining && !node.is_removed);
        }
        self.drive(ingress, |exchange, _| {
            exchange.enqueue(Event::Backends { kind, version: now, entries });
        });
    }

    pub(super) fn send_message(&mut self, from: usize, to: Option<u16>, data: Vec<u8>) {
        match to {
            Some(to) => self.send_one(from, usize::from(to), data),
            None => {
                let others = (0..self.ingresses.len()).filter(|to| *to != from);
                others.for_each(|to| self.send_one(from, to, data.clone()));
            }
        }
    }

    fn send_one(&mut self, from: usize, to: usize, data: Vec<u8>) {
        if to >= self.ingresses.len() {
            return;
        }
        self.outcome.messages += u64::from(self.counts());
        let (one, other) = (self.ingresses[from].zone, self.ingresses[to].zone);
        let cut = self.now < self.cuts.peers[from].max(self.cuts.peers[to]) || self.apart(one, other);
        let loss =
            if self.now < self.cuts.loss.1 { self.cuts.loss.0 } else { self.experiment.links.message_loss };
        if cut || (loss > 0.0 && self.links_rng.random::<f64>() < loss) {
            return;
        }
        let way = self.experiment.links.message_delay + self.way(one, other);
        self.events.schedule(self.now + way, Happens::Message { to, from, data });
    }

    pub(super) fn message(&mut self, to: usize, from: usize, data: Vec<u8>) {
        let intake = self.experiment.settings.limits.peer_message_rate;
        if !self.ingresses[to].up() {
            return;
        }
        if !self.ingresses[to].takes_message(self.now, intake) {
            self.outcome.messages_dropped += u64::from(self.counts());
            return;
        }
        self.drive(to, |exchange, _| exchange.enqueue(Event::PeerMessage { from: from as u32, data }));
    }
}
