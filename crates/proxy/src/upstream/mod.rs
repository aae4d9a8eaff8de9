//! Connections to backends: one request at a time on each, kept for the next while the backend keeps them open.

mod attempt;
mod error;
mod exchange;
mod framing;
mod pool;
mod preconnect;
mod request;
mod response;
mod streaming;

pub(crate) use attempt::{send, AttemptResponse};
pub(crate) use error::AttemptError;
pub(crate) use pool::ConnectionPool;
pub(crate) use preconnect::preconnect;
pub(crate) use request::AttemptRequest;
pub(crate) use response::UpstreamResponse;
pub(crate) use streaming::ResponseStream;
