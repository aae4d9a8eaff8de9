//! Faults of the network between owners and the control plane.

use super::{FaultInjector, Outcome};
use crate::link::{Direction, Impairment};
use std::thread::sleep;
use std::time::Instant;

impl FaultInjector<'_> {
    /// Nothing passes in one direction between the owner and the control plane.
    pub(super) fn hold_control_link(&mut self, shard: u32, direction: Direction) -> Outcome {
        let shard = self.probe_shard(shard);
        let Some(owner) = self.fleet.owner(&shard) else { return Outcome::not_injected("no owner") };
        let since = Instant::now();
        self.fleet.ingresses[owner.ingress].control_link.hold(direction);
        Outcome::hit(self.recovery(&shard, owner.epoch, since))
    }

    /// Responses are held while calls still pass, for about a third of a lease; then calls are held too, and all responses
    /// arrive together shortly before the lease expires.
    pub(super) fn delay_responses(&mut self, shard: u32) -> Outcome {
        let shard = self.probe_shard(shard);
        let Some(owner) = self.fleet.owner(&shard) else { return Outcome::not_injected("no owner") };
        let link = self.fleet.ingresses[owner.ingress].control_link.clone();
        let lease = self.settings.lease;
        let since = Instant::now();
        link.hold(Direction::ToClient);
        sleep(lease.mul_f64(0.35));
        let hit = link.held_chunks(Direction::ToClient) > 0;
        link.hold(Direction::ToServer);
        sleep(lease.mul_f64(0.25));
        link.impair(Direction::ToClient, Impairment::default());
        let recovered_after = self.recovery(&shard, owner.epoch, since);
        // An owner that wrongly counts its lease from the responses would go on for this long.
        sleep(lease);
        Outcome { hit, ..Outcome::hit(recovered_after) }
    }

    /// Each call to the control plane takes nine tenths of a lease, for three leases.
    pub(super) fn slow_control_link(&mut self, shard: u32) -> Outcome {
        let shard = self.probe_shard(shard);
        let Some(owner) = self.fleet.owner(&shard) else { return Outcome::not_injected("no owner") };
        let lease = self.settings.lease;
        let impairment = Impairment { delay: lease.mul_f64(0.45), ..Impairment::default() };
        let link = &self.fleet.ingresses[owner.ingress].control_link;
        link.impair(Direction::ToServer, impairment);
        link.impair(Direction::ToClient, impairment);
        sleep(lease * 3);
        Outcome::hit(None)
    }

    /// All ingresses are cut off from the control plane for two leases.
    pub(super) fn cut_all(&mut self) -> Outcome {
        let shard = self.report_shard(0);
        let Some(owner) = self.fleet.owner(&shard) else { return Outcome::not_injected("no owner") };
        self.fleet.ingresses.iter().for_each(|ingress| ingress.control_link.cut());
        sleep(self.settings.lease * 2);
        self.fleet.ingresses.iter().for_each(|ingress| ingress.control_link.reconnect());
        Outcome::hit(self.recovery(&shard, owner.epoch, Instant::now()))
    }
}
