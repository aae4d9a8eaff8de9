//! A request's body: held whole where it is small, so that it can be sent again; else its beginning, and the rest as it
//! comes, once.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::cell::{Cell, RefCell};
use std::io;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Bodies up to this are held whole (bytes).
pub const HELD: usize = 64 << 10;

/// Why a body could not be taken from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unusable {
    TooLarge,
    Broken,
}

/// Why the rest of a body did not reach a backend.
#[derive(Debug)]
pub enum Stopped {
    Client,
    Backend,
}

#[derive(Debug)]
pub struct Body {
    first: Bytes,
    /// Bytes in all, where that is known beforehand.
    length: Option<u64>,
    rest: RefCell<Option<Rest>>,
    flows: bool,
    unusable: Cell<Option<Unusable>>,
}

#[derive(Debug)]
struct Rest {
    incoming: Incoming,
    /// So many more bytes are taken.
    most: u64,
}

impl Rest {
    async fn next(&mut self) -> Result<Option<Bytes>, Unusable> {
        while let Some(frame) = self.incoming.frame().await {
            // Trailers are nobody's concern but the connection's.
            let Ok(data) = frame.map_err(|_| Unusable::Broken)?.into_data() else { continue };
            self.most = self.most.checked_sub(data.len() as u64).ok_or(Unusable::TooLarge)?;
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

impl Body {
    /// Takes a body from a client, of at most so many bytes.
    pub async fn take(incoming: Incoming, most: u64) -> Result<Body, Unusable> {
        let length = incoming.size_hint().exact();
        if length.is_some_and(|length| length > most) {
            return Err(Unusable::TooLarge);
        }
        let mut rest = Rest { incoming, most };
        let mut first = BytesMut::new();
        let mut whole = false;
        while first.len() <= HELD {
            match rest.next().await? {
                Some(data) => first.extend_from_slice(&data),
                None => {
                    whole = true;
                    break;
                }
            }
        }
        let length = if whole { Some(first.len() as u64) } else { length };
        let rest = RefCell::new((!whole).then_some(rest));
        Ok(Body { first: first.freeze(), length, rest, flows: !whole, unusable: Cell::new(None) })
    }

    /// Bytes in all; none: they come in chunks.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// It is too large to be held, so that it can be sent once only.
    pub fn flows(&self) -> bool {
        self.flows
    }

    /// It has been sent as far as it came: there is nothing left for another backend.
    pub fn spent(&self) -> bool {
        self.flows && self.rest.borrow().is_none()
    }

    /// What was wrong with what came after the beginning.
    pub fn unusable(&self) -> Option<Unusable> {
        self.unusable.get()
    }

    /// What is sent along with the head.
    pub fn beginning(&self, out: &mut BytesMut) {
        if self.length.is_some() {
            out.extend_from_slice(&self.first);
        } else {
            out.extend_from_slice(format!("{:x}\r\n", self.first.len()).as_bytes());
            out.extend_from_slice(&self.first);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Sends what comes after the beginning, once. A client that breaks off leaves the backend with a part that can't be
    /// taken for a whole.
    pub async fn send_rest(&self, writer: &mut (impl AsyncWrite + Unpin)) -> Result<(), Stopped> {
        let Some(mut rest) = self.rest.borrow_mut().take() else { return Ok(()) };
        loop {
            let next = rest.next().await.map_err(|why| {
                self.unusable.set(Some(why));
                Stopped::Client
            })?;
            let sent = match (next, self.length) {
                (Some(data), Some(_)) => writer.write_all(&data).await,
                (Some(data), None) => chunk(writer, &data).await,
                (None, Some(_)) => return Ok(()),
                (None, None) => return writer.write_all(b"0\r\n\r\n").await.map_err(|_| Stopped::Backend),
            };
            sent.map_err(|_| Stopped::Backend)?;
        }
    }
}

async fn chunk(writer: &mut (impl AsyncWrite + Unpin), data: &[u8]) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n", data.len()).as_bytes()).await?;
    writer.write_all(data).await?;
    writer.write_all(b"\r\n").await
}
