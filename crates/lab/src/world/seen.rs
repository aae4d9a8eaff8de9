//! What the oracle sees: all of the world at once.

use super::*;

impl World<'_> {
    pub(crate) fn policy(&self) -> Policy {
        self.policy
    }

    pub(crate) fn now(&self) -> Micros {
        self.now
    }

    pub(crate) fn effect(&self, request: RequestId) -> Idempotency {
        let class = self.tries.get(&request).map(|held| usize::from(held.coming.demanded.class));
        class.map_or(Idempotency::AtMostOnce, |class| self.experiment.classes[class].class.idempotency)
    }

    pub(crate) fn coin(&mut self, part: f64) -> bool {
        self.random_rng.random::<f64>() < part
    }

    pub(crate) fn draw(&mut self, nodes: &[usize]) -> Option<usize> {
        (!nodes.is_empty()).then(|| nodes[self.random_rng.random_range(0..nodes.len())])
    }

    pub(crate) fn oracle_has_room(&mut self, request: RequestId) -> bool {
        let Some(held) = self.tries.get(&request) else { return false };
        let oracle = self.accounts[held.coming.demanded.account].oracle.as_mut();
        oracle.is_none_or(|quota| quota.has(self.now, held.coming.demanded.units))
    }

    pub(crate) fn oracle_spends(&mut self, request: RequestId) {
        let Some(held) = self.tries.get(&request) else { return };
        let demanded = &held.coming.demanded;
        if let Some(quota) = self.accounts[demanded.account].oracle.as_mut() {
            quota.take(self.now, demanded.units);
        }
    }

    /// The node that is soonest done with a try, in time and not pushed over; kept connections save a handshake.
    pub(crate) fn best_node(
        &self,
        ingress: usize,
        request: RequestId,
        pressure: f64,
        kept: &[bool],
    ) -> Option<usize> {
        let held = self.tries.get(&request)?;
        let (demanded, zone) = (&held.coming.demanded, self.ingresses[ingress].zone);
        let aim = self.experiment.classes[usize::from(demanded.class)].class.latency_target;
        let links = &self.experiment.links;
        let left = (held.arrived + aim).saturating_sub(self.now) as f64;
        let serves = |place: &usize| {
            let node = &self.nodes[*place];
            node.is_serving()
                && node.failure_share < 0.5
                && !self.apart(zone, node.zone)
                && node.pressure(self.now, demanded.work, &self.node_settings) <= pressure
                && (node.connections < self.node_settings.connections
                    || kept.get(*place).copied().unwrap_or(false))
        };
        let takes = |place: usize| {
            let node = &self.nodes[place];
            let way = links.delay + if node.zone == zone { 0 } else { links.cross_zone_delay };
            let shaken = if kept.get(place).copied().unwrap_or(false) {
                0
            } else {
                3 * way + self.node_settings.handshake
            };
            let work = node.expected_time(self.now, demanded.work, self.mean_work, &self.node_settings);
            work + (3 * way + shaken) as f64
        };
        let all = (0..self.nodes.len()).filter(serves).map(|place| (takes(place), place));
        all.min_by(|one, other| one.0.total_cmp(&other.0))
            .filter(|(takes, _)| *takes <= left)
            .map(|(_, place)| place)
    }
}
