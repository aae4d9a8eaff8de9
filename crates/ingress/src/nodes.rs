//! Where a pool's nodes come from: the file's own list, or a discovery that is watched.

use crate::discovery::{self, Phase, Target, TargetList};
use crate::running::RunningPool;
use crate::sets::Sets;
use crate::tasks::TaskSet;
use crate::watch::Watch;
use crate::Message;
use std::hash::{BuildHasher, Hasher, RandomState};
use violetyoke_config::{self as file, Nodes};

/// Tells the driver of a static list, or has a discovery watched from now on.
pub fn watch_nodes(run: &mut RunningPool, sets: &Sets, set: &TaskSet) {
    if let Some(watch) = run.watch.take() {
        watch.abort();
    }
    match &run.config.nodes {
        Nodes::Discovery(address) => {
            let messages = run.pool.messages();
            // Many processes may watch one discovery: each draws its own pauses.
            let watch = Watch::new(None, 1, RandomState::new().build_hasher().finish());
            run.watch = Some(sets.spawn(set, discovery::keep(watch, *address, messages)));
        }
        nodes => {
            run.pool.send(Message::Targets(list(nodes, run.revision)));
        }
    }
}

pub fn list(nodes: &Nodes, revision: u64) -> TargetList {
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
