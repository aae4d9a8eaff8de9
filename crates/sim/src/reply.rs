//! Encoding of replies: a header, 24-byte records of actions, and a tail that records refer to.

use violetyoke_decision::interface::{Action, Micros};

const HEADER_BYTES: usize = 12;
const RECORD_BYTES: usize = 24;

/// Codes of the records.
mod code {
    pub(super) const SEND: u8 = 65;
    pub(super) const REJECT: u8 = 66;
    pub(super) const FAIL: u8 = 67;
    pub(super) const CANCEL: u8 = 68;
    pub(super) const TIMER: u8 = 69;
    pub(super) const PROBE: u8 = 70;
    pub(super) const CLOSE_IDLE: u8 = 71;
    pub(super) const PEER_MESSAGE: u8 = 72;
    pub(super) const LOG: u8 = 73;
    pub(super) const INTERNAL_ERROR: u8 = 74;
    pub(super) const SUBSCRIBE: u8 = 75;
    pub(super) const FETCH_LIST: u8 = 76;
    pub(super) const ADD_TO_COUNTER: u8 = 77;
    pub(super) const INSTANCE: u8 = 78;
}

/// The actions of an instance, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceActions {
    /// The number of the instance.
    pub instance: u32,
    /// The actions.
    pub actions: Vec<Action>,
}

/// Encodes the reply to the batch with this number. Instances without actions are omitted.
pub fn encode_reply(number: u32, replies: &[InstanceActions]) -> Vec<u8> {
    let mut body = Body::default();
    for reply in replies.iter().filter(|reply| !reply.actions.is_empty()) {
        body.record(code::INSTANCE, &[&reply.instance.to_le_bytes()]);
        for action in &reply.actions {
            body.action(action);
        }
    }
    let Body { records, tail } = body;
    let mut frame = Vec::with_capacity(HEADER_BYTES + records.len() + tail.len());
    frame.extend(((records.len() / RECORD_BYTES) as u32).to_le_bytes());
    frame.extend(((records.len() + tail.len()) as u32).to_le_bytes());
    frame.extend(number.to_le_bytes());
    frame.extend(records);
    frame.extend(tail);
    frame
}

#[derive(Default)]
struct Body {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Body {
    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + RECORD_BYTES, 0);
    }

    /// Appends the data to the tail. Returns the field that refers to it.
    fn section(&mut self, data: &[u8]) -> [u8; 8] {
        let mut field = [0; 8];
        field[..4].copy_from_slice(&(self.tail.len() as u32).to_le_bytes());
        field[4..].copy_from_slice(&(data.len() as u32).to_le_bytes());
        self.tail.extend_from_slice(data);
        field
    }

    fn text(&mut self, code: u8, text: &str) {
        let section = self.section(text.as_bytes());
        self.record(code, &[&section]);
    }

    fn action(&mut self, action: &Action) {
        match action {
            Action::Send { request, backend, expires } => {
                let fields: [&[u8]; 3] =
                    [&request.to_le_bytes(), &backend.to_le_bytes(), &expires.to_le_bytes()];
                self.record(code::SEND, &fields);
            }
            Action::Reject { request, retry_after, .. } => {
                self.record(code::REJECT, &[&request.to_le_bytes(), &duration(*retry_after)]);
            }
            Action::Fail { request, .. } => self.record(code::FAIL, &[&request.to_le_bytes()]),
            Action::Cancel { request, attempt } => {
                self.record(code::CANCEL, &[&request.to_le_bytes(), &[*attempt]]);
            }
            Action::Timer { at, token } => {
                self.record(code::TIMER, &[&at.to_le_bytes(), &token.to_le_bytes()]);
            }
            Action::Probe { backend } => self.record(code::PROBE, &[&backend.to_le_bytes()]),
            // The simulator manages idle connections itself, and has no classes for admission checks.
            Action::SetIdleTimeout { .. } | Action::Admit { .. } => {}
            Action::CloseIdle { backend } => self.record(code::CLOSE_IDLE, &[&backend.to_le_bytes()]),
            Action::SendPeerMessage { to, data } => {
                let section = self.section(data);
                self.record(code::PEER_MESSAGE, &[&to.unwrap_or(u16::MAX).to_le_bytes(), &section]);
            }
            Action::Log { text } => self.text(code::LOG, text),
            Action::InternalError { text } => self.text(code::INTERNAL_ERROR, text),
            Action::Subscribe { on } => self.record(code::SUBSCRIBE, &[&[u8::from(*on)]]),
            Action::FetchList => self.record(code::FETCH_LIST, &[]),
            Action::AddToCounter { counter_id, amount, ttl } => {
                let amount = (*amount as f32).to_le_bytes();
                self.record(code::ADD_TO_COUNTER, &[&counter_id.to_le_bytes(), &amount, &duration(*ttl)]);
            }
        }
    }
}

/// Encodes a duration in 32 bits. Longer durations are encoded as the maximum.
fn duration(micros: Micros) -> [u8; 4] {
    u32::try_from(micros).unwrap_or(u32::MAX).to_le_bytes()
}
