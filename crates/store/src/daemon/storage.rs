//! The storage of the durable state: a folder, or the disk of an emulated environment.

use crate::consensus::DurableState;
use crate::disk::{decode_slot, SlotCursor, SlotFolder, SlotStorage};
use std::io;
use std::path::Path;
use std::rc::Rc;
use violetyoke_transport::environment::{self, Disk};

/// The storage of this process.
pub(super) enum Storage {
    Folder(SlotStorage<SlotFolder>),
    Emulated(Rc<dyn Disk>, SlotCursor),
}

impl Storage {
    /// Opens a folder, and reads the newest state in it, if there is one.
    pub(super) fn open(folder: &Path) -> io::Result<(Storage, Option<DurableState>)> {
        if let Some(environment) = environment::current() {
            let disk = environment.disk(folder);
            let (cursor, durable) = SlotCursor::recover(disk.read().map(|bytes| decode_slot(&bytes)));
            return Ok((Storage::Emulated(disk, cursor), durable));
        }
        SlotStorage::open(folder).map(|(storage, durable)| (Storage::Folder(storage), durable))
    }
}
