//! Two files in memory whose writes stop at any step, and which lose or tear with the power what was not synced.

#![allow(unreachable_pub, reason = "support modules are public to the tests")]
#![allow(clippy::ref_option, reason = "not yet revised for readers: see docs/ROADMAP.md")]

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use violetyoke_store::disk::SlotFiles;

/// What a loss of power makes of a write that was not synced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Unsynced {
    Lost,
    Kept,
    /// The first bytes are there, and what was behind them before.
    Torn(usize),
}

#[derive(Clone, Debug, Default)]
struct File {
    /// What a process reads.
    written: Option<Vec<u8>>,
    /// What a loss of power leaves.
    synced: Option<Vec<u8>>,
    named: bool,
}

#[derive(Debug, Default)]
struct Disk {
    files: [File; 2],
    takes: Option<usize>,
    skips_sync_of_found: bool,
}

/// A disk; clones are the same one.
#[derive(Clone, Debug, Default)]
pub struct LossyFiles(Rc<RefCell<Disk>>);

fn over(old: &Option<Vec<u8>>, new: &[u8]) -> Vec<u8> {
    let rest = old.as_deref().and_then(|old| old.get(new.len()..)).unwrap_or_default();
    [new, rest].concat()
}

impl Disk {
    fn step(&mut self) -> io::Result<()> {
        match &mut self.takes {
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
            let torn = match (unsynced, &file.written) {
                (Unsynced::Torn(at), Some(written)) => {
                    Some(over(&file.synced, &written[..at.min(written.len())]))
                }
                _ => None,
            };
            file.written = match unsynced {
                _ if file.written == file.synced => file.written.take(),
                Unsynced::Lost => file.synced.clone(),
                Unsynced::Kept => file.written.take(),
                Unsynced::Torn(_) => torn,
            };
            if !file.named && unsynced == Unsynced::Lost {
                file.written = None;
            }
            file.synced = file.written.clone();
        }
        self.takes = None;
    }
}

impl LossyFiles {
    /// It says that it has synced what it has not, where a file is synced as it is found: the negative control.
    pub fn without_sync_of_found() -> LossyFiles {
        let disk = Disk { skips_sync_of_found: true, ..Disk::default() };
        LossyFiles(Rc::new(RefCell::new(disk)))
    }

    /// Bytes, and after them syncs, that the disk still takes; all, where there is no number.
    pub fn takes(&self, steps: Option<usize>) {
        self.0.borrow_mut().takes = steps;
    }

    pub fn lose_power(&self, unsynced: Unsynced) {
        self.0.borrow_mut().lose_power(unsynced);
    }
}

impl SlotFiles for LossyFiles {
    fn read(&mut self, slot: usize) -> io::Result<Option<Vec<u8>>> {
        Ok(self.0.borrow().files[slot].written.clone())
    }

    fn write(&mut self, slot: usize, bytes: &[u8]) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        let taken = disk.takes.map_or(bytes.len(), |takes| takes.min(bytes.len()));
        let old = disk.files[slot].written.take();
        disk.files[slot].written = Some(over(&old, &bytes[..taken]));
        disk.takes = disk.takes.map(|takes| takes - taken);
        if taken < bytes.len() {
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
            file.named = file.written.is_some();
        }
        Ok(())
    }
}
