//! Divides large messages into chunks, so that heartbeats are still sent while a state of several megabytes crosses a slow
//! link. A frame contains a complete message or one chunk of a large message. The chunks of a message are sent in order;
//! other messages may be sent between them.

use crate::error::FrameError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use std::collections::VecDeque;
use tokio_util::codec::LengthDelimitedCodec;

/// The maximum size of a message. A configuration of 5,000 routes is about 1 MiB, and the registry rejects documents of more
/// than 8 MiB.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// The maximum payload of a frame (bytes). It takes 131 ms on a link of 2 Mbit/s.
pub const CHUNK: usize = 32 << 10;

/// The kind of a frame, which is its first byte unless the frame is empty: a complete message, a chunk that is followed by
/// others, or the last chunk.
const COMPLETE: u8 = 0;
const PARTIAL: u8 = 1;
const LAST: u8 = 2;
/// The size of the length and the kind.
const HEADER_BYTES: usize = 5;

/// Divides received bytes into frames. A frame that is larger than a chunk is an error.
pub fn frame_decoder() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(CHUNK + 1).new_codec()
}

/// A message to be sent.
#[derive(Clone, Debug)]
pub struct OutgoingMessage {
    /// The encoded message.
    pub payload: Bytes,
    /// Whether it may overtake other messages.
    pub is_urgent: bool,
}

/// The queued messages of one connection.
#[derive(Debug, Default)]
pub struct SendQueue {
    urgent: VecDeque<Bytes>,
    ordered: VecDeque<Bytes>,
    /// The rest of the first ordered message, if some of its chunks have been sent.
    remaining: Option<Bytes>,
}

impl SendQueue {
    /// Adds a message. Empty messages and messages above the maximum size are dropped. So is a large message that is
    /// identical to the last ordered one in the queue: it was resent because there was no reply, and would only delay others.
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

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordered.is_empty()
    }

    /// Appends the next frame to `out`. Returns `false` if the queue is empty.
    pub fn append_next(&mut self, out: &mut BytesMut) -> bool {
        if let Some(payload) = self.urgent.pop_front() {
            append_frame(out, COMPLETE, &payload);
            return true;
        }
        let is_partly_sent = self.remaining.is_some();
        let Some(mut remaining) = self.remaining.take().or_else(|| self.ordered.front().cloned()) else {
            return false;
        };
        if remaining.len() > CHUNK {
            append_frame(out, PARTIAL, &remaining.split_to(CHUNK));
            self.remaining = Some(remaining);
        } else {
            append_frame(out, if is_partly_sent { LAST } else { COMPLETE }, &remaining);
            self.ordered.pop_front();
        }
        true
    }
}

/// Appends an empty frame, which keeps the connection alive.
pub fn append_keepalive(out: &mut BytesMut) {
    out.put_u32(0);
}

fn append_frame(out: &mut BytesMut, kind: u8, payload: &[u8]) {
    out.reserve(payload.len() + HEADER_BYTES);
    out.put_u32(payload.len() as u32 + 1);
    out.put_u8(kind);
    out.put_slice(payload);
}

/// Reassembles the messages of one connection from its frames.
#[derive(Debug, Default)]
pub struct Assembler {
    /// The received chunks of an incomplete message.
    chunks: BytesMut,
}

impl Assembler {
    /// Adds the next frame. Returns the message if the frame completes one.
    ///
    /// # Errors
    ///
    /// If the frame has an unknown kind or its message is too large. The connection must then be closed.
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
