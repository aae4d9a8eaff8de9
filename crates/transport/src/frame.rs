//! One message a frame: four bytes of length, then MessagePack. An empty frame says that the sender is there.

use bytes::{Bytes, BytesMut};
use serde::{de::DeserializeOwned, Serialize};
use std::io;
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

/// The longest frame that is taken: a configuration of 5,000 routes is about 1 MiB.
pub const LONGEST: usize = 16 << 20;

pub fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(LONGEST).new_codec()
}

/// A message's bytes, without its length.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    // Writing to memory fails for no message of `messages`: none has a map without a length or a number out of range.
    Bytes::from(rmp_serde::to_vec(message).unwrap_or_default())
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    rmp_serde::from_slice(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Appends a frame to what is to be written.
pub fn append(out: &mut BytesMut, payload: Bytes) -> io::Result<()> {
    codec().encode(payload, out)
}
