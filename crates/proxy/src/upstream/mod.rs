//! Connections to backends: each carries one request at a time and is reused while the backend keeps it open.

mod attempt;
mod error;
mod exchange;
mod framing;
mod keep_alive;
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
