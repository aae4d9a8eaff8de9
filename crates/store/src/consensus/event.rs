//! Inputs and outputs of a replica.

use super::durable::DurableState;
use std::net::Ipv4Addr;
use violetyoke_transport::messages::{Command, Envelope, Epoch, Outcome, PeerMessage, StoreId};

/// Milliseconds of a monotonic clock with an arbitrary origin.
pub type Millis = u64;

/// Identifies one command, so that its reply can be routed to the sender. Unique in one run of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClientId(pub u64);

/// The number of a write that a replica requests from its disk: 1, 2, 3 and so on in one run of the replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WriteNumber(pub u64);

/// Another store rejects the records of the epoch that this store leads, because it has promised a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EpochRejection {
    /// The epoch of the records.
    pub epoch: Epoch,
    /// The higher epoch that the other store has promised.
    pub promised: Epoch,
}

/// Input of a replica.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message from another store. Messages may be lost, repeated and reordered.
    Message(Envelope),
    /// All writes up to and including this one are on the disk.
    Persisted(WriteNumber),
    /// Time has passed.
    Tick {
        /// Whether the disk completes its writes in time.
        disk_healthy: bool,
    },
    /// An operator's command.
    Command {
        /// Who gets the reply.
        client: ClientId,
        /// The command.
        command: Command,
    },
    /// The process is to end: the store hands over its leadership, data and vote. See
    /// [`Replica::is_handover_complete`](super::Replica::is_handover_complete).
    Shutdown,
}

/// Output of a replica. Effects have to be carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to another store. It may be lost: the replica repeats messages that it depends on.
    Send {
        /// The address of the other store.
        to: Ipv4Addr,
        /// The message.
        message: PeerMessage,
    },
    /// Persist a state, and report [`Event::Persisted`] with the same number once it is synced. A later write may
    /// replace an earlier one that has not started.
    Persist {
        /// The number of this write.
        number: WriteNumber,
        /// The state that has to survive a restart.
        state: DurableState,
    },
    /// Reply to a command. Each client gets one reply at most.
    Reply {
        /// Who sent the command.
        client: ClientId,
        /// The result of the command.
        outcome: Outcome,
    },
    /// The committed state, the role or the contact with the other data replicas has changed: notify the watchers.
    NotifyWatchers,
}

/// The parameters of a new replica.
#[derive(Clone, Debug)]
pub struct ReplicaOptions {
    /// The address of this store.
    pub ip: Ipv4Addr,
    /// The zone of this store; data replicas are spread over zones.
    pub zone: String,
    /// Addresses of the stores that are contacted first. On the first start of the system these stores are the voters.
    pub seeds: Vec<Ipv4Addr>,
    /// The number of machines that may be lost at the same time.
    pub fault_tolerance: u32,
    /// The state that an earlier run persisted; the default if the disk is empty.
    pub durable: DurableState,
    /// The id for the disk if it is empty: a random number.
    pub new_disk_id: StoreId,
    /// Whether an empty disk may mean that the system starts for the first time, rather than that a disk was replaced.
    pub is_bootstrap: bool,
}
