//! Messages as MessagePack, those with a state of control deflated: it is text that repeats much, and bytes between zones
//! have a price. `chunks` says how they go into frames.

use crate::compression::{deflate, inflate};
use bytes::Bytes;
use serde::{de::DeserializeOwned, Serialize};
use std::io;

/// The longest message that is taken: a configuration of 5,000 routes is about 1 MiB, and the registry refuses orders
/// over 8 MiB.
pub const LONGEST: usize = 16 << 20;
/// Messages with a state that are longer are deflated.
const DEFLATE_FROM: usize = 4 << 10;
/// The first byte of a deflated message; no MessagePack value begins with it.
const DEFLATED: u8 = 0xc1;

/// A message's bytes.
pub fn encode<T: Serialize>(message: &T) -> Bytes {
    Bytes::from(plain(message))
}

/// The bytes of a message that may carry a whole state: deflated, where it is large. Lists of backends and members go to
/// many proxies in many versions, and are not worth the time.
pub fn encode_deflated<T: Serialize>(message: &T) -> Bytes {
    let plain = plain(message);
    if plain.len() <= DEFLATE_FROM {
        return Bytes::from(plain);
    }
    match deflate(vec![DEFLATED], &plain) {
        Ok(deflated) if deflated.len() < plain.len() => Bytes::from(deflated),
        _ => Bytes::from(plain),
    }
}

fn plain<T: Serialize>(message: &T) -> Vec<u8> {
    // Writing to memory fails for no message of `messages`: none has a map without a length or a number out of range.
    rmp_serde::to_vec(message).unwrap_or_default()
}

/// Reads a message, deflated or not.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
    match bytes.split_first() {
        Some((&DEFLATED, deflated)) => rmp_serde::from_slice(&inflate(deflated)?).map_err(invalid),
        _ => rmp_serde::from_slice(bytes).map_err(invalid),
    }
}
