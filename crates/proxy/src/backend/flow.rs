//! The rest of an answer that is too large to be held, on its way from the backend's connection to the client's.

use super::reader::Reader;
use crate::state::Proxy;
use bytes::{Bytes, BytesMut};
use http_body_util::channel::Sender;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};
use violetyoke_transport::net::Stream;

/// A connection on which the rest of an answer is due.
pub struct Flow {
    pub(super) reader: Reader,
    pub(super) stream: Stream,
    pub(super) buffer: BytesMut,
    pub(super) keep: bool,
    pub(super) keep_for: Option<Duration>,
    /// When nobody waits any more.
    pub(super) until: Instant,
    pub(super) id: String,
    pub(super) service: String,
}

impl Flow {
    /// Passes the rest on. An answer that ends early is broken off, so that it does not look complete.
    pub async fn pass(mut self, proxy: Rc<Proxy>, mut to: Sender<Bytes, io::Error>) {
        let until = self.until;
        match timeout_at(until, self.run(&mut to)).await {
            Ok(Ok(())) if self.keep && self.buffer.is_empty() => {
                let most = proxy.backends.max_connections(&self.service);
                let Flow { id, stream, buffer, keep_for, .. } = self;
                proxy.pools.borrow_mut().give(&id, stream, buffer, keep_for, most);
            }
            Ok(Ok(())) => {}
            Ok(Err(error)) => to.abort(error),
            Err(_) => to.abort(io::ErrorKind::TimedOut.into()),
        }
    }

    async fn run(&mut self, to: &mut Sender<Bytes, io::Error>) -> io::Result<()> {
        while let Some(piece) = self.reader.next(&mut self.stream, &mut self.buffer).await? {
            to.send_data(piece).await.map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        }
        Ok(())
    }
}
