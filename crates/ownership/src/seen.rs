//! What a grantor knows of a record beside the store: since when it has been as it is, and what operators have said.

use crate::record::Record;
use crate::{Epoch, Micros};

/// An operator's word on one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Word {
    /// Who is to have it while it lives.
    #[serde(default)]
    pub next: Option<String>,
    /// Why nobody is to have it.
    #[serde(default)]
    pub held_back: Option<String>,
}

/// A record as it was last seen, and since when it has been like that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Seen {
    pub holder: Option<String>,
    pub epoch: Epoch,
    pub beat: u64,
    pub fallen: Vec<String>,
    pub held_back: bool,
    pub length: Micros,
    pub at: Micros,
}

impl Seen {
    /// A record as it is now; one that was like that before has been since then.
    pub fn new(record: &Record, known: Option<&Seen>, now: Micros) -> Seen {
        let same = |seen: &&Seen| {
            (&seen.holder, seen.epoch, seen.beat) == (&record.holder, record.epoch, record.beat)
        };
        Seen {
            holder: record.holder.clone(),
            epoch: record.epoch,
            beat: record.beat,
            fallen: record.fallen.clone(),
            held_back: record.held_back.is_some(),
            length: record.length_ms * 1_000,
            at: known.filter(same).map_or(now, |seen| seen.at),
        }
    }
}

/// A moment as holders send it back; never none.
pub(crate) fn token(now: Micros) -> u64 {
    now + 1
}
