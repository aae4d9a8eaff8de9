//! The format of an entry of the log.
//!
//! An entry is a header of 24 bytes and a batch of records as MessagePack. The header is the magic, then two
//! little-endian integers of 64 bits: the length of the batch in bytes, and its checksum (SipHash-1-3 with a zero key).

use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use violetyoke_transport::messages::OperationRecord;

/// The first bytes of an entry in format 01. Part of the format: disks in service carry it, so it must not change.
const ENTRY_MAGIC: &[u8; 8] = b"operat01";
const HEADER_LENGTH: usize = 24;
const LENGTH_OFFSET: usize = 8;
const CHECKSUM_OFFSET: usize = 16;

/// Records can't be encoded. Nothing is written.
#[derive(Debug, thiserror::Error)]
#[error("records of operations can't be encoded")]
pub struct EncodeEntryError(#[from] rmp_serde::encode::Error);

/// Encodes a batch of records as one entry.
///
/// # Errors
///
/// If a record can't be encoded.
pub fn encode_entry(records: &[OperationRecord]) -> Result<Vec<u8>, EncodeEntryError> {
    let batch = rmp_serde::to_vec(records)?;
    let mut entry = Vec::with_capacity(HEADER_LENGTH + batch.len());
    entry.extend_from_slice(ENTRY_MAGIC);
    entry.extend_from_slice(&(batch.len() as u64).to_le_bytes());
    entry.extend_from_slice(&checksum(&batch).to_le_bytes());
    entry.extend_from_slice(&batch);
    Ok(entry)
}

/// Decodes the records of a segment's entries, up to the first entry that is not complete.
#[must_use]
pub fn decode_entries(mut segment: &[u8]) -> Vec<OperationRecord> {
    let mut records = Vec::new();
    while let Some((batch, rest)) = split_entry(segment) {
        // A batch that another build wrote may be valid but not decodable by this build: it counts as damaged too.
        let Ok(decoded) = rmp_serde::from_slice::<Vec<OperationRecord>>(batch) else { break };
        records.extend(decoded);
        segment = rest;
    }
    records
}

/// The batch of the first entry, and the bytes after it; `None` if the first entry is not complete.
fn split_entry(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    if !bytes.starts_with(ENTRY_MAGIC) {
        return None;
    }
    let length = usize::try_from(header_field(bytes, LENGTH_OFFSET)?).ok()?;
    let stored_checksum = header_field(bytes, CHECKSUM_OFFSET)?;
    let (batch, rest) = bytes.get(HEADER_LENGTH..)?.split_at_checked(length)?;
    (checksum(batch) == stored_checksum).then_some((batch, rest))
}

/// An integer of the header; `None` if the bytes end before it.
fn header_field(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..)?.first_chunk()?;
    Some(u64::from_le_bytes(*field))
}

fn checksum(batch: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(batch);
    hasher.finish()
}
