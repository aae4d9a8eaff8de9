//! Large messages in chunks, so that a connection goes on carrying heartbeats while a state of megabytes crosses a slow
//! link. A frame holds a complete message, or one chunk of a large one; chunks of one message come in order, and other
//! messages may come between them.

use crate::error::FrameError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::VecDeque;
use tokio_util::codec::LengthDelimitedCodec;

/// The most bytes of a message: a configuration of 5,000 routes is about 1 MiB, and the registry refuses documents of
/// more than 8 MiB.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// The most bytes of a message in one frame: 131 ms on a link of 2 Mbit/s.
pub const CHUNK: usize = 32 << 10;

/// The first byte of a frame that is not empty: a complete message, a chunk that others follow, or the last chunk.
const COMPLETE: u8 = 0;
const PARTIAL: u8 = 1;
const LAST: u8 = 2;
/// The length, and the first byte.
const HEADER_BYTES: usize = 5;

/// Divides received bytes into frames. A frame that is longer than a chunk is an error.
pub fn frame_decoder() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(CHUNK + 1).new_codec()
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The encoded message.
    pub payload: Bytes,
    /// It may overtake other messages.
    pub is_urgent: bool,
}

/// The messages of one connection that wait to be sent.
#[derive(Debug, Default)]
pub struct SendQueue {
    urgent: VecDeque<Bytes>,
    ordered: VecDeque<Bytes>,
    /// What is left of the first ordered message, once a chunk of it has been sent.
    remaining: Option<Bytes>,
}

impl SendQueue {
    /// Adds a message. Dropped are an empty one, one that is longer than any receiver accepts, and a large one whose very
    /// bytes are the last that wait already: it was sent again because no answer came, and would only delay others.
    pub fn push(&mut self, message: OutgoingMessage) {
        let OutgoingMessage { payload, is_urgent } = message;
        let is_large = payload.len() > CHUNK;
        if payload.is_empty() || payload.len() > MAX_MESSAGE_BYTES {
            return;
        }
        if is_urgent && !is_large {
            return self.urgent.push_back(payload);
        }
        if is_large && self.ordered.back() == Some(&payload) {
            return;
        }
        self.ordered.push_back(payload);
    }

    /// Whether nothing waits to be sent.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordered.is_empty()
    }

    /// Appends the next frame to `out`. Returns whether there was one.
    pub fn append_next(&mut self, out: &mut BytesMut) -> bool {
        if let Some(payload) = self.urgent.pop_front() {
            append_frame(out, COMPLETE, &payload);
            return true;
        }
        let is_begun = self.remaining.is_some();
        let Some(mut remaining) = self.remaining.take().or_else(|| self.ordered.front().cloned()) else {
            return false;
        };
        if remaining.len() > CHUNK {
            append_frame(out, PARTIAL, &remaining.split_to(CHUNK));
            self.remaining = Some(remaining);
        } else {
            append_frame(out, if is_begun { LAST } else { COMPLETE }, &remaining);
            self.ordered.pop_front();
        }
        true
    }
}

/// Appends an empty frame: a sign of life of the sender.
pub fn append_keepalive(out: &mut BytesMut) {
    out.put_u32(0);
}

fn append_frame(out: &mut BytesMut, kind: u8, payload: &[u8]) {
    out.reserve(payload.len() + HEADER_BYTES);
    out.put_u32(payload.len() as u32 + 1);
    out.put_u8(kind);
    out.put_slice(payload);
}

/// Puts the messages of one connection together from its frames.
#[derive(Debug, Default)]
pub struct Assembler {
    /// The chunks of a message whose last one has not been received.
    chunks: BytesMut,
}

impl Assembler {
    /// Adds the next frame. Returns the message that it completes, if it does.
    ///
    /// # Errors
    ///
    /// If the frame is of an unknown kind, or its message too long: the connection is of no use any more.
    pub fn push(&mut self, mut frame: BytesMut) -> Result<Option<Bytes>, FrameError> {
        if frame.is_empty() {
            return Ok(None);
        }
        let kind = frame.get_u8();
        if kind == COMPLETE {
            return Ok(Some(frame.freeze()));
        }
        if kind > LAST {
            return Err(FrameError::UnknownKind(kind));
        }
        if self.chunks.len() + frame.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong);
        }
        self.chunks.extend_from_slice(&frame);
        Ok((kind == LAST).then(|| std::mem::take(&mut self.chunks).freeze()))
    }
}
