//! A store's data on disk: its durable state, and the records of operations.
//!
//! The durable state is in two slots, each of which contains a complete state, its write number and a checksum.
//!
//! Each write replaces the slot with the older state and is synced before it is reported as complete, so a torn write
//! leaves the newer state intact. At a start, the slots are synced before their states are used: a process that died
//! before its sync may have left bytes that the next loss of power removes. Slots are used rather than a log
//! (docs/design/system.md) because the state is small, and after a loss of power the tail of a log would have to be
//! trusted.
//!
//! [`SlotStorage`] reads and writes the slots of a folder; `slot` has their format. Operation records are many, small
//! and needed for a bounded time, so they are in a log instead: [`operation_log`].

mod folder;
pub mod operation_log;
mod slot;
mod storage;

pub use folder::{inspect, inspect_slot, SlotFolder};
pub use slot::{decode_slot, encode_slot, EncodeError, SlotContents, SlotCursor};
pub use storage::{SlotFiles, SlotStorage, WriteError};
