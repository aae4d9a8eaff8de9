//! A machine's disk: two slots as the store writes them, and the writes that are not synced yet.

use super::Millis;
use violetyoke_store::consensus::{DurableState, WriteNumber};
use violetyoke_store::disk::{decode_slot, SlotCursor};

/// A disk that takes longer for one write is not healthy.
const WRITE_TIMEOUT: Millis = 600;

/// A write that a store has requested and the disk has not synced.
struct PendingWrite {
    number: WriteNumber,
    state: DurableState,
    requested_at: Millis,
}

/// What becomes of the slot that is being written when a process dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TornWrite {
    /// Nothing of it was written.
    Nothing,
    /// The first half was written.
    Half,
    /// All of it was written.
    All,
}

/// A simulated disk.
pub struct Disk {
    slots: [Vec<u8>; 2],
    cursor: SlotCursor,
    /// In the order of their requests.
    pending: Vec<PendingWrite>,
    /// The number of the one that is being written.
    in_flight: Option<WriteNumber>,
    /// Nothing is synced before this.
    pub stalled_until: Millis,
    /// How many times as long as usual a sync takes.
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

    /// Begins to write the newest pending state, whose number is returned, if the disk is free and there is one.
    pub fn begin_write(&mut self) -> Option<WriteNumber> {
        if self.in_flight.is_some() {
            return None;
        }
        // A later state contains all that an earlier one does.
        self.in_flight = self.pending.last().map(|write| write.number);
        self.in_flight
    }

    /// A write is synced; whether it was still awaited.
    pub fn complete(&mut self, number: WriteNumber) -> bool {
        let Some(index) = self.pending.iter().position(|write| write.number == number) else { return false };
        let Some(written) = self.pending.drain(..=index).next_back() else { return false };
        self.slots[self.cursor.slot()] = self.encode(&written.state);
        self.cursor.advance();
        self.in_flight = None;
        true
    }

    /// Forgets all pending writes, as a disk does that skips its syncs.
    pub fn skip_writes(&mut self) {
        self.pending.clear();
        self.in_flight = None;
    }

    pub fn has_pending_writes(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Whether the disk completes its writes in time, as the daemon judges it.
    pub fn is_healthy(&self, now: Millis) -> bool {
        self.pending.first().is_none_or(|oldest| now < oldest.requested_at + WRITE_TIMEOUT)
    }

    /// The process dies, and pending writes with it, but for what was written of the one in flight.
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
