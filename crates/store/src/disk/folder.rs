//! The slot files in a folder of the file system.

use super::slot::{decode_slot, SlotContents};
use super::storage::{SlotFiles, SlotStorage};
use crate::consensus::DurableState;
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file names of the slots.
const SLOT_NAMES: [&str; 2] = ["state-0", "state-1"];

/// A folder with the files of both slots.
#[derive(Debug)]
pub struct SlotFolder(PathBuf);

impl SlotFolder {
    fn path(&self, slot: usize) -> PathBuf {
        self.0.join(SLOT_NAMES[slot])
    }
}

impl SlotFiles for SlotFolder {
    fn read(&mut self, slot: usize) -> io::Result<Option<Vec<u8>>> {
        read_if_present(&self.path(slot))
    }

    fn write(&mut self, slot: usize, bytes: &[u8]) -> io::Result<()> {
        let path = self.path(slot);
        let mut file = OpenOptions::new().create(true).truncate(false).write(true).open(path)?;
        file.write_all(bytes)?;
        file.set_len(bytes.len() as u64)?;
        file.sync_all()
    }

    fn sync(&mut self, slot: usize) -> io::Result<()> {
        OpenOptions::new().write(true).open(self.path(slot))?.sync_all()
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

impl SlotStorage<SlotFolder> {
    /// Opens a folder, creating it if it doesn't exist; returns the newest state in it, if there is one.
    ///
    /// # Errors
    ///
    /// If the folder can't be created, or a file in it can't be read or synced.
    pub fn open(folder: &Path) -> io::Result<(SlotStorage<SlotFolder>, Option<DurableState>)> {
        std::fs::create_dir_all(folder)?;
        SlotStorage::recover(SlotFolder(folder.to_owned()))
    }
}

/// Reads the contents of both slots of a folder, without creating, writing or syncing anything.
///
/// # Errors
///
/// If a file exists and can't be read.
pub fn inspect(folder: &Path) -> io::Result<[SlotContents; 2]> {
    let [first, second] = SLOT_NAMES;
    Ok([inspect_slot(&folder.join(first))?, inspect_slot(&folder.join(second))?])
}

/// Reads the contents of one slot's file.
///
/// # Errors
///
/// If the file exists and can't be read.
pub fn inspect_slot(path: &Path) -> io::Result<SlotContents> {
    Ok(read_if_present(path)?.map_or(SlotContents::Missing, |bytes| decode_slot(&bytes)))
}

fn read_if_present(path: &Path) -> io::Result<Option<Vec<u8>>> {
    match std::fs::read(path) {
        Ok(bytes) => Ok(Some(bytes)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(error),
    }
}
