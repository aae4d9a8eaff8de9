//! The format of a slot, and which slot is written next.
//!
//! A slot is a header of 32 bytes and the state as MessagePack. The header is the magic, then three little-endian
//! integers of 64 bits: the write number, the length of the state in bytes, and the checksum (SipHash-1-3 with a zero
//! key, over the write number and the state). Bytes after the state are ignored.

use crate::consensus::DurableState;
use serde::Serialize;
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// The first bytes of a slot in format 01. Part of the format: disks in service carry it, so it must not change.
const SLOT_MAGIC: &[u8; 8] = b"barogr01";
const HEADER_LENGTH: usize = 32;
const WRITE_NUMBER_OFFSET: usize = 8;
const LENGTH_OFFSET: usize = 16;
const CHECKSUM_OFFSET: usize = 24;
/// The largest number of a write. A slot with a larger one is none that a store has written.
const MAX_WRITE_NUMBER: u64 = 1 << 48;

/// The contents of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SlotContents {
    /// The slot has no file.
    Missing,
    /// The magic, the length or the checksum is wrong, or the state can't be decoded: a torn write, or a damaged disk.
    Corrupt,
    /// A state that was written completely.
    State {
        /// The number of the write, counted over both slots: the state with the higher number is newer.
        write_number: u64,
        /// The state.
        state: Box<DurableState>,
    },
}

/// A state can't be encoded. Nothing is written.
#[derive(Debug, thiserror::Error)]
#[error("a state can't be encoded for its slot")]
pub struct EncodeError(#[from] rmp_serde::encode::Error);

fn checksum(write_number: u64, payload: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write_u64(write_number);
    hasher.write(payload);
    hasher.finish()
}

/// An integer of the header; `None` if the bytes end before it.
fn header_field(bytes: &[u8], offset: usize) -> Option<u64> {
    let field = bytes.get(offset..)?.first_chunk()?;
    Some(u64::from_le_bytes(*field))
}

/// Decodes the bytes of a slot.
#[must_use]
pub fn decode_slot(bytes: &[u8]) -> SlotContents {
    try_decode(bytes).unwrap_or(SlotContents::Corrupt)
}

fn try_decode(bytes: &[u8]) -> Option<SlotContents> {
    if !bytes.starts_with(SLOT_MAGIC) {
        return None;
    }
    let write_number = header_field(bytes, WRITE_NUMBER_OFFSET)?;
    let length = usize::try_from(header_field(bytes, LENGTH_OFFSET)?).ok()?;
    let stored_checksum = header_field(bytes, CHECKSUM_OFFSET)?;
    let payload = bytes.get(HEADER_LENGTH..HEADER_LENGTH.checked_add(length)?)?;
    if checksum(write_number, payload) != stored_checksum || write_number > MAX_WRITE_NUMBER {
        return None;
    }
    // A state that another build wrote may be valid but not decodable by this build: it counts as corrupt too.
    let state = rmp_serde::from_slice(payload).ok()?;
    Some(SlotContents::State { write_number, state: Box::new(state) })
}

/// Encodes the bytes of a slot.
///
/// # Errors
///
/// If the state can't be encoded. It is never replaced by an empty state.
pub fn encode_slot<S: Serialize>(write_number: u64, state: &S) -> Result<Vec<u8>, EncodeError> {
    let payload = rmp_serde::to_vec(state)?;
    let mut slot = Vec::with_capacity(HEADER_LENGTH + payload.len());
    slot.extend_from_slice(SLOT_MAGIC);
    slot.extend_from_slice(&write_number.to_le_bytes());
    slot.extend_from_slice(&(payload.len() as u64).to_le_bytes());
    slot.extend_from_slice(&checksum(write_number, &payload).to_le_bytes());
    slot.extend_from_slice(&payload);
    Ok(slot)
}

/// Which of the two slots is written next: the one with the older state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotCursor {
    last_write: u64,
    slot: usize,
}

impl SlotCursor {
    /// Creates the cursor from the contents of both slots, and returns the newer of their states.
    #[must_use]
    pub fn recover(contents: [SlotContents; 2]) -> (SlotCursor, Option<DurableState>) {
        let mut newest: Option<(SlotCursor, DurableState)> = None;
        for (slot, contents) in contents.into_iter().enumerate() {
            let SlotContents::State { write_number, state } = contents else { continue };
            if newest.as_ref().is_none_or(|(cursor, _)| write_number >= cursor.last_write) {
                newest = Some((SlotCursor { last_write: write_number, slot: 1 - slot }, *state));
            }
        }
        match newest {
            Some((cursor, state)) => (cursor, Some(state)),
            None => (SlotCursor::default(), None),
        }
    }

    /// The index of the slot that is written next, 0 or 1.
    #[must_use]
    pub fn slot(&self) -> usize {
        self.slot
    }

    /// Encodes the bytes of the next write.
    ///
    /// # Errors
    ///
    /// If the state can't be encoded.
    pub fn encode(&self, state: &DurableState) -> Result<Vec<u8>, EncodeError> {
        encode_slot(self.last_write + 1, state)
    }

    /// Advances to the other slot, after a write is complete and synced.
    pub fn advance(&mut self) {
        *self = SlotCursor { last_write: self.last_write + 1, slot: 1 - self.slot };
    }
}
