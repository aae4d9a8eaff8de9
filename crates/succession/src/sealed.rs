//! The sealed encoding of a state.
//!
//! ```text
//!   "VYSN"  version u16  length u32  checksum u64  then, as long as it says, with that SipHash-1-3 of it:
//!   Postcard: header, body
//! ```
//!
//! Numbers are little-endian. Postcard does not separate fields: whatever changes what is written is another version, a
//! new field at the end of a struct too. The checksum is against torn and decayed files, not against forgery: whoever can
//! write the file is this ingress.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// The version of the form that this build writes, and the only one it reads.
pub const VERSION: u16 = 3;
const MAGIC: &[u8; 4] = b"VYSN";
/// Magic, version, length and checksum (bytes).
const HEAD: usize = 18;

/// Whose state it is, and for whom.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// The ingress's name.
    pub ingress: String,
    /// A fingerprint of the settings that it was written under.
    pub settings: u64,
    /// The process that it was handed to, as that calls itself.
    pub to: String,
}

/// Why a state can't be sealed.
#[derive(Debug, thiserror::Error)]
pub enum SealError {
    /// It has no encoding.
    #[error(transparent)]
    Encode(#[from] postcard::Error),
    /// It is 4 GiB or longer.
    #[error("it is too long")]
    TooLong,
}

/// Why a sealed state is not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum OpenError {
    /// It is not in this form at all.
    #[error("it is in no form that is known")]
    UnknownFormat,
    /// It is of another version.
    #[error("version: it is of version {0}, not {VERSION}")]
    Version(u16),
    /// It is shorter or longer than it says.
    #[error("length: it holds {present} bytes of {stated}")]
    Truncated {
        /// The bytes that are there.
        present: usize,
        /// The bytes that there should be.
        stated: usize,
    },
    /// It has changed since it was written.
    #[error("checksum: it has changed since it was written")]
    Checksum,
    /// It can't be decoded.
    #[error("body: {0}")]
    Decode(#[from] postcard::Error),
    /// So many bytes are left after its last field.
    #[error("body: {0} bytes more than it takes")]
    TrailingBytes(usize),
    /// The named field of its header is not what it should be.
    #[error("{0}: it is of another")]
    Mismatch(&'static str),
}

fn checksum(of: &[u8]) -> u64 {
    SipHasher13::new().hash(of)
}

/// The bytes of a state, to be written as they are.
///
/// # Errors
/// When the body has no encoding in Postcard, or is too long.
#[cold]
pub fn seal<T: Serialize>(header: &Header, body: &T) -> Result<Vec<u8>, SealError> {
    let rest = postcard::to_allocvec(&(header, body))?;
    let length = u32::try_from(rest.len()).map_err(|_| SealError::TooLong)?;
    let mut sealed = Vec::with_capacity(HEAD + rest.len());
    sealed.extend_from_slice(MAGIC);
    sealed.extend_from_slice(&VERSION.to_le_bytes());
    sealed.extend_from_slice(&length.to_le_bytes());
    sealed.extend_from_slice(&checksum(&rest).to_le_bytes());
    sealed.extend_from_slice(&rest);
    Ok(sealed)
}

/// The state in `sealed`, if that is complete and for whom it should be. Whether it is too old is up to the caller.
///
/// # Errors
/// When it is anything else.
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
    let truncated = || OpenError::Truncated { present: sealed.len(), stated: HEAD };
    let (length, rest) = sealed[6..].split_first_chunk().ok_or_else(truncated)?;
    let (stated_checksum, rest) = rest.split_first_chunk().ok_or_else(truncated)?;
    let length = u32::from_le_bytes(*length) as usize;
    if rest.len() != length {
        return Err(OpenError::Truncated { present: rest.len(), stated: length });
    }
    if checksum(rest) != u64::from_le_bytes(*stated_checksum) {
        return Err(OpenError::Checksum);
    }
    // The state of another ingress may be of another form: the header is checked first.
    let (header, body) = postcard::take_from_bytes::<Header>(rest)?;
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
        (_, more) => Err(OpenError::TrailingBytes(more.len())),
    }
}
