//! The consensus core: a replicated register that holds one control state.
//!
//! [`Replica`] does no I/O and reads no clock: its owner passes it [`Event`]s and carries out the [`Effect`]s that it
//! returns. There is no log: the state is small and is always replicated completely, by primary-backup replication
//! under replica sets that are chosen as in Vertical Paxos (Lamport, Malkhi and Zhou, "Vertical Paxos and
//! Primary-Backup Replication", 2009); the voters themselves agree on a replica set by the two phases of Paxos
//! (Lamport, "Paxos Made Simple", 2001).
//!
//! - A replica set (`ReplicaConfig`) has an epoch, a list of voters and a list of data replicas; the first data replica
//!   is the leader. The other data replicas are its backups, voters that hold no data are witnesses, and stores that
//!   are not voters are learners.
//! - A replica set is installed once all its data replicas have the state on their disks, and it has been accepted by
//!   a majority of its voters and by a majority of the voters of each earlier set that may not be installed. Data
//!   replicas are more than half of the voters, so that every majority contains one.
//! - A voter that has promised an epoch accepts no message of a lower epoch. The receiver checks this for each message.
//! - A command is acknowledged when all data replicas have its result on their disks.
//! - A voter is identified by its disk, not by its machine: a store that restarts with an empty disk is a learner,
//!   which the leader can make a voter.
//!
//! The modules here contain the parts of the state, each with the methods that need no other part; `replica` has the
//! event handlers, one module for each concern.

mod commands;
mod durable;
mod event;
mod outbox;
mod peers;
mod quorum;
mod replica;
mod role;
mod safety_checks;
mod snapshots;
mod state_machine;
mod timers;

pub use durable::DurableState;
pub use event::{ClientId, Effect, EpochRejection, Event, Millis, ReplicaOptions, WriteNumber};
pub(crate) use quorum::is_majority;
pub use replica::Replica;
#[doc(hidden)]
pub use safety_checks::SafetyChecks;

pub use violetyoke_transport::messages::{Epoch, StoreId};
