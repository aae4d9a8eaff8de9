//! The MessagePack encoding of messages. Messages with a control state are compressed, because its text is very repetitive
//! and traffic between zones is charged for. [`crate::chunks`] divides the bytes into frames.
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

/// Messages with a control state are compressed if they are larger than this.
const MIN_COMPRESSED_BYTES: usize = 4 << 10;
/// The first byte of a compressed message. No MessagePack value starts with it.
const COMPRESSED_MARK: u8 = 0xc1;

/// A message between processes of the system. Each value of the type must have an encoding. This holds for types that derive
/// `Serialize` and consist of integers, strings, byte strings, addresses, and collections of known length.
pub trait Message: Serialize {}

impl Message for StoreRequest {}
impl Message for StoreReply {}
impl Message for RegistryRequest {}
impl Message for ProxyReply {}

/// Encodes a message.
///
/// # Panics
///
/// If the value has no encoding, which violates the contract of [`Message`].
pub fn encode<M: Message>(message: &M) -> Bytes {
    Bytes::from(encode_message(message))
}

/// Encodes a message that may contain a control state, and compresses it if it is large. Backend lists and memberships are
/// not compressed: many versions are sent to many proxies, and compression would take too much time.
///
/// # Panics
///
/// If the value has no encoding, which violates the contract of [`Message`].
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
        // An empty or partial message must not be sent instead: the peer would wait for the complete one, or misinterpret it.
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
/// If the bytes are not an encoding of the expected type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    match bytes.split_first() {
        Some((&COMPRESSED_MARK, deflated)) => Ok(rmp_serde::from_slice(&inflate(deflated)?)?),
        _ => Ok(rmp_serde::from_slice(bytes)?),
    }
}
