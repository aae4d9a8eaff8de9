//! A request's body: buffered where it is small, so that it can be sent to a second backend; otherwise its beginning is
//! buffered, and the rest is streamed to one backend as it arrives.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::cell::{Cell, RefCell};
use std::io;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Bodies up to this size are buffered (bytes).
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Why a body could not be read from a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is larger than the configuration allows")]
    TooLarge,
    #[error("the client ended the body early, or its framing is invalid")]
    Incomplete,
}

/// Why the rest of a body did not reach a backend.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    #[error("the body could not be read from the client")]
    Client(#[source] BodyError),
    #[error("the connection to the backend failed")]
    Backend(#[source] io::Error),
}

/// The body of a client's request.
#[derive(Debug)]
pub(crate) struct RequestBody {
    /// All of the body where it is buffered, else its beginning.
    beginning: Bytes,
    /// Size of the whole body (bytes), where it is known beforehand.
    length: Option<u64>,
    /// What the client still sends; taken by the first attempt that gets so far.
    rest: RefCell<Option<LimitedBody>>,
    is_streamed: bool,
    /// What was wrong with the rest.
    error: Cell<Option<BodyError>>,
}

/// A body from which at most so many more bytes are taken.
#[derive(Debug)]
struct LimitedBody {
    incoming: Incoming,
    bytes_left: u64,
}

impl LimitedBody {
    /// The next bytes; `None` at the end of the body. Trailers are dropped.
    async fn next(&mut self) -> Result<Option<Bytes>, BodyError> {
        while let Some(frame) = self.incoming.frame().await {
            let Ok(data) = frame.map_err(|_| BodyError::Incomplete)?.into_data() else { continue };
            self.bytes_left = self.bytes_left.checked_sub(data.len() as u64).ok_or(BodyError::TooLarge)?;
            if !data.is_empty() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

impl RequestBody {
    /// Reads a body from a client, up to its end or to more than [`MAX_BUFFERED_BYTES`]; it may be of `max_bytes` in
    /// all.
    pub(crate) async fn read(incoming: Incoming, max_bytes: u64) -> Result<RequestBody, BodyError> {
        let announced = incoming.size_hint().exact();
        if announced.is_some_and(|length| length > max_bytes) {
            return Err(BodyError::TooLarge);
        }
        let mut rest = LimitedBody { incoming, bytes_left: max_bytes };
        let mut beginning = BytesMut::new();
        while beginning.len() <= MAX_BUFFERED_BYTES {
            match rest.next().await? {
                Some(data) => beginning.extend_from_slice(&data),
                None => return Ok(RequestBody::buffered(beginning.freeze())),
            }
        }
        Ok(RequestBody {
            beginning: beginning.freeze(),
            length: announced,
            rest: RefCell::new(Some(rest)),
            is_streamed: true,
            error: Cell::new(None),
        })
    }

    fn buffered(body: Bytes) -> RequestBody {
        RequestBody {
            length: Some(body.len() as u64),
            beginning: body,
            rest: RefCell::new(None),
            is_streamed: false,
            error: Cell::new(None),
        }
    }

    /// Size of the whole body (bytes); `None`: it goes out in chunks.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// The body is too large to be buffered, so it can be sent once only.
    pub(crate) fn is_streamed(&self) -> bool {
        self.is_streamed
    }

    /// The rest of the body was taken by an attempt: there is nothing to send to another backend.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_streamed && self.rest.borrow().is_none()
    }

    /// What was wrong with what the client sent after the beginning.
    pub(crate) fn error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Appends the buffered part, framed as [`Self::length`] says.
    pub(crate) fn write_beginning(&self, out: &mut BytesMut) {
        if self.length.is_some() {
            out.extend_from_slice(&self.beginning);
        } else {
            out.extend_from_slice(format!("{:x}\r\n", self.beginning.len()).as_bytes());
            out.extend_from_slice(&self.beginning);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Sends what follows the beginning, once. Where the client breaks off, what the backend has got can't be taken for
    /// a complete body.
    pub(crate) async fn send_rest(&self, writer: &mut (impl AsyncWrite + Unpin)) -> Result<(), SendError> {
        let Some(mut rest) = self.rest.borrow_mut().take() else { return Ok(()) };
        loop {
            let next = rest.next().await.map_err(|error| {
                self.error.set(Some(error));
                SendError::Client(error)
            })?;
            let is_chunked = self.length.is_none();
            match next {
                Some(data) if is_chunked => write_chunk(writer, &data).await.map_err(SendError::Backend)?,
                Some(data) => writer.write_all(&data).await.map_err(SendError::Backend)?,
                None if is_chunked => {
                    return writer.write_all(b"0\r\n\r\n").await.map_err(SendError::Backend);
                }
                None => return Ok(()),
            }
        }
    }
}

async fn write_chunk(writer: &mut (impl AsyncWrite + Unpin), data: &[u8]) -> io::Result<()> {
    writer.write_all(format!("{:x}\r\n", data.len()).as_bytes()).await?;
    writer.write_all(data).await?;
    writer.write_all(b"\r\n").await
}
