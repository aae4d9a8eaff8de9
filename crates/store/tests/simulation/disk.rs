//! A simulated disk: two slots in the store's format, and writes that are not synced yet.

use super::Millis;
use violetyoke_store::consensus::{DurableState, WriteNumber};
use violetyoke_store::disk::{decode_slot, SlotCursor};

/// A disk is unhealthy while a write takes longer than this.
const WRITE_TIMEOUT: Millis = 600;

/// A write that a store has requested and the disk has not synced.
struct PendingWrite {
    number: WriteNumber,
    state: DurableState,
    requested_at: Millis,
}

/// How much of the write in flight is on the disk after the process has died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TornWrite {
    /// Nothing was written.
    Nothing,
    /// Only the first half was written.
    Half,
    /// Everything was written.
    All,
}

/// A simulated disk.
pub struct Disk {
    slots: [Vec<u8>; 2],
    cursor: SlotCursor,
    /// In request order.
    pending: Vec<PendingWrite>,
    /// The number of the write that the disk carries out now.
    in_flight: Option<WriteNumber>,
    /// No write is synced before this time.
    pub stalled_until: Millis,
    /// Factor on the duration of each sync; 1 on a disk of normal speed.
    pub slowness: u64,
}

impl Disk {
    pub fn empty() -> Disk {
        Disk {
            slots: [Vec::new(), Vec::new()],
            cursor: SlotCursor::default(),
            pending: Vec::new(),
            in_flight: None,
            stalled_until: 0,
            slowness: 1,
        }
    }

    /// Reads the newest state, as a process does when it starts.
    pub fn recover(&mut self) -> Option<DurableState> {
        let (cursor, state) = SlotCursor::recover([0, 1].map(|slot| decode_slot(&self.slots[slot])));
        self.cursor = cursor;
        state
    }

    pub fn wipe(&mut self) {
        self.slots = [Vec::new(), Vec::new()];
    }

    pub fn request(&mut self, number: WriteNumber, state: DurableState, now: Millis) {
        self.pending.push(PendingWrite { number, state, requested_at: now });
    }

    /// Starts to write the newest pending state if the disk is idle. Returns the number of the write that was started.
    pub fn begin_write(&mut self) -> Option<WriteNumber> {
        if self.in_flight.is_some() {
            return None;
        }
        // Each state is complete, so a newer one makes earlier pending writes unnecessary.
        self.in_flight = self.pending.last().map(|write| write.number);
        self.in_flight
    }

    /// Completes a write and all that were requested before it. Returns false if the write is not pending any more.
    pub fn complete(&mut self, number: WriteNumber) -> bool {
        let Some(index) = self.pending.iter().position(|write| write.number == number) else { return false };
        let Some(written) = self.pending.drain(..=index).next_back() else { return false };
        self.slots[self.cursor.slot()] = self.encode(&written.state);
        self.cursor.advance();
        self.in_flight = None;
        true
    }

    /// Drops all pending writes: simulates a disk that skips its syncs.
    pub fn skip_writes(&mut self) {
        self.pending.clear();
        self.in_flight = None;
    }

    pub fn has_pending_writes(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the oldest pending write is within the time-out, by the rule of the daemon.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.pending.first().is_none_or(|oldest| now < oldest.requested_at + WRITE_TIMEOUT)
    }

    /// The process dies: pending writes are lost, except for the part of the write in flight that `torn` says.
    pub fn lose_pending_writes(&mut self, torn: TornWrite) {
        let in_flight = self.in_flight.take();
        if let Some(write) = self.pending.iter().find(|write| Some(write.number) == in_flight) {
            let bytes = self.encode(&write.state);
            let slot = &mut self.slots[self.cursor.slot()];
            match torn {
                TornWrite::Nothing => {}
                TornWrite::Half => *slot = bytes[..bytes.len() / 2].to_vec(),
                TornWrite::All => *slot = bytes,
            }
        }
        self.pending.clear();
    }

    fn encode(&self, state: &DurableState) -> Vec<u8> {
        self.cursor.encode(state).expect("a state can be encoded")
    }
}
