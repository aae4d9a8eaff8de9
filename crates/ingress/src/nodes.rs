//! The source of a pool's nodes: a static list in the settings file, or discovery.

use crate::discovery::{self, Phase, Target, TargetList};
use crate::poll_schedule::PollSchedule;
use crate::running::RunningPool;
use crate::task_scheduler::TaskSets;
use crate::tasks::TaskSet;
use crate::Message;
use std::hash::{BuildHasher, Hasher, RandomState};
use violetyoke_config::{self as file, Nodes};

/// Sends the nodes to the pool's driver: a static list once, or the lists of discovery from now on. Replaces the earlier
/// source.
pub fn watch_nodes(run: &mut RunningPool, sets: &TaskSets, set: &TaskSet) {
    if let Some(discovery_task) = run.discovery_task.take() {
        discovery_task.abort();
    }
    match &run.config.nodes {
        Nodes::Discovery(address) => {
            let messages = run.pool.messages();
            // A random seed, so that processes that poll the same discovery service have different pauses.
            let schedule = PollSchedule::new(None, 1, RandomState::new().build_hasher().finish());
            run.discovery_task =
                Some(sets.spawn(set, discovery::watch_targets(schedule, *address, messages)));
        }
        nodes => {
            run.pool.send(Message::Targets(static_target_list(nodes, run.revision)));
        }
    }
}

/// The static list of the settings file; an empty list if the nodes come from discovery.
pub fn static_target_list(nodes: &Nodes, revision: u64) -> TargetList {
    let Nodes::Static(nodes) = nodes else { return TargetList::default() };
    let target = |node: &file::Node| Target {
        id: node.id.clone(),
        host_port: node.address,
        locality: node.zone.clone(),
        flavor: String::new(),
        cell: 0,
        phase: if node.draining { Phase::Terminating } else { Phase::InService },
        size: node.size,
        up_since_ms: 0,
    };
    TargetList { revision, complete: true, members: nodes.iter().map(target).collect(), cached: false }
}
