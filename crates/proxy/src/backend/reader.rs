//! The body of a backend's answer, piece by piece as it comes.

use super::answer::{bad, more, LARGEST_HEAD};
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use tokio::io::AsyncRead;

/// How a body ends, and how much of it is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reader {
    /// After so many bytes.
    Exact(u64),
    /// With the last chunk: a chunk's size is due, so many of its bytes, or its end.
    Size,
    Chunk(u64),
    ChunkEnd,
    Ended,
}

impl Reader {
    /// The next piece; none once the body is whole. An end that comes too early is an error.
    pub async fn next(
        &mut self,
        stream: &mut (impl AsyncRead + Unpin),
        buffer: &mut BytesMut,
    ) -> io::Result<Option<Bytes>> {
        loop {
            match *self {
                Reader::Ended | Reader::Exact(0) => return Ok(None),
                Reader::Exact(left) => {
                    let piece = piece(stream, buffer, left).await?;
                    *self = Reader::Exact(left - piece.len() as u64);
                    return Ok(Some(piece));
                }
                Reader::Size => *self = size(stream, buffer).await?,
                Reader::Chunk(left) => {
                    let piece = piece(stream, buffer, left).await?;
                    let left = left - piece.len() as u64;
                    *self = if left == 0 { Reader::ChunkEnd } else { Reader::Chunk(left) };
                    return Ok(Some(piece));
                }
                Reader::ChunkEnd => {
                    while buffer.len() < 2 {
                        more(stream, buffer).await?;
                    }
                    if &buffer.split_to(2)[..] != b"\r\n" {
                        return Err(bad("chunk's end"));
                    }
                    *self = Reader::Size;
                }
            }
        }
    }
}

/// Some bytes, as many as are there but not more than `most`.
async fn piece(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut, most: u64) -> io::Result<Bytes> {
    if buffer.is_empty() {
        more(stream, buffer).await?;
    }
    let size = (buffer.len() as u64).min(most) as usize;
    Ok(buffer.split_to(size).freeze())
}

async fn size(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<Reader> {
    loop {
        match httparse::parse_chunk_size(buffer).map_err(|_| bad("chunk"))? {
            httparse::Status::Complete((start, 0)) => {
                buffer.advance(start);
                return trailer(stream, buffer).await.map(|()| Reader::Ended);
            }
            httparse::Status::Complete((start, size)) => {
                buffer.advance(start);
                return Ok(Reader::Chunk(size));
            }
            httparse::Status::Partial if buffer.len() > LARGEST_HEAD => return Err(bad("chunk")),
            httparse::Status::Partial => more(stream, buffer).await?,
        }
    }
}

/// What follows the last chunk, up to an empty line.
async fn trailer(stream: &mut (impl AsyncRead + Unpin), buffer: &mut BytesMut) -> io::Result<()> {
    loop {
        let mut headers = [httparse::EMPTY_HEADER; 16];
        match httparse::parse_headers(buffer, &mut headers).map_err(|_| bad("trailer"))? {
            httparse::Status::Complete((size, _)) => {
                buffer.advance(size);
                return Ok(());
            }
            httparse::Status::Partial if buffer.len() > LARGEST_HEAD => return Err(bad("trailer")),
            httparse::Status::Partial => more(stream, buffer).await?,
        }
    }
}
