//! Large messages made small: MessagePack, deflated. Names of routes and hosts repeat much.

use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use flate2::Compression;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::io::{self, Read, Write};

/// The most that is unpacked.
const LARGEST: u64 = 32 << 20;

/// A message within a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packed(#[serde(with = "serde_bytes")] Vec<u8>);

impl Packed {
    pub fn new<T: Serialize>(message: &T) -> io::Result<Packed> {
        let plain = rmp_serde::to_vec(message).map_err(io::Error::other)?;
        let mut out = DeflateEncoder::new(Vec::new(), Compression::fast());
        out.write_all(&plain)?;
        out.finish().map(Packed)
    }

    pub fn open<T: DeserializeOwned>(&self) -> io::Result<T> {
        let mut plain = Vec::new();
        DeflateDecoder::new(self.0.as_slice()).take(LARGEST).read_to_end(&mut plain)?;
        rmp_serde::from_slice(&plain).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Its size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}
