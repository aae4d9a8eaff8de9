//! Encoding of messages between gateways. Nothing is decided here.
//!
//! ```text
//!   (customer u64, units f32) ...                           units sent; 21 records at most
//!   id u32, customer u64, plan u16, gateways u16, first u16, units f32
//!                                                           a query to a home gateway; units below 0: taken back
//!   id u32, within quota u8, retry after u32                the home's decision, and when to retry (us)
//! ```
//!
//! All numbers are little-endian. The length tells the kinds apart; any other message is invalid.

use crate::interface::{CustomerId, RequestId};

const RECORD_BYTES: usize = 12;
/// Records that fit into one message.
pub const MAX_RECORDS: usize = 21;

const QUERY_BYTES: usize = 22;
const DECISION_BYTES: usize = 9;

/// A message from one gateway to another.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Units of customers that the sender has sent to backends since its last update.
    Units(Vec<(CustomerId, f64)>),
    /// Asks a home to count the units of a request; or takes them back, if they are below 0. `gateways` and
    /// `first` are the range of gateways that receive the customer's requests.
    Query { id: RequestId, customer_id: CustomerId, plan: u16, gateways: u16, first: u16, units: f64 },
    /// A home's decision on a query, and the time after which the client may retry (us).
    Decision { id: RequestId, within_quota: bool, retry_after: u32 },
}

impl Message {
    pub fn encode(&self) -> Vec<u8> {
        match self {
            Message::Units(records) => {
                let record = |(customer_id, units): &(CustomerId, f64)| {
                    customer_id
                        .to_le_bytes()
                        .into_iter()
                        .chain((*units as f32).to_le_bytes())
                        .collect::<Vec<u8>>()
                };
                records.iter().flat_map(record).collect()
            }
            Message::Query { id, customer_id, plan, gateways, first, units } => {
                let mut data = Vec::with_capacity(QUERY_BYTES);
                data.extend(id.to_le_bytes());
                data.extend(customer_id.to_le_bytes());
                data.extend(plan.to_le_bytes());
                data.extend(gateways.to_le_bytes());
                data.extend(first.to_le_bytes());
                data.extend((*units as f32).to_le_bytes());
                data
            }
            Message::Decision { id, within_quota, retry_after } => {
                let data = id.to_le_bytes().into_iter().chain([u8::from(*within_quota)]);
                data.chain(retry_after.to_le_bytes()).collect()
            }
        }
    }

    /// None: an invalid message.
    pub fn decode(data: &[u8]) -> Option<Message> {
        let mut rest = data;
        match data.len() {
            QUERY_BYTES => Some(Message::Query {
                id: RequestId::from_le_bytes(take(&mut rest)?),
                customer_id: CustomerId::from_le_bytes(take(&mut rest)?),
                plan: u16::from_le_bytes(take(&mut rest)?),
                gateways: u16::from_le_bytes(take(&mut rest)?),
                first: u16::from_le_bytes(take(&mut rest)?),
                units: f64::from(f32::from_le_bytes(take(&mut rest)?)),
            }),
            DECISION_BYTES => Some(Message::Decision {
                id: RequestId::from_le_bytes(take(&mut rest)?),
                within_quota: match u8::from_le_bytes(take(&mut rest)?) {
                    0 => false,
                    1 => true,
                    _ => return None,
                },
                retry_after: u32::from_le_bytes(take(&mut rest)?),
            }),
            length if length.is_multiple_of(RECORD_BYTES) => {
                let mut record = |_| {
                    let customer_id = CustomerId::from_le_bytes(take(&mut rest)?);
                    Some((customer_id, f64::from(f32::from_le_bytes(take(&mut rest)?))))
                };
                (0..length / RECORD_BYTES).map(&mut record).collect::<Option<_>>().map(Message::Units)
            }
            _ => None,
        }
    }
}

/// Removes and returns the next bytes of a message; none if it is too short.
fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (taken, left) = rest.split_first_chunk::<N>()?;
    *rest = left;
    Some(*taken)
}
