//! Messages as MessagePack. Those with a control state are compressed: it is text that repeats much, and traffic between
//! zones has a price. [`crate::chunks`] divides the bytes into frames.
//!
//! ```
//! use violetyoke_transport::codec::{decode, encode};
//! use violetyoke_transport::messages::{Epoch, ProxyReply, Revision};
//!
//! let reply = ProxyReply::Freshness { request_id: 7, newest: Revision { epoch: Epoch(3), sequence: 9 } };
//! assert_eq!(decode::<ProxyReply>(&encode(&reply))?, reply);
//! # Ok::<(), violetyoke_transport::error::DecodeError>(())
//! ```

use crate::compression::{deflate, inflate};
use crate::error::{DecodeError, EncodeError};
use crate::messages::{ProxyReply, RegistryRequest, StoreReply, StoreRequest};
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};

/// Messages with a state that have more bytes are compressed.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;
/// The first byte of a compressed message; no MessagePack value begins with it.
const COMPRESSED_MARK: u8 = 0xc1;

/// A message between own processes, which has an encoding for each of its values: it consists of integers, strings, byte
/// strings, addresses, and collections whose length is known, and it derives `Serialize`. Encoding such a value into memory
/// has no case in which it fails.
pub trait Message: Serialize {}

impl Message for StoreRequest {}
impl Message for StoreReply {}
impl Message for RegistryRequest {}
impl Message for ProxyReply {}

/// Encodes a message.
///
/// # Panics
///
/// If the value has no encoding, in breach of what [`Message`] requires of its type.
pub fn encode<M: Message>(message: &M) -> Bytes {
    Bytes::from(encode_message(message))
}

/// Encodes a message that may carry a control state: compressed, if it is large. Backend lists and memberships go to many
/// proxies in many versions, and are not worth the time.
///
/// # Panics
///
/// If the value has no encoding, in breach of what [`Message`] requires of its type.
pub fn encode_deflated<M: Message>(message: &M) -> Bytes {
    let plain = encode_message(message);
    if plain.len() <= MIN_COMPRESSED_BYTES {
        return Bytes::from(plain);
    }
    match deflate(vec![COMPRESSED_MARK], &plain) {
        Ok(deflated) if deflated.len() < plain.len() => Bytes::from(deflated),
        _ => Bytes::from(plain),
    }
}

fn encode_message<M: Message>(message: &M) -> Vec<u8> {
    match try_encode(message) {
        Ok(bytes) => bytes,
        // An empty or partial message must not be sent in its place: a peer would wait for it, or misread it.
        Err(error) => unreachable!("a type of message has values without an encoding: {error:?}"),
    }
}

/// Encodes any value, such as a payload within a message.
///
/// # Errors
///
/// If the value has no encoding.
pub fn try_encode<T: Serialize>(value: &T) -> Result<Vec<u8>, EncodeError> {
    Ok(rmp_serde::to_vec(value)?)
}

/// Decodes a message, compressed or not.
///
/// # Errors
///
/// If the bytes are not those of such a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&COMPRESSED_MARK, deflated)) => Ok(rmp_serde::from_slice(&inflate(deflated)?)?),
        _ => Ok(rmp_serde::from_slice(bytes)?),
    }
}
