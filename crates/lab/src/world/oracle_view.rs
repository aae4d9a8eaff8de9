//! The view of the reference policies, which see the state of the whole world.

use super::*;

impl World<'_> {
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    pub(crate) fn now(&self) -> Micros {
        self.now
    }

    pub(crate) fn idempotency_of(&self, request: RequestId) -> Idempotency {
        let class = self.tries.get(&request).map(|pending| usize::from(pending.planned.demanded.class));
        class.map_or(Idempotency::AtMostOnce, |class| self.experiment.classes[class].class.idempotency)
    }

    pub(crate) fn random_choice(&mut self, part: f64) -> bool {
        self.random_rng.random::<f64>() < part
    }

    pub(crate) fn random_node(&mut self, nodes: &[usize]) -> Option<usize> {
        (!nodes.is_empty()).then(|| nodes[self.random_rng.random_range(0..nodes.len())])
    }

    pub(crate) fn oracle_quota_allows(&mut self, request: RequestId) -> bool {
        let Some(pending) = self.tries.get(&request) else { return false };
        let oracle = self.accounts[pending.planned.demanded.account].oracle.as_mut();
        oracle.is_none_or(|quota| quota.has(self.now, pending.planned.demanded.units))
    }

    pub(crate) fn oracle_takes_quota(&mut self, request: RequestId) {
        let Some(pending) = self.tries.get(&request) else { return };
        let demanded = &pending.planned.demanded;
        if let Some(quota) = self.accounts[demanded.account].oracle.as_mut() {
            quota.take(self.now, demanded.units);
        }
    }

    /// The node that completes a try first, among nodes that meet the latency target and that the try doesn't overload.
    /// Kept connections save a handshake.
    pub(crate) fn best_node(
        &self,
        ingress: usize,
        request: RequestId,
        pressure: f64,
        kept: &[bool],
    ) -> Option<usize> {
        let pending = self.tries.get(&request)?;
        let (demanded, zone) = (&pending.planned.demanded, self.ingresses[ingress].zone);
        let latency_target = self.experiment.classes[usize::from(demanded.class)].class.latency_target;
        let links = &self.experiment.links;
        let left = (pending.arrived + latency_target).saturating_sub(self.now) as f64;
        let serves = |node_index: &usize| {
            let node = &self.nodes[*node_index];
            node.is_serving()
                && node.failure_share < 0.5
                && !self.is_partitioned(zone, node.zone)
                && node.pressure(self.now, demanded.work, &self.node_settings) <= pressure
                && (node.connections < self.node_settings.connections
                    || kept.get(*node_index).copied().unwrap_or(false))
        };
        let expected_time = |node_index: usize| {
            let node = &self.nodes[node_index];
            let delay = links.delay + if node.zone == zone { 0 } else { links.cross_zone_delay };
            let handshake = if kept.get(node_index).copied().unwrap_or(false) {
                0
            } else {
                3 * delay + self.node_settings.handshake
            };
            let work = node.expected_time(self.now, demanded.work, self.mean_work, &self.node_settings);
            work + (3 * delay + handshake) as f64
        };
        let all =
            (0..self.nodes.len()).filter(serves).map(|node_index| (expected_time(node_index), node_index));
        all.min_by(|one, other| one.0.total_cmp(&other.0))
            .filter(|(expected_time, _)| *expected_time <= left)
            .map(|(_, node_index)| node_index)
    }
}
