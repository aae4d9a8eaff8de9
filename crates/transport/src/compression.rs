//! Compression of large payloads with deflate. Configurations compress well, as names of routes and hosts are repetitive.

use crate::error::{DecodeError, EncodeError};
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::io::{self, Read, Write};

/// The maximum size of an inflated payload.
const MAX_INFLATED_BYTES: u64 = 32 << 20;

/// A payload within a message: deflated MessagePack. Only receivers that need the value decode it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compressed(#[serde(with = "serde_bytes")] Vec<u8>);

impl Compressed {
    /// Encodes and compresses a value.
    ///
    /// # Errors
    ///
    /// If the value has no MessagePack encoding.
    pub fn encode<T: Serialize>(value: &T) -> Result<Compressed, EncodeError> {
        let plain = rmp_serde::to_vec(value)?;
        deflate(Vec::new(), &plain).map(Compressed).map_err(EncodeError::Deflate)
    }

    /// Inflates and decodes the value.
    ///
    /// # Errors
    ///
    /// If the payload is corrupt, too large, or not of the expected type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, DecodeError> {
        Ok(rmp_serde::from_slice(&inflate(&self.0)?)?)
    }

    /// The size of the compressed payload in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Deflates bytes, and appends the result to `prefix`.
pub(crate) fn deflate(prefix: Vec<u8>, plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(prefix, Compression::fast());
    encoder.write_all(plain)?;
    encoder.finish()
}

/// Inflates bytes.
///
/// # Errors
///
/// If the bytes are truncated or corrupt, or inflate to more than the maximum size.
pub fn inflate(deflated: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(MAX_INFLATED_BYTES + 1);
    decoder.read_to_end(&mut plain).map_err(DecodeError::Inflate)?;
    if plain.len() as u64 > MAX_INFLATED_BYTES {
        return Err(DecodeError::TooLarge);
    }
    Ok(plain)
}
