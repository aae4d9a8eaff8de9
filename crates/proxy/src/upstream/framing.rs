//! Message framing of HTTP/1.1 responses (RFC 9112, section 6): where a body ends, and its bytes as they arrive.

use bytes::{Buf, Bytes, BytesMut};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a head, a chunk-size line or a trailer section (bytes).
pub(super) const MAX_HEAD_BYTES: usize = 64 << 10;
/// Buffer space reserved for each read (bytes).
const READ_BYTES: usize = 4096;
/// Maximum number of trailer fields. Trailers are discarded.
const MAX_TRAILERS: usize = 16;

/// An error for a response that is not valid HTTP. `reason` names the invalid part.
pub(super) fn invalid(reason: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

/// Reads more bytes into `buffer`. The end of the stream is an error because callers need more bytes.
pub(super) async fn read_more(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<()> {
    buffer.reserve(READ_BYTES);
    match stream.read_buf(buffer).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Reads the body of one response. The state is the next expected part of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyReader {
    /// The number of remaining bytes of a body with `Content-Length`.
    Length(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// The number of remaining bytes of a chunk.
    ChunkData(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// The body is complete.
    Complete,
}

impl BodyReader {
    /// The next bytes of the body; `None` once it is complete.
    ///
    /// # Errors
    /// The connection fails or ends before the body is complete, or a chunk is not valid.
    pub(crate) async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        buffer: &mut BytesMut,
    ) -> io::Result<Option<Bytes>> {
        loop {
            match *self {
                BodyReader::Complete | BodyReader::Length(0) => return Ok(None),
                BodyReader::Length(remaining) => {
                    let data = read_data(stream, buffer, remaining).await?;
                    *self = BodyReader::Length(remaining - data.len() as u64);
                    return Ok(Some(data));
                }
                BodyReader::ChunkSize => *self = read_chunk_size(stream, buffer).await?,
                BodyReader::ChunkData(remaining) => {
                    let data = read_data(stream, buffer, remaining).await?;
                    let remaining = remaining - data.len() as u64;
                    *self =
                        if remaining == 0 { BodyReader::ChunkEnd } else { BodyReader::ChunkData(remaining) };
                    return Ok(Some(data));
                }
                BodyReader::ChunkEnd => {
                    while buffer.len() < 2 {
                        read_more(stream, buffer).await?;
                    }
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(invalid("chunk is longer than its size"));
                    }
                    *self = BodyReader::ChunkSize;
                }
            }
        }
    }
}

/// Returns bytes that have arrived, at most `limit`. Waits if there are none.
async fn read_data(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    limit: u64,
) -> io::Result<Bytes> {
    if buffer.is_empty() {
        read_more(stream, buffer).await?;
    }
    let size = (buffer.len() as u64).min(limit) as usize;
    Ok(buffer.split_to(size).freeze())
}

/// Reads a chunk-size line, and the trailer section after that of the last chunk.
async fn read_chunk_size(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
) -> io::Result<BodyReader> {
    loop {
        match httparse::parse_chunk_size(buffer).map_err(|_| invalid("chunk size"))? {
            httparse::Status::Complete((line, 0)) => {
                buffer.advance(line);
                return skip_trailers(stream, buffer).await.map(|()| BodyReader::Complete);
            }
            httparse::Status::Complete((line, size)) => {
                buffer.advance(line);
                return Ok(BodyReader::ChunkData(size));
            }
            httparse::Status::Partial if buffer.len() > MAX_HEAD_BYTES => return Err(invalid("chunk size")),
            httparse::Status::Partial => read_more(stream, buffer).await?,
        }
    }
}

/// Skips the trailer section, including the empty line at its end.
async fn skip_trailers(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<()> {
    loop {
        let mut trailers = [httparse::EMPTY_HEADER; MAX_TRAILERS];
        match httparse::parse_headers(buffer, &mut trailers).map_err(|_| invalid("trailer section"))? {
            httparse::Status::Complete((size, _)) => {
                buffer.advance(size);
                return Ok(());
            }
            httparse::Status::Partial if buffer.len() > MAX_HEAD_BYTES => {
                return Err(invalid("trailer section"))
            }
            httparse::Status::Partial => read_more(stream, buffer).await?,
        }
    }
}
