//! The emulated disk: two slots, written in time, torn by a power loss, stalled by faults.

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use violetyoke_transport::environment::Disk;

/// What was written to disks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiskWrites {
    /// How often something was synced.
    pub syncs: u64,
    /// How many bytes were synced.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct State {
    slots: RefCell<[Vec<u8>; 2]>,
    /// The slot that is being written, and its new contents.
    unsynced: RefCell<Option<(usize, Vec<u8>)>>,
    sync_time: Cell<Duration>,
    stalled_until: Cell<Option<Instant>>,
    /// It reports syncs that it has not done: the negative control.
    is_lying: Cell<bool>,
    writes: Cell<DiskWrites>,
}

/// A machine's disk; it outlives the machine's processes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EmulatedDisk(Rc<State>);

impl EmulatedDisk {
    /// How long a sync takes.
    pub(crate) fn set_sync_time(&self, time: Duration) {
        self.0.sync_time.set(time);
    }

    pub(crate) fn set_lying(&self, is_lying: bool) {
        self.0.is_lying.set(is_lying);
    }

    /// No sync completes for that long.
    pub(crate) fn stall(&self, time: Duration) {
        self.0.stalled_until.set(Some(Instant::now() + time));
    }

    /// A process has ended: what it wrote stays. With the power, what is not synced is lost; if `is_torn`, half of it
    /// is there.
    pub(crate) fn on_process_ended(&self, is_power_lost: bool, is_torn: bool) {
        if let Some((slot, bytes)) = self.0.unsynced.take() {
            let written = match (is_power_lost, is_torn) {
                (true, false) => return,
                (true, true) => bytes[..bytes.len() / 2].to_vec(),
                (false, _) => bytes,
            };
            self.0.slots.borrow_mut()[slot] = written;
        }
    }

    /// An empty disk takes its place.
    pub(crate) fn wipe(&self) {
        self.0.unsynced.take();
        *self.0.slots.borrow_mut() = Default::default();
    }

    /// What was written so far.
    pub(crate) fn writes(&self) -> DiskWrites {
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
            sleep(disk.sync_time.get()).await;
            while let Some(until) = disk.stalled_until.get().filter(|until| Instant::now() < *until) {
                sleep_until(until).await;
            }
            if disk.is_lying.get() {
                return Ok(());
            }
            if let Some((slot, bytes)) = disk.unsynced.take() {
                let writes = disk.writes.get();
                disk.writes
                    .set(DiskWrites { syncs: writes.syncs + 1, bytes: writes.bytes + bytes.len() as u64 });
                disk.slots.borrow_mut()[slot] = bytes;
            }
            Ok(())
        }
        .boxed_local()
    }
}
