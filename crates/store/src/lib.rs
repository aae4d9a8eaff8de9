//! The store of configuration: a replicated register of the control state, one process on each core machine.
//!
//! Operators' commands reach the leader through the registries; once a command is acknowledged, its effect survives the
//! loss of as many machines as the settings tolerate. The store doesn't interpret configurations. Proxies don't connect
//! to it: registries distribute the committed state to them.
//!
//! - [`consensus`] is the consensus core, which does no I/O: [`consensus::Replica`] turns events into effects.
//! - [`operations`] replicates the records of requests with idempotency keys, under the epochs of the consensus core.
//! - [`disk`] stores the durable state of a replica ([`disk::SlotStorage`]) and the operation records.
//! - [`daemon`] is the process: it connects these parts with the network, the clock and the disk ([`daemon::run`]).
//!
//! A single voter becomes the leader as soon as its writes are on its disk:
//!
//! ```
//! use violetyoke_store::consensus::{DurableState, Effect, Event, Replica, ReplicaOptions};
//! use violetyoke_transport::messages::StoreId;
//!
//! let ip = [127, 0, 0, 1].into();
//! let options = ReplicaOptions {
//!     ip,
//!     zone: "a".into(),
//!     seeds: vec![ip],
//!     fault_tolerance: 0,
//!     durable: DurableState::default(),
//!     new_disk_id: StoreId(7),
//!     is_bootstrap: true,
//! };
//! let mut replica = Replica::new(options, 1);
//! let mut events = vec![Event::Tick { disk_healthy: true }];
//! while let Some(event) = events.pop() {
//!     for effect in replica.handle(50, event) {
//!         if let Effect::Persist { number, .. } = effect {
//!             events.push(Event::Persisted(number));
//!         }
//!     }
//! }
//! assert!(replica.is_leader());
//! ```

pub mod consensus;
pub mod daemon;
pub mod disk;
pub mod operations;
