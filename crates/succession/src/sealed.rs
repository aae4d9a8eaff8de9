//! The encoding of a state that is handed over: a header with a checksum, then Postcard.
//!
//! ```text
//!   "VYSN"  version u16  length u32  checksum u64   length and SipHash-1-3 are those of the payload
//!   payload, Postcard: header, body
//! ```
//!
//! Numbers are little-endian. Postcard writes no names or separators of fields, so every change of the encoded types
//! needs a new version, even a new field at the end of a struct. The checksum detects torn writes and corrupted
//! files. It does not protect against forgery: only this ingress can write the file.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// The version that this build writes, and the only one that it reads.
pub const VERSION: u16 = 3;
const MAGIC: &[u8; 4] = b"VYSN";
/// Size of magic, version, length and checksum (bytes).
const PREFIX_BYTES: usize = 18;

/// Which ingress wrote a state, under which settings, and for which process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// Name of the ingress.
    pub ingress: String,
    /// Fingerprint of the settings under which the state was written.
    pub settings: u64,
    /// Name of the process that receives the state.
    pub to: String,
}

/// Why a state can't be sealed.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// Postcard can't encode the state.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// The encoded state is 4 GiB or longer.
    #[error("the encoded state is 4 GiB or longer")]
    TooLong,
}

/// Why a sealed state is not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OpenError {
    /// The bytes don't begin with the magic and a version.
    #[error("format: not a sealed state")]
    UnknownFormat,
    /// The state has another version.
    #[error("version: sealed as version {0}, expected {VERSION}")]
    Version(u16),
    /// The state is shorter or longer than the stated length.
    #[error("length: {present} bytes, expected {stated}")]
    Truncated {
        /// Bytes present.
        present: usize,
        /// Bytes expected.
        stated: usize,
    },
    /// The state was changed after it was written.
    #[error("checksum: does not match the state")]
    Checksum,
    /// Postcard can't decode the state.
    #[error("body: {0}")]
    Decode(#[from] postcard::Error),
    /// This many bytes follow the last field.
    #[error("body: {0} bytes after the last field")]
    TrailingBytes(usize),
    /// The named field of the header differs from the expected one.
    #[error("{0}: not the expected one")]
    Mismatch(&'static str),
}

fn checksum(payload: &[u8]) -> u64 {
    SipHasher13::new().hash(payload)
}

/// Encodes a state with its header.
///
/// # Errors
/// If Postcard can't encode the body, or the encoding is too long.
#[cold]
pub fn seal<T: Serialize>(header: &Header, body: &T) -> Result<Vec<u8>, SealError> {
    let payload = postcard::to_allocvec(&(header, body))?;
    let length = u32::try_from(payload.len()).map_err(|_| SealError::TooLong)?;
    let mut sealed = Vec::with_capacity(PREFIX_BYTES + payload.len());
    sealed.extend_from_slice(MAGIC);
    sealed.extend_from_slice(&VERSION.to_le_bytes());
    sealed.extend_from_slice(&length.to_le_bytes());
    sealed.extend_from_slice(&checksum(&payload).to_le_bytes());
    sealed.extend_from_slice(&payload);
    Ok(sealed)
}

/// Decodes the state in `sealed` if it is complete and its header is the expected one. The caller checks the age.
///
/// # Errors
/// If the bytes are not a complete state of this version with the expected header.
#[cold]
pub fn open<T: DeserializeOwned>(sealed: &[u8], expected: &Header) -> Result<T, OpenError> {
    let version = sealed.get(4..6).map(|bytes| u16::from_le_bytes([bytes[0], bytes[1]]));
    match (sealed.get(..4), version) {
        (Some(magic), Some(version)) if magic == MAGIC && version != VERSION => {
            return Err(OpenError::Version(version))
        }
        (Some(magic), Some(_)) if magic == MAGIC => {}
        _ => return Err(OpenError::UnknownFormat),
    }
    let truncated = || OpenError::Truncated { present: sealed.len(), stated: PREFIX_BYTES };
    let (length, rest) = sealed[6..].split_first_chunk().ok_or_else(truncated)?;
    let (stated_checksum, payload) = rest.split_first_chunk().ok_or_else(truncated)?;
    let length = u32::from_le_bytes(*length) as usize;
    if payload.len() != length {
        return Err(OpenError::Truncated { present: payload.len(), stated: length });
    }
    if checksum(payload) != u64::from_le_bytes(*stated_checksum) {
        return Err(OpenError::Checksum);
    }
    // The header is checked first because the body of another ingress or other settings may have other types.
    let (header, body) = postcard::take_from_bytes::<Header>(payload)?;
    for (field, is_same) in [
        ("ingress", header.ingress == expected.ingress),
        ("settings", header.settings == expected.settings),
        ("to", header.to == expected.to),
    ] {
        if !is_same {
            return Err(OpenError::Mismatch(field));
        }
    }
    match postcard::take_from_bytes(body)? {
        (body, []) => Ok(body),
        (_, trailing) => Err(OpenError::TrailingBytes(trailing.len())),
    }
}
