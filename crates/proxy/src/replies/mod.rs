//! Outstanding replies of registries to requests of this proxy, and their time-outs.

mod pending;
mod round_trip;

pub(crate) use pending::PendingReplies;
pub(crate) use round_trip::RoundTripEstimate;
