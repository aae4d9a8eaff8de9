//! Adapter between the decision module and the simulator's protocol: the program `nettlehub-drill` reads
//! batches from its standard input and writes one reply for each batch to its standard output.
//!
//! - [`Decoder`] decodes a [`Batch`] into inputs of instances, with the types of [`violetyoke_decision::interface`].
//! - [`encode_reply`] encodes the actions of the instances.
//! - [`run`] hosts many instances of the decision module in one process. They share no state.
//!
//! This crate makes no decisions. The protocol belongs to the simulator and does not change, nor does the name
//! of the program, by which `deploy/balancer.toml` starts it.

mod batch;
mod error;
mod event;
mod host;
mod record;
mod reply;

pub use batch::{Batch, BatchHeader, Decoder, Input, InstanceInput, BATCH_HEADER_BYTES};
pub use error::WireError;
pub use host::run;
pub use reply::{encode_reply, InstanceActions};
