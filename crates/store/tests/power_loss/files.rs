//! Two files in memory whose writes may fail at any step, and which lose or tear unsynced bytes in a loss of power.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use violetyoke_store::disk::SlotFiles;

/// What a loss of power makes of bytes that were not synced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unsynced {
    Lost,
    Kept,
    /// The first bytes are there, and behind them what was there before.
    Torn(usize),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// What a process reads.
    written: Option<Vec<u8>>,
    /// What a loss of power leaves.
    synced: Option<Vec<u8>>,
    /// Its directory entry is synced.
    is_entry_synced: bool,
}

#[derive(Debug, Default)]
struct Disk {
    files: [File; 2],
    /// How many bytes, and after them syncs, still succeed; all where there is no number.
    steps_left: Option<usize>,
    skips_sync_of_found: bool,
}

/// A disk; clones share it.
#[derive(Clone, Debug, Default)]
pub struct FaultyFiles(Rc<RefCell<Disk>>);

/// `old` with its first bytes overwritten.
fn overwrite(old: Option<&[u8]>, new: &[u8]) -> Vec<u8> {
    let rest = old.and_then(|old| old.get(new.len()..)).unwrap_or_default();
    [new, rest].concat()
}

impl Disk {
    fn step(&mut self) -> io::Result<()> {
        match &mut self.steps_left {
            None => Ok(()),
            Some(0) => Err(io::ErrorKind::StorageFull.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
        }
    }

    fn lose_power(&mut self, unsynced: Unsynced) {
        for file in &mut self.files {
            if file.written != file.synced {
                file.written = match (unsynced, file.written.take()) {
                    (Unsynced::Torn(at), Some(written)) => {
                        Some(overwrite(file.synced.as_deref(), &written[..at.min(written.len())]))
                    }
                    (Unsynced::Torn(_), None) => None,
                    (Unsynced::Lost, _) => file.synced.clone(),
                    (Unsynced::Kept, written) => written,
                };
            }
            if !file.is_entry_synced && unsynced == Unsynced::Lost {
                file.written = None;
            }
            file.synced = file.written.clone();
        }
        self.steps_left = None;
    }
}

impl FaultyFiles {
    /// Reports a file as synced without syncing it, where it is synced as it was found: the negative control.
    pub fn without_sync_of_found() -> FaultyFiles {
        let disk = Disk { skips_sync_of_found: true, ..Disk::default() };
        FaultyFiles(Rc::new(RefCell::new(disk)))
    }

    /// How many bytes, and after them syncs, succeed from now on; all where there is no number.
    pub fn limit_steps(&self, steps: Option<usize>) {
        self.0.borrow_mut().steps_left = steps;
    }

    pub fn lose_power(&self, unsynced: Unsynced) {
        self.0.borrow_mut().lose_power(unsynced);
    }
}

impl SlotFiles for FaultyFiles {
    fn read(&mut self, slot: usize) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().files[slot].written.clone())
    }

    fn write(&mut self, slot: usize, bytes: &[u8]) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        let count = disk.steps_left.map_or(bytes.len(), |left| left.min(bytes.len()));
        let old = disk.files[slot].written.take();
        disk.files[slot].written = Some(overwrite(old.as_deref(), &bytes[..count]));
        disk.steps_left = disk.steps_left.map(|left| left - count);
        if count < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        disk.files[slot].written = Some(bytes.to_vec());
        disk.step()?;
        disk.files[slot].synced = Some(bytes.to_vec());
        Ok(())
    }

    fn sync(&mut self, slot: usize) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        disk.step()?;
        if !disk.skips_sync_of_found {
            disk.files[slot].synced = disk.files[slot].written.clone();
        }
        Ok(())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        disk.step()?;
        for file in &mut disk.files {
            file.is_entry_synced = file.written.is_some();
        }
        Ok(())
    }
}
