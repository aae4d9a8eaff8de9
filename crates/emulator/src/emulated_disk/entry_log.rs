//! The entries of an emulated append-only log, synced and unsynced.

/// The entries of a log.
#[derive(Debug, Default)]
pub(super) struct EntryLog {
    synced: Vec<Vec<u8>>,
    /// Entries that are written but not synced. A power loss removes them.
    unsynced: Vec<PendingEntry>,
    /// The number of entries written.
    written: u64,
}

#[derive(Debug)]
struct PendingEntry {
    number: u64,
    bytes: Vec<u8>,
}

impl EntryLog {
    /// Writes an entry; returns its number.
    pub(super) fn write(&mut self, bytes: Vec<u8>) -> u64 {
        let number = self.written;
        self.written += 1;
        self.unsynced.push(PendingEntry { number, bytes });
        number
    }

    /// Syncs an entry and all entries before it; returns the number of bytes synced.
    pub(super) fn sync(&mut self, number: u64) -> u64 {
        let count = self.unsynced.iter().take_while(|entry| entry.number <= number).count();
        let entries: Vec<Vec<u8>> = self.unsynced.drain(..count).map(|entry| entry.bytes).collect();
        let bytes = entries.iter().map(|entry| entry.len() as u64).sum();
        self.synced.extend(entries);
        bytes
    }

    /// The synced entries, in order.
    pub(super) fn entries(&self) -> Vec<Vec<u8>> {
        self.synced.clone()
    }

    /// Handles the end of the writing process: the first `kept_entries` unsynced entries stay, the others are lost.
    pub(super) fn on_writer_ended(&mut self, kept_entries: usize) {
        self.synced.extend(self.unsynced.drain(..).take(kept_entries).map(|entry| entry.bytes));
    }

    /// The number of unsynced entries.
    pub(super) fn unsynced(&self) -> usize {
        self.unsynced.len()
    }
}
