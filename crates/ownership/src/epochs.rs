//! Where epochs come from: each is higher than all before it, also after a restart, and after a store was put back
//! from a backup.
//!
//! Three witnesses tell how high the last one was: the store; a file beside the store, which is not part of its
//! backups and is written ahead, a block at a time; and holders, who say what they have seen. The wall clock's
//! milliseconds are a floor at the start, should the first two be lost together: it is a witness that may lie
//! backwards, and so never the only one.

use crate::Epoch;

/// Epochs that one write of the file reserves.
pub const BLOCK: u64 = 1_000;
/// How far ahead of the newest a holder's word may be, in epochs: what a lost store can have given out.
pub const FARTHEST: u64 = 1 << 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Epochs {
    newest: Epoch,
    /// The file says that all up to here may have been given.
    reserved: Epoch,
}

impl Epochs {
    /// A grantor's start. `file`: the mark in the file, 0 for none; `wall_ms`: Unix time.
    pub fn start(store: Epoch, file: Epoch, wall_ms: u64) -> Epochs {
        let newest = store.max(file).max(wall_ms);
        Epochs { newest, reserved: file }
    }

    pub fn newest(&self) -> Epoch {
        self.newest
    }

    /// Whether a holder's word can be true.
    pub fn plausible(&self, seen: Epoch) -> bool {
        seen <= self.newest.saturating_add(FARTHEST)
    }

    /// Somebody has seen that one. What cannot be true is left out.
    pub fn hear(&mut self, seen: Epoch) {
        if self.plausible(seen) {
            self.newest = self.newest.max(seen);
        }
    }

    /// The next epoch; before it is used the file must hold [`Epochs::to_reserve`], where that is some.
    pub fn draw(&mut self) -> Epoch {
        self.newest += 1;
        self.newest
    }

    /// What the file must say before the newest may be used.
    pub fn to_reserve(&self) -> Option<Epoch> {
        (self.newest > self.reserved).then(|| self.newest + BLOCK)
    }

    pub fn reserved(&mut self, mark: Epoch) {
        self.reserved = self.reserved.max(mark);
    }
}
