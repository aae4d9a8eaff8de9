//! Durable storage of a state in two slots, which are written alternately.

use super::slot::{decode_slot, EncodeError, SlotContents, SlotCursor};
use crate::consensus::DurableState;
use std::io;

/// The files of the two slots, which are numbered 0 and 1.
pub trait SlotFiles {
    /// Reads the bytes of a slot; `None` if it has no file.
    ///
    /// # Errors
    ///
    /// If the file can't be read.
    fn read(&mut self, slot: usize) -> io::Result<Option<Vec<u8>>>;

    /// Writes and syncs all bytes of a slot.
    ///
    /// # Errors
    ///
    /// If the bytes are not written or not synced; the slot may then contain any part of them.
    fn write(&mut self, slot: usize, bytes: &[u8]) -> io::Result<()>;

    /// Syncs a slot without writing to it, so that a loss of power doesn't remove what was read from it.
    ///
    /// # Errors
    ///
    /// If the sync fails.
    fn sync(&mut self, slot: usize) -> io::Result<()>;

    /// Syncs the directory, so that a loss of power does not remove the files.
    ///
    /// # Errors
    ///
    /// If the sync fails.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// Why a state was not written. The previous state is still in the other slot.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    /// The state can't be encoded; no file was changed.
    #[error(transparent)]
    Encode(#[from] EncodeError),
    /// The file system returned an error. The write may be repeated.
    #[error("a slot can't be written")]
    Io(#[from] io::Error),
}

/// Durable storage of one state.
#[derive(Debug)]
pub struct SlotStorage<F> {
    files: F,
    cursor: SlotCursor,
    /// Whether the directory entries of both files are synced.
    directory_synced: bool,
}

impl<F: SlotFiles> SlotStorage<F> {
    /// Syncs and reads both slots; returns the newest complete state, if there is one.
    ///
    /// # Errors
    ///
    /// If a file can't be read or synced. Corrupt slots are no error.
    pub fn recover(mut files: F) -> io::Result<(SlotStorage<F>, Option<DurableState>)> {
        let mut contents = [SlotContents::Missing, SlotContents::Missing];
        for (slot, contents) in contents.iter_mut().enumerate() {
            if let Some(bytes) = files.read(slot)? {
                files.sync(slot)?;
                *contents = decode_slot(&bytes);
            }
        }
        let directory_synced = !contents.contains(&SlotContents::Missing);
        if contents != [SlotContents::Missing, SlotContents::Missing] {
            files.sync_directory()?;
        }
        let (cursor, state) = SlotCursor::recover(contents);
        Ok((SlotStorage { files, cursor, directory_synced }, state))
    }

    /// Writes and syncs a state. Once this returns `Ok`, the state survives a loss of power.
    ///
    /// # Errors
    ///
    /// If the state can't be encoded, or the file system returns an error; the previous state is still in the other
    /// slot.
    pub fn write(&mut self, state: &DurableState) -> Result<(), WriteError> {
        let bytes = self.cursor.encode(state)?;
        self.files.write(self.cursor.slot(), &bytes)?;
        if !self.directory_synced {
            self.files.sync_directory()?;
            self.directory_synced = self.cursor.slot() == 1;
        }
        self.cursor.advance();
        Ok(())
    }
}
