//! Decoding of batches: a header, 40-byte records, and a tail that records refer to.

use crate::error::WireError;
use crate::event;
use crate::record::{Record, Tail};
use std::collections::BTreeMap;
use violetyoke_decision::interface::{BackendEntry, Event, ListKind, Micros, Settings};
use violetyoke_settings::parse_settings;

/// Size of a batch's header (bytes).
pub const BATCH_HEADER_BYTES: usize = 20;
const RECORD_BYTES: usize = 40;
const ENTRY_BYTES: usize = 22;
/// Number of lists that the simulator can refer to, from 0.
const MAX_LISTS: u32 = 16;

/// Codes of the records that are decoded here and not in the module `event`.
mod code {
    pub(super) const LIST: u8 = 1;
    pub(super) const STOP: u8 = 2;
    pub(super) const INSTANCE: u8 = 5;
    pub(super) const BACKENDS: u8 = 6;
    pub(super) const START: u8 = 10;
}

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// Length of the batch without the header (bytes).
    pub length: usize,
    /// Number of records.
    pub records: usize,
    /// Time of the simulator's clock.
    pub now: Micros,
    /// The number of the batch. The reply has the same number.
    pub number: u32,
}

/// An input of an instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Starts the instance. It replaces a running one with the same number.
    Start {
        /// Seed of its random numbers.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// Stops the instance.
    Stop,
    /// An event that the instance handles.
    Event(Event),
}

/// An input with its instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceInput {
    /// The number of the instance.
    pub instance: u32,
    /// The input.
    pub input: Input,
}

/// A decoded batch.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Time of the simulator's clock.
    pub now: Micros,
    /// The number of the batch.
    pub number: u32,
    /// The inputs in the order of their records.
    pub inputs: Vec<InstanceInput>,
}

/// Decodes batches. It keeps the numbered lists, which all instances of the process share and which are valid
/// across batches.
#[derive(Default)]
pub struct Decoder {
    lists: BTreeMap<u32, Vec<BackendEntry>>,
}

impl From<&[u8; BATCH_HEADER_BYTES]> for BatchHeader {
    fn from(bytes: &[u8; BATCH_HEADER_BYTES]) -> BatchHeader {
        let record = Record::new(bytes);
        BatchHeader {
            length: record.u32(0) as usize,
            records: record.u32(4) as usize,
            now: record.u64(8),
            number: record.u32(16),
        }
    }
}

impl Decoder {
    /// Decodes a batch from its header and the bytes after it.
    ///
    /// # Errors
    /// Any [`WireError`] of frames and settings. Lists that came before the malformed record are kept.
    pub fn decode(&mut self, header: &BatchHeader, body: &[u8]) -> Result<Batch, WireError> {
        let BatchHeader { length, records, now, number } = *header;
        if length != body.len() {
            return Err(WireError::BatchLength { expected: length, received: body.len() });
        }
        let size = records
            .checked_mul(RECORD_BYTES)
            .filter(|size| *size <= length)
            .ok_or(WireError::RecordCount { records, length })?;
        let (records, tail) = body.split_at(size);
        let tail = Tail(tail);
        let mut instance = None;
        let mut inputs = Vec::new();
        for bytes in records.chunks_exact(RECORD_BYTES) {
            let record = Record::new(bytes);
            match record.u8(0) {
                code::INSTANCE => instance = Some(record.u32(1)),
                code::LIST => self.decode_list(&record, tail)?,
                _ => {
                    let input = self.decode_input(&record, tail)?;
                    inputs.push(InstanceInput { instance: instance.ok_or(WireError::NoInstance)?, input });
                }
            }
        }
        Ok(Batch { now, number, inputs })
    }

    fn decode_list(&mut self, record: &Record<'_>, tail: Tail<'_>) -> Result<(), WireError> {
        let number = record.u32(1);
        if number >= MAX_LISTS {
            return Err(WireError::ListNumber(number));
        }
        let count = record.u32(9) as usize;
        let bytes = tail.section(record.u32(5), count.saturating_mul(ENTRY_BYTES))?;
        let entries = bytes.chunks_exact(ENTRY_BYTES).map(|bytes| event::decode_entry(&Record::new(bytes)));
        let entries = entries.collect::<Result<_, _>>()?;
        self.lists.insert(number, entries);
        Ok(())
    }

    fn decode_input(&self, record: &Record<'_>, tail: Tail<'_>) -> Result<Input, WireError> {
        Ok(match record.u8(0) {
            code::START => {
                let text = tail.section(record.u32(9), record.u32(13) as usize)?;
                Input::Start { seed: record.u64(1), settings: Box::new(parse_settings(text)?) }
            }
            code::STOP => Input::Stop,
            code::BACKENDS => Input::Event(self.decode_backends(record)?),
            code => Input::Event(event::decode(code, record, tail)?),
        })
    }

    fn decode_backends(&self, record: &Record<'_>) -> Result<Event, WireError> {
        let kind = match record.u8(1) {
            0 => ListKind::Delta,
            2 => ListKind::Cached,
            3 => ListKind::Full,
            4 => ListKind::Failed,
            code => return Err(WireError::ListKind(code)),
        };
        let entries = if kind == ListKind::Failed {
            Vec::new()
        } else {
            let number = record.u32(10);
            self.lists.get(&number).ok_or(WireError::UnknownList(number))?.clone()
        };
        Ok(Event::Backends { kind, version: record.u64(2), entries })
    }
}
