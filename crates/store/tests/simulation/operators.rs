//! Actions of an operator: send a configuration until it is acknowledged, read it back, find the leader.

use super::{Cluster, Millis};
use violetyoke_store::consensus::{ClientId, Replica};
use violetyoke_transport::messages::{Command, Epoch};

/// Interval at which an operator repeats a command to all stores.
const RETRY_INTERVAL: Millis = 100;

/// The configuration that tests send under a version.
pub fn replace(version: u64) -> Command {
    Command::Replace { version, text: format!("configuration {version}") }
}

impl Cluster {
    pub fn submit_replace(&mut self, n: usize, version: u64) -> ClientId {
        self.submit(n, replace(version))
    }

    /// Sends a configuration to all stores repeatedly until one acknowledges it. Returns whether that happened within
    /// the time-out.
    #[must_use]
    pub fn replace_until_acknowledged(&mut self, version: u64, timeout: Millis) -> bool {
        let deadline = self.now + timeout;
        while self.now < deadline && self.acknowledged_version < version {
            for n in 0..self.machines.len() {
                self.submit_replace(n, version);
            }
            self.run_for(RETRY_INTERVAL);
        }
        self.acknowledged_version >= version
    }

    /// Reads from all stores repeatedly until one answers. Returns whether that happened within the time-out.
    #[must_use]
    pub fn read_until_answered(&mut self, timeout: Millis) -> bool {
        let deadline = self.now + timeout;
        let read_count = self.read_count;
        while self.now < deadline && self.read_count == read_count {
            for n in 0..self.machines.len() {
                self.submit(n, Command::Read);
            }
            self.run_for(RETRY_INTERVAL);
        }
        self.read_count > read_count
    }

    /// The machine whose store leads; the one with the highest epoch if there are several.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |n: &usize| self.machines[*n].replica.as_ref().is_some_and(Replica::is_leader);
        let epoch = |n: &usize| self.machines[*n].replica.as_ref().map_or(Epoch::default(), Replica::epoch);
        (0..self.machines.len()).filter(is_leader).max_by_key(epoch)
    }
}
