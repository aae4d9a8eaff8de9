//! The rest of a response that is too large to be buffered, forwarded as it arrives.
//!
//! Backpressure: the channel to the client's connection holds one chunk, so no more is read from the backend
//! until the client has received it.

use super::framing::BodyReader;
use super::keep_alive::KeepAliveTimeout;
use super::pool::Connection;
use crate::state::Proxy;
use bytes::Bytes;
use http_body_util::channel::Sender;
use std::io;
use tokio::time::{timeout_at, Instant};

/// A connection from which the rest of a response is read.
pub(crate) struct ResponseStream {
    pub(super) reader: BodyReader,
    pub(super) connection: Connection,
    pub(super) is_reusable: bool,
    pub(super) keep_alive: Option<KeepAliveTimeout>,
    /// When the time-out of the client or of the route expires.
    pub(super) deadline: Instant,
    pub(super) backend_id: String,
    pub(super) service: String,
}

impl ResponseStream {
    /// Forwards the rest. If the backend's response ends early, the client's response is aborted too, so that
    /// it does not look complete.
    pub(crate) async fn forward(mut self, proxy: &Proxy, mut client: Sender<Bytes, io::Error>) {
        match timeout_at(self.deadline, self.copy_to(&mut client)).await {
            Ok(Ok(())) => self.release(proxy),
            Ok(Err(error)) => client.abort(error),
            Err(_) => client.abort(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn copy_to(&mut self, client: &mut Sender<Bytes, io::Error>) -> io::Result<()> {
        let Connection { stream, buffer } = &mut self.connection;
        while let Some(data) = self.reader.next(stream, buffer).await? {
            client.send_data(data).await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        }
        Ok(())
    }

    /// Returns the connection to the pool, unless bytes have arrived that belong to no request.
    fn release(self, proxy: &Proxy) {
        if self.is_reusable && self.connection.buffer.is_empty() {
            let max_connections = proxy.backends.max_connections(&self.service);
            let pool = &proxy.connection_pool;
            pool.release(&self.backend_id, self.connection, self.keep_alive, max_connections);
        }
    }
}
