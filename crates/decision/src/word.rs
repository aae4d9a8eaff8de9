//! The form of word between gateways. Nothing is decided here.
//!
//! ```text
//!   (customer u64, units f32) ...                           what was sent on; 21 at most
//!   id u32, customer u64, plan u16, spread u16, first u16, units f32
//!                                                           to be counted at its home; below 0: given back
//!   id u32, within u8, wait u32                             how that has judged; when to come again (us)
//! ```
//!
//! All little-endian. Anything else says nothing.

use crate::interface::{CustomerId, RequestId};

const RECORD: usize = 12;
/// Records that fit into one message.
pub const MOST_RECORDS: usize = 21;

const ASK: usize = 22;
const JUDGED: usize = 9;

/// What one gateway tells another.
#[derive(Clone, Debug, PartialEq)]
pub enum Word {
    Sent(Vec<(CustomerId, f64)>),
    Ask { id: RequestId, of: CustomerId, plan: u16, gateway_count: u16, first: u16, units: f64 },
    Judged { id: RequestId, within: bool, wait: u32 },
}

impl Word {
    pub fn write(&self) -> Vec<u8> {
        match self {
            Word::Sent(records) => {
                let record = |(of, units): &(CustomerId, f64)| {
                    of.to_le_bytes().into_iter().chain((*units as f32).to_le_bytes()).collect::<Vec<u8>>()
                };
                records.iter().flat_map(record).collect()
            }
            Word::Ask { id, of, plan, gateway_count, first, units } => {
                let mut data = Vec::with_capacity(ASK);
                data.extend(id.to_le_bytes());
                data.extend(of.to_le_bytes());
                data.extend(plan.to_le_bytes());
                data.extend(gateway_count.to_le_bytes());
                data.extend(first.to_le_bytes());
                data.extend((*units as f32).to_le_bytes());
                data
            }
            Word::Judged { id, within, wait } => {
                let data = id.to_le_bytes().into_iter().chain([u8::from(*within)]);
                data.chain(wait.to_le_bytes()).collect()
            }
        }
    }

    /// None: not in this form.
    pub fn read(data: &[u8]) -> Option<Word> {
        let mut rest = data;
        match data.len() {
            ASK => Some(Word::Ask {
                id: RequestId::from_le_bytes(take(&mut rest)?),
                of: CustomerId::from_le_bytes(take(&mut rest)?),
                plan: u16::from_le_bytes(take(&mut rest)?),
                gateway_count: u16::from_le_bytes(take(&mut rest)?),
                first: u16::from_le_bytes(take(&mut rest)?),
                units: f64::from(f32::from_le_bytes(take(&mut rest)?)),
            }),
            JUDGED => Some(Word::Judged {
                id: RequestId::from_le_bytes(take(&mut rest)?),
                within: match u8::from_le_bytes(take(&mut rest)?) {
                    0 => false,
                    1 => true,
                    _ => return None,
                },
                wait: u32::from_le_bytes(take(&mut rest)?),
            }),
            length if length.is_multiple_of(RECORD) => {
                let mut record = |_| {
                    let of = CustomerId::from_le_bytes(take(&mut rest)?);
                    Some((of, f64::from(f32::from_le_bytes(take(&mut rest)?))))
                };
                (0..length / RECORD).map(&mut record).collect::<Option<_>>().map(Word::Sent)
            }
            _ => None,
        }
    }
}

/// The next bytes of a message.
fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (taken, left) = rest.split_first_chunk::<N>()?;
    *rest = left;
    Some(*taken)
}
