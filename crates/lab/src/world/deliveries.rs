//! What ingresses receive: lists of nodes and messages of other ingresses.

use super::*;

impl World<'_> {
    /// The state of a node has changed: every ingress receives the change after a random delay.
    pub(super) fn announce_node(&mut self, node: usize) {
        for ingress in 0..self.ingresses.len() {
            let delay = self.links_rng.random_range(self.experiment.discovery.clone());
            let epoch = self.ingresses[ingress].epoch;
            self.events.schedule(self.now + delay, WorldEvent::ListUpdate { ingress, epoch, node });
        }
    }

    pub(super) fn on_list_update(&mut self, ingress: usize, epoch: u32, node: usize) {
        if self.ingresses[ingress].epoch != epoch || !self.ingresses[ingress].is_up() {
            return;
        }
        let blocked_until = self.network_faults.discovery[ingress].max(self.network_faults.lists_stopped);
        if self.now < blocked_until {
            let delay = self.links_rng.random_range(self.experiment.discovery.clone());
            return self
                .events
                .schedule(blocked_until + delay, WorldEvent::ListUpdate { ingress, epoch, node });
        }
        self.outcome.lists += u64::from(self.is_measuring());
        self.send_list(ingress, ListKind::Delta, &[node]);
    }

    /// Sends an ingress the current state of nodes.
    pub(super) fn send_list(&mut self, ingress: usize, kind: ListKind, nodes: &[usize]) {
        let (now, hides_drains) = (self.now, self.injected_defect == Some(InjectedDefect::HiddenDrains));
        let adapter = self.ingresses[ingress].adapter();
        let mut entries = Vec::with_capacity(nodes.len());
        for node_index in nodes {
            let node = &self.nodes[*node_index];
            let condition = match node {
                Node { is_removed: true, .. } if !hides_drains => Condition::Gone,
                Node { is_draining: true, .. } if !hides_drains => Condition::Draining,
                _ => Condition::Ready,
            };
            let id = adapter.number(&node.name, *node_index);
            adapter.connections_to(*node_index).accepting = condition == Condition::Ready;
            entries.push(BackendEntry {
                id,
                zone: node.zone,
                kind: 0,
                cell: 0,
                condition,
                weight: 1.0,
                started_at: node.started_at,
            });
            self.checker.on_listed(now, ingress, *node_index, !node.is_draining && !node.is_removed);
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
        self.outcome.messages += u64::from(self.is_measuring());
        let (one, other) = (self.ingresses[from].zone, self.ingresses[to].zone);
        let is_cut_off = self.now < self.network_faults.peers[from].max(self.network_faults.peers[to])
            || self.is_partitioned(one, other);
        let loss = if self.now < self.network_faults.loss.1 {
            self.network_faults.loss.0
        } else {
            self.experiment.links.message_loss
        };
        if is_cut_off || (loss > 0.0 && self.links_rng.random::<f64>() < loss) {
            return;
        }
        let delay = self.experiment.links.message_delay + self.link_delay(one, other);
        self.events.schedule(self.now + delay, WorldEvent::MessageArrives { to, from, data });
    }

    pub(super) fn on_peer_message(&mut self, to: usize, from: usize, data: Vec<u8>) {
        let intake = self.experiment.settings.limits.peer_message_rate;
        if !self.ingresses[to].is_up() {
            return;
        }
        if !self.ingresses[to].accepts_message(self.now, intake) {
            self.outcome.messages_dropped += u64::from(self.is_measuring());
            return;
        }
        self.drive(to, |exchange, _| exchange.enqueue(Event::PeerMessage { from: from as u32, data }));
    }
}
