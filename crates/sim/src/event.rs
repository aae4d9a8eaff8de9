//! Decoding of the records of events and of their values.

use crate::error::WireError;
use crate::record::{Record, Tail};
use violetyoke_decision::interface::{
    AttemptEnd, BackendEntry, Condition, Event, Micros, Outcome, Report, Request,
};

/// The maximum number of values in a load report.
const MAX_REPORT_VALUES: usize = 4;

/// Codes of the records.
mod code {
    pub(super) const TIMER: u8 = 3;
    pub(super) const PROBED: u8 = 4;
    pub(super) const COUNTER_ANSWERED: u8 = 7;
    pub(super) const REQUEST: u8 = 8;
    pub(super) const ABANDONED: u8 = 9;
    pub(super) const RESPONSE_STARTED: u8 = 11;
    pub(super) const PEER_MESSAGE: u8 = 12;
    pub(super) const ATTEMPT_ENDED: u8 = 13;
}

/// Bits in the flags of a request.
mod flag {
    pub(super) const RETRY: u16 = 2;
    pub(super) const WRITE: u16 = 4;
}

/// Decodes the event with this code.
pub(crate) fn decode(code: u8, record: &Record<'_>, tail: Tail<'_>) -> Result<Event, WireError> {
    Ok(match code {
        code::REQUEST => Event::Request(decode_request(record)?),
        code::TIMER => Event::Timer { token: record.u64(1) },
        code::ABANDONED => Event::Abandoned { request: record.u32(1) },
        code::PEER_MESSAGE => {
            let data = tail.section(record.u32(5), record.u32(9) as usize)?.to_vec();
            Event::PeerMessage { from: record.u32(1), data }
        }
        code::ATTEMPT_ENDED => Event::AttemptEnded(decode_attempt_end(record)?),
        code::COUNTER_ANSWERED => decode_counter_answer(record)?,
        code::RESPONSE_STARTED => Event::ResponseStarted {
            request: record.u32(1),
            backend: record.u32(5),
            attempt: record.u8(9),
            elapsed: Micros::from(record.u32(10)),
        },
        code::PROBED => Event::Probed {
            backend: record.u32(1),
            outcome: decode_outcome(record.u8(5))?,
            elapsed: Micros::from(record.u32(6)),
            report: decode_report(record, 10)?,
        },
        code => return Err(WireError::EventCode(code)),
    })
}

/// Decodes an entry of a list of backends.
pub(crate) fn decode_entry(record: &Record<'_>) -> Result<BackendEntry, WireError> {
    Ok(BackendEntry {
        id: record.u32(0),
        zone: record.u16(4),
        kind: record.u8(6),
        cell: record.u16(7),
        condition: match record.u8(9) {
            0 => Condition::Gone,
            1 => Condition::Ready,
            2 => Condition::Draining,
            code => return Err(WireError::Condition(code)),
        },
        weight: record.number(10)?,
        started_at: record.u64(14),
    })
}

fn decode_request(record: &Record<'_>) -> Result<Request, WireError> {
    let flags = record.u16(5);
    Ok(Request {
        id: record.u32(1),
        is_retry: flags & flag::RETRY != 0,
        is_write: flags & flag::WRITE != 0,
        plan: record.u16(7),
        gateway_count: record.number(9)?,
        customer: record.u64(13),
        first_gateway: record.number(21)?,
        timeout: Micros::from(record.u32(25)),
        units: record.number(29)?,
        class: record.u16(33),
    })
}

fn decode_attempt_end(record: &Record<'_>) -> Result<AttemptEnd, WireError> {
    Ok(AttemptEnd {
        request: record.u32(1),
        actual_units: f64::from(record.u16(5)),
        closed: record.u8(7) != 0,
        attempt: record.u8(8),
        backend: record.u32(9),
        elapsed: Micros::from(record.u32(13)),
        outcome: decode_outcome(record.u8(17))?,
        usage: record.u16(18),
        report: decode_report(record, 20)?,
    })
}

/// Decodes the result of a counter call. The total is read only if the call was successful.
fn decode_counter_answer(record: &Record<'_>) -> Result<Event, WireError> {
    let outcome = decode_outcome(record.u8(9))?;
    let total = if outcome == Outcome::Ok { record.number(10)? } else { 0.0 };
    Ok(Event::CounterAnswered {
        counter_id: record.u64(1),
        outcome,
        total,
        elapsed: Micros::from(record.u32(14)),
    })
}

/// Decodes a load report: the number of its values, and the values.
fn decode_report(record: &Record<'_>, offset: usize) -> Result<Report, WireError> {
    let count = usize::from(record.u8(offset));
    if count > MAX_REPORT_VALUES {
        return Err(WireError::ReportLength(count));
    }
    (0..count).map(|index| record.number(offset + 1 + 4 * index)).collect()
}

fn decode_outcome(code: u8) -> Result<Outcome, WireError> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Full,
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::Moot,
        code => return Err(WireError::Outcome(code)),
    })
}
