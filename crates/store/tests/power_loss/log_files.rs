//! In-memory log segments whose writes may fail at any step, and which lose or tear unsynced bytes in a power loss.

use super::files::Unsynced;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use violetyoke_store::disk::operation_log::{LogFiles, SegmentNumber};

/// Which syncs report success without any effect (negative controls).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum SkippedSync {
    #[default]
    None,
    /// Syncs of segments that a process recovers.
    Recovered,
    /// Syncs of the directory.
    Directory,
}

#[derive(Clone, Debug, Default)]
struct File {
    /// The bytes that a process reads.
    written: Vec<u8>,
    /// Number of written bytes that survive a power loss.
    synced: usize,
    /// Whether the directory entry is synced.
    is_entry_synced: bool,
}

#[derive(Debug, Default)]
struct Disk {
    files: BTreeMap<SegmentNumber, File>,
    /// Number of steps that still succeed; each byte written, file created and sync is a step. `None`: no limit.
    steps_left: Option<usize>,
    skipped: SkippedSync,
    refuses_removal: bool,
}

/// A simulated disk; clones share its state.
#[derive(Clone, Debug, Default)]
pub struct FaultyLogFiles(Rc<RefCell<Disk>>);

impl Disk {
    /// Uses up to `requested` steps. Returns how many succeed.
    fn take_steps(&mut self, requested: usize) -> usize {
        let Some(left) = &mut self.steps_left else { return requested };
        let taken = requested.min(*left);
        *left -= taken;
        taken
    }

    fn step(&mut self) -> io::Result<()> {
        if self.take_steps(1) == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn file(&mut self, segment: SegmentNumber) -> io::Result<&mut File> {
        self.files.get_mut(&segment).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn lose_power(&mut self, unsynced: Unsynced) {
        self.files.retain(|_, file| file.is_entry_synced || unsynced != Unsynced::Lost);
        for file in self.files.values_mut() {
            let kept = match unsynced {
                Unsynced::Lost => file.synced,
                Unsynced::Kept => file.written.len(),
                Unsynced::Torn(at) => file.written.len().min(file.synced + at),
            };
            file.written.truncate(kept);
            *file = File { synced: kept, is_entry_synced: true, written: std::mem::take(&mut file.written) };
        }
        self.steps_left = None;
    }
}

impl FaultyLogFiles {
    pub fn skipping(skipped: SkippedSync) -> FaultyLogFiles {
        FaultyLogFiles(Rc::new(RefCell::new(Disk { skipped, ..Disk::default() })))
    }

    /// Sets the number of steps (bytes, files and syncs) that succeed from now on; `None` removes the limit.
    pub fn limit_steps(&self, steps: Option<usize>) {
        self.0.borrow_mut().steps_left = steps;
    }

    pub fn refuse_removal(&self, refuses_removal: bool) {
        self.0.borrow_mut().refuses_removal = refuses_removal;
    }

    pub fn lose_power(&self, unsynced: Unsynced) {
        self.0.borrow_mut().lose_power(unsynced);
    }

    pub fn segments(&self) -> usize {
        self.0.borrow().files.len()
    }
}

impl LogFiles for FaultyLogFiles {
    fn list(&mut self) -> io::Result<Vec<SegmentNumber>> {
        Ok(self.0.borrow().files.keys().rev().copied().collect())
    }

    fn read(&mut self, segment: SegmentNumber) -> io::Result<Vec<u8>> {
        Ok(self.0.borrow_mut().file(segment)?.written.clone())
    }

    fn sync(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        disk.step()?;
        if disk.skipped != SkippedSync::Recovered {
            let file = disk.file(segment)?;
            file.synced = file.written.len();
        }
        Ok(())
    }

    fn create(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        disk.step()?;
        match disk.files.insert(segment, File::default()) {
            Some(_) => Err(io::ErrorKind::AlreadyExists.into()),
            None => Ok(()),
        }
    }

    fn append(&mut self, segment: SegmentNumber, bytes: &[u8]) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        let count = disk.take_steps(bytes.len());
        disk.file(segment)?.written.extend_from_slice(&bytes[..count]);
        // The sync fails as well if no step is left.
        disk.step()?;
        let file = disk.file(segment)?;
        file.synced = file.written.len();
        Ok(())
    }

    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        if disk.refuses_removal {
            return Err(io::ErrorKind::PermissionDenied.into());
        }
        disk.files.remove(&segment).map(drop).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        let disk = &mut *self.0.borrow_mut();
        disk.step()?;
        if disk.skipped != SkippedSync::Directory {
            disk.files.values_mut().for_each(|file| file.is_entry_synced = true);
        }
        Ok(())
    }
}
