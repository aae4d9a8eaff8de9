//! What the store keeps of one shard.

use crate::{Epoch, Name};
use serde::{Deserialize, Serialize};

/// Owners in a row that may fall over a shard's work, without an act done, before it is set aside.
pub const FALLS: u32 = 5;
/// Renewals after which those who fell before are candidates like others again: some ten lengths.
pub const FORGIVEN: u64 = 30;
/// Fallen holders that are remembered.
const REMEMBERED: usize = 8;

/// One shard's lease. It is never deleted while its duty is there: what it has come to goes from owner to owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    #[serde(flatten)]
    pub name: Name,
    /// None: nobody's.
    pub holder: Option<String>,
    /// Of the newest grant; 0: none yet.
    pub epoch: Epoch,
    /// Goes up with each renewal: two grantors on one store see by it that a holder lives.
    pub beat: u64,
    pub length_ms: u64,
    /// How far the work has come, as owners have noted it: it never goes back.
    pub mark: u64,
    /// Acts under this epoch.
    pub acts: u64,
    /// Holders whose lease ran out in their hands, the newest last: none of them gets it while others are there,
    /// until one has held it for a good while.
    pub fallen: Vec<String>,
    /// How many in a row fell before they had done anything.
    pub falls: u32,
    /// Why nobody is to have it: its owners fall. An operator's word stands elsewhere.
    pub held_back: Option<String>,
    /// Unix times in milliseconds, to be shown: of the grant, and of the last sign of work.
    pub since: u64,
    pub worked: u64,
}

impl Record {
    pub fn new(name: Name) -> Record {
        Record {
            name,
            holder: None,
            epoch: 0,
            beat: 0,
            length_ms: 0,
            mark: 0,
            acts: 0,
            fallen: Vec::new(),
            falls: 0,
            held_back: None,
            since: 0,
            worked: 0,
        }
    }

    /// Whether a claim is the newest grant, and still out.
    pub fn is(&self, holder: &str, epoch: Epoch) -> bool {
        self.epoch == epoch && self.holder.as_deref() == Some(holder)
    }

    /// Its owner's lease ends in its hands.
    pub(crate) fn fall(&mut self) {
        if let Some(holder) = self.holder.take() {
            self.fallen.retain(|fallen| *fallen != holder);
            self.fallen.push(holder);
            let beyond = self.fallen.len().saturating_sub(REMEMBERED);
            self.fallen.drain(..beyond);
        }
        self.falls = if self.acts > 0 { 0 } else { self.falls + 1 };
        if self.falls >= FALLS && self.held_back.is_none() {
            self.held_back = Some(format!("{FALLS} owners in a row fell before anything was done"));
        }
    }
}
