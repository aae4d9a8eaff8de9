//! What an operator does: insists, reads back, looks who leads.

use super::Cluster;
use violetyoke_transport::messages::Command;

pub fn replace(cluster: &mut Cluster, n: usize, version: u64) {
    cluster.order(n, Command::Replace { version, text: format!("configuration {version}") });
}

/// Sends one configuration after the other to all stores until one acknowledges it, for so long.
pub fn insist(cluster: &mut Cluster, version: u64, within: u64) -> bool {
    let until = cluster.now + within;
    while cluster.now < until && cluster.acked < version {
        for n in 0..cluster.machines.len() {
            replace(cluster, n, version);
        }
        cluster.run(cluster.now + 100);
    }
    cluster.acked >= version
}

/// Reads at all stores until one answers.
pub fn read_back(cluster: &mut Cluster, within: u64) -> bool {
    let until = cluster.now + within;
    let reads = cluster.reads;
    while cluster.now < until && cluster.reads == reads {
        for n in 0..cluster.machines.len() {
            cluster.order(n, Command::Read);
        }
        cluster.run(cluster.now + 100);
    }
    cluster.reads > reads
}

pub fn primary(cluster: &Cluster) -> Option<usize> {
    let active = |n: &usize| cluster.machines[*n].replica.as_ref().is_some_and(|replica| replica.is_leader());
    let epoch = |n: &usize| cluster.machines[*n].replica.as_ref().map_or(0, |replica| replica.epoch());
    (0..cluster.machines.len()).filter(active).max_by_key(epoch)
}
