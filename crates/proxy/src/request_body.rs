//! Request bodies. Small ones are buffered, so that they can be sent again to another backend. Of larger ones
//! only the beginning is buffered, and the rest is streamed to one backend as it arrives.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use std::cell::{Cell, RefCell};
use std::io;
use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Maximum size of a body that is buffered completely (bytes).
pub(crate) const MAX_BUFFERED_BYTES: usize = 64 << 10;

/// Why a body could not be read from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    #[error("the body is larger than the configuration allows")]
    TooLarge,
    #[error("the body ended early, or its framing is invalid")]
    Incomplete,
}

/// Why the rest of a body could not be sent to a backend.
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
    /// The complete body if it is buffered, otherwise its beginning.
    beginning: Bytes,
    /// Size of the complete body (bytes), if known in advance.
    length: Option<u64>,
    /// The part that the client is still sending. Taken by the first attempt that sends it.
    rest: RefCell<Option<LimitedBody>>,
    is_streamed: bool,
    /// The error that occurred while the rest was read.
    error: Cell<Option<BodyError>>,
}

/// A body that fails with [`BodyError::TooLarge`] after `bytes_left` more bytes.
#[derive(Debug)]
struct LimitedBody {
    incoming: Incoming,
    bytes_left: u64,
}

impl LimitedBody {
    /// Returns the next bytes, or `None` at the end of the body. Trailers are discarded.
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
    /// Reads a body from a client until its end, or until more than [`MAX_BUFFERED_BYTES`] have arrived.
    /// `max_bytes` is the maximum size of the complete body.
    pub(crate) async fn read(incoming: Incoming, max_bytes: u64) -> Result<RequestBody, BodyError> {
        let announced_length = incoming.size_hint().exact();
        if announced_length.is_some_and(|length| length > max_bytes) {
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
            length: announced_length,
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

    /// Size of the complete body (bytes). `None` if it is unknown; the body is then sent in chunks.
    pub(crate) fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the body is too large to be buffered, so that it can be sent only once.
    pub(crate) fn is_streamed(&self) -> bool {
        self.is_streamed
    }

    /// Whether an attempt has taken the rest of the body, so that the body can't be sent to another backend.
    pub(crate) fn is_consumed(&self) -> bool {
        self.is_streamed && self.rest.borrow().is_none()
    }

    /// The error that occurred while the rest of the body was read from the client.
    pub(crate) fn error(&self) -> Option<BodyError> {
        self.error.get()
    }

    /// Appends the buffered part, as a chunk if [`Self::length`] is `None`.
    pub(crate) fn write_beginning(&self, out: &mut BytesMut) {
        if self.length.is_some() {
            out.extend_from_slice(&self.beginning);
        } else {
            out.extend_from_slice(format!("{:x}\r\n", self.beginning.len()).as_bytes());
            out.extend_from_slice(&self.beginning);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Sends the rest of the body on the first call; later calls send nothing. If the client's body ends
    /// early, the backend gets neither the announced length nor the last chunk, so it can't take the body for
    /// complete.
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
