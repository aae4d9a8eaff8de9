//! Access to the fields of a record, which are little-endian and not padded.

use crate::error::WireError;

/// The bytes of a record. They must extend beyond every field that is read.
pub(crate) struct Record<'a> {
    bytes: &'a [u8],
}

impl<'a> Record<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Record<'a> {
        Record { bytes }
    }

    fn array<const N: usize>(&self, offset: usize) -> [u8; N] {
        let mut array = [0; N];
        array.copy_from_slice(&self.bytes[offset..offset + N]);
        array
    }

    pub(crate) fn u8(&self, offset: usize) -> u8 {
        self.bytes[offset]
    }

    pub(crate) fn u16(&self, offset: usize) -> u16 {
        u16::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u32(&self, offset: usize) -> u32 {
        u32::from_le_bytes(self.array(offset))
    }

    pub(crate) fn u64(&self, offset: usize) -> u64 {
        u64::from_le_bytes(self.array(offset))
    }

    /// Reads a 32-bit floating-point number, which must be finite.
    pub(crate) fn number(&self, offset: usize) -> Result<f64, WireError> {
        let value = f32::from_le_bytes(self.array(offset));
        if value.is_finite() {
            Ok(f64::from(value))
        } else {
            Err(WireError::NotANumber { offset })
        }
    }
}

/// The part of a batch after its records. Records refer to sections of it.
#[derive(Clone, Copy)]
pub(crate) struct Tail<'a>(pub(crate) &'a [u8]);

impl<'a> Tail<'a> {
    pub(crate) fn section(self, start: u32, length: usize) -> Result<&'a [u8], WireError> {
        let start = start as usize;
        let section = start.checked_add(length).and_then(|end| self.0.get(start..end));
        section.ok_or(WireError::Section { length, start, tail: self.0.len() })
    }
}
