//! Two in-memory slot files whose writes may fail at any step, and which lose or tear unsynced bytes in a power loss.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use violetyoke_store::disk::SlotFiles;

/// What a power loss does to unsynced bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unsynced {
    Lost,
    Kept,
    /// This many bytes are written; the rest of the file is as before.
    Torn(usize),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// The content that a process reads; `None` if there is no file.
    written: Option<Vec<u8>>,
    /// The content that survives a power loss.
    synced: Option<Vec<u8>>,
    /// Whether the directory entry is synced.
    is_entry_synced: bool,
}

#[derive(Debug, Default)]
struct Disk {
    files: [File; 2],
    /// Number of steps that still succeed; each byte written and each sync is a step. `None`: no limit.
    steps_left: Option<usize>,
    /// Syncs of recovered files are reported as successful but have no effect (negative control).
    skips_sync_on_recovery: bool,
}

/// A simulated disk; clones share its state.
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
    /// A disk that doesn't sync the files that a process recovers (negative control).
    pub fn without_sync_on_recovery() -> FaultyFiles {
        let disk = Disk { skips_sync_on_recovery: true, ..Disk::default() };
        FaultyFiles(Rc::new(RefCell::new(disk)))
    }

    /// Sets the number of steps (bytes written and syncs) that succeed from now on; `None` removes the limit.
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
        if !disk.skips_sync_on_recovery {
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
