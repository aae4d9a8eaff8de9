//! Large messages in chunks, so that a connection goes on carrying heartbeats while a state of megabytes crosses a slow
//! link. A frame holds a whole message, or one chunk of a large one; chunks of one message come in order, and other
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

/// The first byte of a frame that is not empty.
const WHOLE: u8 = 0;
const PART: u8 = 1;
const LAST: u8 = 2;

/// Reads frames; one that is longer than a chunk ends the connection.
pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(CHUNK + 1).new_codec()
}

/// A message that waits to be sent.
#[derive(Clone, Debug)]
pub struct Outgoing {
    pub payload: Bytes,
    /// It may overtake other messages.
    pub urgent: bool,
}

/// Messages of one connection that wait to be sent, and how far the first of them is.
#[derive(Debug, Default)]
pub struct SendQueue {
    urgent: VecDeque<Bytes>,
    ordered: VecDeque<Bytes>,
    /// What is left of the first ordered message, once a part of it has been sent.
    rest: Option<Bytes>,
}

impl SendQueue {
    /// Adds a message. One that is longer than any receiver takes is left out, and so is a large one that is sent again
    /// while the same bytes still wait.
    pub fn push(&mut self, message: Outgoing) {
        let Outgoing { payload, urgent } = message;
        let large = payload.len() > CHUNK;
        if payload.is_empty() || payload.len() > MAX_MESSAGE_BYTES {
            return;
        }
        if urgent && !large {
            return self.urgent.push_back(payload);
        }
        if large && self.ordered.back() == Some(&payload) {
            return;
        }
        self.ordered.push_back(payload);
    }

    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordered.is_empty()
    }

    /// Appends the next frame, if there is one.
    pub fn append_next(&mut self, out: &mut BytesMut) -> bool {
        if let Some(payload) = self.urgent.pop_front() {
            append(out, WHOLE, &payload);
            return true;
        }
        let begun = self.rest.is_some();
        let Some(mut rest) = self.rest.take().or_else(|| self.ordered.front().cloned()) else {
            return false;
        };
        if rest.len() > CHUNK {
            append(out, PART, &rest.split_to(CHUNK));
            self.rest = Some(rest);
        } else {
            append(out, if begun { LAST } else { WHOLE }, &rest);
            self.ordered.pop_front();
        }
        true
    }
}

/// An empty frame: the sender is there.
pub fn append_keepalive(out: &mut BytesMut) {
    out.put_u32(0);
}

fn append(out: &mut BytesMut, kind: u8, payload: &[u8]) {
    out.reserve(payload.len() + 5);
    out.put_u32(payload.len() as u32 + 1);
    out.put_u8(kind);
    out.put_slice(payload);
}

/// Puts the frames of one connection together again.
#[derive(Debug, Default)]
pub struct Assembler {
    parts: BytesMut,
}

impl Assembler {
    /// Takes a frame; a message, if one is complete with it.
    pub fn take(&mut self, mut frame: BytesMut) -> Result<Option<Bytes>, FrameError> {
        if frame.is_empty() {
            return Ok(None);
        }
        let kind = frame.get_u8();
        if kind == WHOLE {
            return Ok(Some(frame.freeze()));
        }
        if kind > LAST {
            return Err(FrameError::UnknownKind(kind));
        }
        if self.parts.len() + frame.len() > MAX_MESSAGE_BYTES {
            return Err(FrameError::MessageTooLong);
        }
        self.parts.extend_from_slice(&frame);
        Ok((kind == LAST).then(|| std::mem::take(&mut self.parts).freeze()))
    }
}
