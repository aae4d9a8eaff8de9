//! The decision module behind the simulator's wire: the program `nettlehub-drill` reads batches from its standard input and
//! writes one reply each to its standard output.
//!
//! - [`Decoder`] decodes a [`Batch`] into inputs of instances, with the types of [`violetyoke_decision::interface`].
//! - [`encode_reply`] encodes the actions of the instances.
//! - [`run`] hosts many instances, which share nothing.
//!
//! Nothing is decided here. The wire is the simulator's and does not change; the program keeps its old name, by which
//! `deploy/balancer.toml` starts it.

mod batch;
mod drill;
mod error;
mod event;
mod record;
mod reply;

pub use batch::{Batch, BatchHeader, Decoder, Input, InstanceInput, BATCH_HEADER_BYTES};
pub use drill::run;
pub use error::WireError;
pub use reply::{encode_reply, InstanceActions};
