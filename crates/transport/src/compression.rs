//! Compression of large payloads by deflate: names of routes and hosts repeat much.

use crate::error::{DecodeError, EncodeError};
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::io::{self, Read, Write};

/// The most bytes that are inflated from one payload.
const MAX_INFLATED_BYTES: u64 = 32 << 20;

/// A payload within a message: MessagePack, deflated. It is decoded only where it is needed.
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
    /// If the payload is corrupt, too large, or of another type.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, DecodeError> {
        Ok(rmp_serde::from_slice(&inflate(&self.0)?)?)
    }

    /// The size of the compressed payload in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Appends the deflated bytes to what is there.
pub(crate) fn deflate(to: Vec<u8>, plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut out = DeflateEncoder::new(to, Compression::fast());
    out.write_all(plain)?;
    out.finish()
}

/// Inflates bytes.
///
/// # Errors
///
/// If they are cut short or corrupt, or inflate to more than any message has.
pub fn inflate(deflated: &[u8]) -> Result<Vec<u8>, DecodeError> {
    let mut plain = Vec::new();
    let mut decoder = DeflateDecoder::new(deflated).take(MAX_INFLATED_BYTES + 1);
    decoder.read_to_end(&mut plain).map_err(DecodeError::Inflate)?;
    if plain.len() as u64 > MAX_INFLATED_BYTES {
        return Err(DecodeError::TooLarge);
    }
    Ok(plain)
}
