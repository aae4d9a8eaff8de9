//! Compression of large payloads by deflate: names of routes and hosts repeat much.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::io::{self, Read, Write};

/// The most bytes that are inflated from one payload.
const LARGEST: u64 = 32 << 20;

/// A payload within a message: MessagePack, deflated. It is decoded only where it is needed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Compressed(#[serde(with = "serde_bytes")] Vec<u8>);

impl Compressed {
    pub fn encode<T: Serialize>(message: &T) -> io::Result<Compressed> {
        let plain = rmp_serde::to_vec(message).map_err(io::Error::other)?;
        deflate(Vec::new(), &plain).map(Compressed)
    }

    pub fn decode<T: DeserializeOwned>(&self) -> io::Result<T> {
        let plain = inflate(&self.0)?;
        rmp_serde::from_slice(&plain).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Its size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Appends the deflated bytes to what is there.
pub fn deflate(to: Vec<u8>, plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut out = DeflateEncoder::new(to, Compression::fast());
    out.write_all(plain)?;
    out.finish()
}

/// The plain bytes; an error if they are cut short, spoiled, or more than any message has.
pub fn inflate(deflated: &[u8]) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    DeflateDecoder::new(deflated).take(LARGEST + 1).read_to_end(&mut plain)?;
    if plain.len() as u64 > LARGEST {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "a message of too many bytes"));
    }
    Ok(plain)
}
