//! The emulated disk: two slots and an append-only log. Syncs take time, faults stall them, and a power loss tears
//! writes.

mod entry_log;

use entry_log::EntryLog;
use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use violetyoke_transport::environment::{AppendLog, Disk};

/// The writes of disks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskWrites {
    /// The number of syncs.
    pub syncs: u64,
    /// The number of synced bytes.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    slots: RefCell<[Vec<u8>; 2]>,
    /// The slot that is being written, and its new contents.
    unsynced: RefCell<Option<(usize, Vec<u8>)>>,
    log: RefCell<EntryLog>,
    sync_time: Cell<Duration>,
    stalled_until: Cell<Option<Instant>>,
    /// Whether the disk reports syncs of slots that it has not done (the negative control).
    is_lying: Cell<bool>,
    /// The same for the log.
    has_lying_log: Cell<bool>,
    writes: Cell<DiskWrites>,
}

impl State {
    /// Waits for the duration of a sync, and for the end of a stall.
    async fn wait_for_sync(&self) {
        sleep(self.sync_time.get()).await;
        while let Some(until) = self.stalled_until.get().filter(|until| Instant::now() < *until) {
            sleep_until(until).await;
        }
    }

    fn count_sync(&self, bytes: u64) {
        let DiskWrites { syncs, bytes: before } = self.writes.get();
        self.writes.set(DiskWrites { syncs: syncs + 1, bytes: before + bytes });
    }
}

/// A machine's disk, which outlives the machine's processes.
#[derive(Clone, Debug, Default)]
pub struct EmulatedDisk(Rc<State>);

impl EmulatedDisk {
    /// Sets the duration of a sync.
    pub fn set_sync_time(&self, time: Duration) {
        self.0.sync_time.set(time);
    }

    /// Sets whether the disk reports syncs of slots that it doesn't do.
    pub fn set_lying(&self, is_lying: bool) {
        self.0.is_lying.set(is_lying);
    }

    /// Sets whether the disk reports syncs of the log that it doesn't do.
    pub fn set_lying_log(&self, is_lying: bool) {
        self.0.has_lying_log.set(is_lying);
    }

    /// Stalls the disk: no sync completes for this time.
    pub fn stall(&self, time: Duration) {
        self.0.stalled_until.set(Some(Instant::now() + time));
    }

    /// Handles the end of a process. What it has written stays, unless the power is lost: then data that is not synced
    /// is lost or, if `is_torn`, half of it stays (half a slot, and the first half of the log's unsynced entries).
    pub fn on_process_ended(&self, is_power_lost: bool, is_torn: bool) {
        let mut log = self.0.log.borrow_mut();
        let kept_entries = match (is_power_lost, is_torn) {
            (true, false) => 0,
            (true, true) => log.unsynced().div_ceil(2),
            (false, _) => log.unsynced(),
        };
        log.on_writer_ended(kept_entries);
        if let Some((slot, bytes)) = self.0.unsynced.take() {
            let written = match (is_power_lost, is_torn) {
                (true, false) => return,
                (true, true) => bytes[..bytes.len() / 2].to_vec(),
                (false, _) => bytes,
            };
            self.0.slots.borrow_mut()[slot] = written;
        }
    }

    /// Removes all data, as if the disk were replaced by an empty one.
    pub fn wipe(&self) {
        self.0.unsynced.take();
        self.0.log.take();
        *self.0.slots.borrow_mut() = Default::default();
    }

    /// The writes so far.
    #[must_use]
    pub fn writes(&self) -> DiskWrites {
        self.0.writes.get()
    }
}

impl Disk for EmulatedDisk {
    fn read(&self) -> [Vec<u8>; 2] {
        self.0.slots.borrow().clone()
    }

    fn write_slot(&self, slot: usize, bytes: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        let disk = self.0.clone();
        async move {
            *disk.unsynced.borrow_mut() = Some((slot, bytes));
            disk.wait_for_sync().await;
            if disk.is_lying.get() {
                return Ok(());
            }
            if let Some((slot, bytes)) = disk.unsynced.take() {
                disk.count_sync(bytes.len() as u64);
                disk.slots.borrow_mut()[slot] = bytes;
            }
            Ok(())
        }
        .boxed_local()
    }
}

impl AppendLog for EmulatedDisk {
    fn read(&self) -> Vec<Vec<u8>> {
        self.0.log.borrow().entries()
    }

    fn append(&self, entry: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        let disk = self.0.clone();
        async move {
            let number = disk.log.borrow_mut().write(entry);
            disk.wait_for_sync().await;
            if !disk.has_lying_log.get() {
                let bytes = disk.log.borrow_mut().sync(number);
                disk.count_sync(bytes);
            }
            Ok(())
        }
        .boxed_local()
    }
}
