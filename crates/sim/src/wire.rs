//! The simulator's wire: binary frames to and from the types of [`violetyoke_decision::interface`].
//!
//! Little-endian, no padding between fields. A batch is a header, 40-byte event records and a tail;
//! a reply is a header, 24-byte action records and a tail. Nothing is decided here.

use std::collections::BTreeMap;
use std::fmt;
use violetyoke_decision::interface::*;
use violetyoke_settings::parse_settings;

/// Bytes before a batch's records.
pub const BATCH_HEADER: usize = 20;
const EVENT_SIZE: usize = 40;
const ACTION_SIZE: usize = 24;
const ENTRY_SIZE: usize = 22;
const LISTS: u32 = 16;

/// What is wrong with a frame or with settings, in plain words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError(pub String);

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for WireError {}

fn err<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError(text.into()))
}

/// What one record of a batch brings to one instance.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    Start { seed: u64, settings: Box<Settings> },
    Stop,
    Event(Event),
}

/// A batch: the clock, its number, and what came for which instance, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    pub now: Micros,
    pub number: u32,
    pub inputs: Vec<(u32, Input)>,
}

/// The first fields of a batch: bytes after the header, records, clock and number.
pub fn batch_header(header: &[u8; BATCH_HEADER]) -> (usize, usize, Micros, u32) {
    let at = Fields { bytes: header };
    (at.u32(0) as usize, at.u32(4) as usize, at.u64(8), at.u32(16))
}

struct Fields<'a> {
    bytes: &'a [u8],
}

impl Fields<'_> {
    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut raw = [0; N];
        raw.copy_from_slice(&self.bytes[at..at + N]);
        raw
    }
    fn u8(&self, at: usize) -> u8 {
        self.bytes[at]
    }
    fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.take(at))
    }
    fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.take(at))
    }
    fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.take(at))
    }
    fn number(&self, at: usize) -> Result<f64, WireError> {
        let value = f32::from_le_bytes(self.take(at));
        if value.is_finite() {
            Ok(f64::from(value))
        } else {
            err(format!("a figure that is not a number at byte {at} of a record"))
        }
    }
}

/// Reads batches; remembers the numbered lists, which belong to the process.
#[derive(Default)]
pub struct Decoder {
    lists: BTreeMap<u32, Vec<BackendEntry>>,
}

impl Decoder {
    /// Decodes one batch from its header and the bytes after it.
    pub fn batch(&mut self, header: &[u8; BATCH_HEADER], body: &[u8]) -> Result<Batch, WireError> {
        let (length, records, now, number) = batch_header(header);
        if length != body.len() {
            return err(format!("a batch of {length} bytes came with {}", body.len()));
        }
        let size = records
            .checked_mul(EVENT_SIZE)
            .filter(|size| *size <= length)
            .ok_or_else(|| WireError(format!("{records} records do not fit in a batch of {length} bytes")))?;
        let (records, tail) = body.split_at(size);
        let mut instance = None;
        let mut inputs = Vec::new();
        for record in records.chunks_exact(EVENT_SIZE) {
            let fields = Fields { bytes: record };
            match fields.u8(0) {
                5 => instance = Some(fields.u32(1)),
                1 => self.list(&fields, tail)?,
                _ => {
                    let input = self.input(&fields, tail)?;
                    let instance = instance.ok_or(WireError("an event without an instance".into()))?;
                    inputs.push((instance, input));
                }
            }
        }
        Ok(Batch { now, number, inputs })
    }

    fn list(&mut self, fields: &Fields, tail: &[u8]) -> Result<(), WireError> {
        let number = fields.u32(1);
        if number >= LISTS {
            return err(format!("list number {number} is out of range"));
        }
        let count = fields.u32(9) as usize;
        let bytes = section(tail, fields.u32(5), count.saturating_mul(ENTRY_SIZE))?;
        let entries = bytes.chunks_exact(ENTRY_SIZE).map(entry).collect::<Result<_, _>>()?;
        self.lists.insert(number, entries);
        Ok(())
    }

    fn input(&self, fields: &Fields, tail: &[u8]) -> Result<Input, WireError> {
        let event = match fields.u8(0) {
            10 => {
                let text = section(tail, fields.u32(9), fields.u32(13) as usize)?;
                return Ok(Input::Start {
                    seed: fields.u64(1),
                    settings: Box::new(parse_settings(text).map_err(|error| WireError(error.to_string()))?),
                });
            }
            2 => return Ok(Input::Stop),
            6 => self.backends(fields)?,
            8 => request(fields)?,
            3 => Event::Timer { token: fields.u64(1) },
            9 => Event::Abandoned { request: fields.u32(1) },
            12 => {
                let data = section(tail, fields.u32(5), fields.u32(9) as usize)?.to_vec();
                Event::PeerMessage { from: fields.u32(1), data }
            }
            13 => Event::AttemptEnded(AttemptEnd {
                request: fields.u32(1),
                settled_units: f64::from(fields.u16(5)),
                closed: fields.u8(7) != 0,
                attempt: fields.u8(8),
                backend: fields.u32(9),
                waited: Micros::from(fields.u32(13)),
                outcome: outcome(fields.u8(17))?,
                usage: fields.u16(18),
                report: report(fields, 20)?,
            }),
            7 => {
                let outcome = outcome(fields.u8(9))?;
                let total = if outcome == Outcome::Ok { fields.number(10)? } else { 0.0 };
                Event::Counted { count: fields.u64(1), outcome, total, waited: Micros::from(fields.u32(14)) }
            }
            11 => Event::AnswerBegun {
                request: fields.u32(1),
                backend: fields.u32(5),
                attempt: fields.u8(9),
                waited: Micros::from(fields.u32(10)),
            },
            4 => Event::Probed {
                backend: fields.u32(1),
                outcome: outcome(fields.u8(5))?,
                waited: Micros::from(fields.u32(6)),
                report: report(fields, 10)?,
            },
            code => return err(format!("unknown event code {code}")),
        };
        Ok(Input::Event(event))
    }

    fn backends(&self, fields: &Fields) -> Result<Event, WireError> {
        let kind = match fields.u8(1) {
            0 => ListKind::Delta,
            2 => ListKind::Cached,
            3 => ListKind::Full,
            4 => ListKind::Failed,
            other => return err(format!("unknown kind of list {other}")),
        };
        let entries = if kind == ListKind::Failed {
            Vec::new()
        } else {
            let number = fields.u32(10);
            match self.lists.get(&number) {
                Some(entries) => entries.clone(),
                None => return err(format!("list number {number} was never sent")),
            }
        };
        Ok(Event::Backends { kind, version: fields.u64(2), entries })
    }
}

fn section(tail: &[u8], start: u32, length: usize) -> Result<&[u8], WireError> {
    let start = start as usize;
    match start.checked_add(length).and_then(|end| tail.get(start..end)) {
        Some(bytes) => Ok(bytes),
        None => err(format!("{length} bytes at {start} reach past a tail of {} bytes", tail.len())),
    }
}

fn entry(bytes: &[u8]) -> Result<BackendEntry, WireError> {
    let fields = Fields { bytes };
    Ok(BackendEntry {
        id: fields.u32(0),
        zone: fields.u16(4),
        kind: fields.u8(6),
        cell: fields.u16(7),
        condition: match fields.u8(9) {
            0 => Condition::Gone,
            1 => Condition::Ready,
            2 => Condition::Draining,
            other => return err(format!("unknown condition {other} of a backend")),
        },
        share: fields.number(10)?,
        born: fields.u64(14),
    })
}

fn request(fields: &Fields) -> Result<Event, WireError> {
    let bits = fields.u16(5);
    Ok(Event::Request(Request {
        id: fields.u32(1),
        repeat: bits & 2 != 0,
        write: bits & 4 != 0,
        plan: fields.u16(7),
        spread: fields.number(9)?,
        customer: fields.u64(13),
        first_gateway: fields.number(21)?,
        budget: Micros::from(fields.u32(25)),
        units: fields.number(29)?,
        class: fields.u16(33),
    }))
}

fn report(fields: &Fields, at: usize) -> Result<Report, WireError> {
    let count = fields.u8(at) as usize;
    if count > 4 {
        return err(format!("a load report of {count} values"));
    }
    (0..count).map(|i| fields.number(at + 1 + 4 * i)).collect()
}

fn outcome(code: u8) -> Result<Outcome, WireError> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Full,
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::Moot,
        other => return err(format!("unknown outcome {other}")),
    })
}

/// Encodes the reply to batch `number`: each instance's actions, in order.
pub fn reply(number: u32, actions: &[(u32, Vec<Action>)]) -> Vec<u8> {
    let mut records = Vec::new();
    let mut tail = Vec::new();
    for (instance, actions) in actions.iter().filter(|(_, actions)| !actions.is_empty()) {
        record(&mut records, 78, &[&instance.to_le_bytes()]);
        for action in actions {
            encode(action, &mut records, &mut tail);
        }
    }
    let mut frame = Vec::with_capacity(12 + records.len() + tail.len());
    frame.extend(((records.len() / ACTION_SIZE) as u32).to_le_bytes());
    frame.extend(((records.len() + tail.len()) as u32).to_le_bytes());
    frame.extend(number.to_le_bytes());
    frame.extend(records);
    frame.extend(tail);
    frame
}

fn record(records: &mut Vec<u8>, code: u8, fields: &[&[u8]]) {
    let start = records.len();
    records.push(code);
    for field in fields {
        records.extend_from_slice(field);
    }
    records.resize(start + ACTION_SIZE, 0);
}

fn span(tail: &mut Vec<u8>, data: &[u8]) -> [u8; 8] {
    let mut field = [0; 8];
    field[..4].copy_from_slice(&(tail.len() as u32).to_le_bytes());
    field[4..].copy_from_slice(&(data.len() as u32).to_le_bytes());
    tail.extend_from_slice(data);
    field
}

fn encode(action: &Action, records: &mut Vec<u8>, tail: &mut Vec<u8>) {
    let short = |span: Micros| u32::try_from(span).unwrap_or(u32::MAX).to_le_bytes();
    match action {
        Action::Send { request, backend, expires } => {
            record(records, 65, &[&request.to_le_bytes(), &backend.to_le_bytes(), &expires.to_le_bytes()])
        }
        Action::Refuse { request, retry_after, .. } => {
            record(records, 66, &[&request.to_le_bytes(), &short(*retry_after)]);
        }
        Action::Fail { request, .. } => record(records, 67, &[&request.to_le_bytes()]),
        Action::Cancel { request, attempt } => record(records, 68, &[&request.to_le_bytes(), &[*attempt]]),
        Action::Timer { at, token } => record(records, 69, &[&at.to_le_bytes(), &token.to_le_bytes()]),
        Action::Probe { backend } => record(records, 70, &[&backend.to_le_bytes()]),
        // The simulator keeps its own connections.
        Action::KeepIdle { .. } => {}
        // It has no classes that only ask.
        Action::Admit { .. } => {}
        Action::CloseIdle { backend } => record(records, 71, &[&backend.to_le_bytes()]),
        Action::Tell { to, data } => {
            let span = span(tail, data);
            record(records, 72, &[&to.unwrap_or(u16::MAX).to_le_bytes(), &span]);
        }
        Action::Log { text } => {
            let span = span(tail, text.as_bytes());
            record(records, 73, &[&span]);
        }
        Action::Broken { text } => {
            let span = span(tail, text.as_bytes());
            record(records, 74, &[&span]);
        }
        Action::Watch { on } => record(records, 75, &[&[u8::from(*on)]]),
        Action::FetchList => record(records, 76, &[]),
        Action::Count { count, amount, life } => {
            record(records, 77, &[&count.to_le_bytes(), &(*amount as f32).to_le_bytes(), &short(*life)])
        }
    }
}
