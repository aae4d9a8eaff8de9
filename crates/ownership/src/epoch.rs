//! Epochs of grants, and their allocation.
//!
//! Each epoch is higher than all earlier ones, even after a restart and after the store was restored from a backup.
//! Three sources give the newest epoch: the store; a file beside the store, which is not part of its backups and
//! which reserves epochs in blocks before they are used; and the epochs that holders report. At the start, the wall
//! clock's milliseconds are a lower bound, in case store and file are both lost. The clock may be set back, so it is
//! never the only source.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of epochs that one write of the file reserves.
pub const RESERVATION_BLOCK: u64 = 1_000;
/// How far ahead of the newest known epoch a reported one may be: an upper bound for the epochs that a lost store can
/// have granted.
pub const MAX_EPOCH_LEAD: u64 = 1 << 40;

/// The number of one grant, and its fencing token. Higher is newer, over all shards of all roles; 0: no grant yet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// The epoch that is `count` later, saturating at the highest one.
    #[must_use]
    pub fn advanced_by(self, count: u64) -> Epoch {
        Epoch(self.0.saturating_add(count))
    }
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Allocates epochs for grants, and decides when the file beside the store must be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct EpochAllocator {
    newest: Epoch,
    /// According to the file, all epochs up to this one may have been allocated.
    reserved: Epoch,
}

impl EpochAllocator {
    /// The allocator of a starting control plane. `stored` is the newest epoch in the store, `file` the reservation
    /// in the file beside it (both 0 if absent), `wall_ms` the Unix time.
    pub fn resume(stored: Epoch, file: Epoch, wall_ms: u64) -> EpochAllocator {
        let newest = stored.max(file).max(Epoch(wall_ms));
        EpochAllocator { newest, reserved: file }
    }

    /// The newest epoch that was allocated or observed.
    pub fn newest(&self) -> Epoch {
        self.newest
    }

    /// Whether a reported epoch can have been allocated.
    pub fn is_plausible(&self, reported: Epoch) -> bool {
        reported <= self.newest.advanced_by(MAX_EPOCH_LEAD)
    }

    /// Advances to a reported epoch. An epoch that is not plausible is ignored.
    pub fn observe(&mut self, reported: Epoch) {
        if self.is_plausible(reported) {
            self.newest = self.newest.max(reported);
        }
    }

    /// Allocates the next epoch. It may be used only once the file holds [`EpochAllocator::required_reservation`], if
    /// any.
    pub fn allocate(&mut self) -> Epoch {
        self.newest = self.newest.advanced_by(1);
        self.newest
    }

    /// The reservation that the file must hold before the newest epoch may be used; `None` if the file already covers
    /// it.
    pub fn required_reservation(&self) -> Option<Epoch> {
        (self.newest > self.reserved).then(|| self.newest.advanced_by(RESERVATION_BLOCK))
    }

    /// Records that the file reserves all epochs up to this one.
    pub fn confirm_reservation(&mut self, reserved: Epoch) {
        self.reserved = self.reserved.max(reserved);
    }
}
