//! The emulated disk: two places, written in time, torn by a loss of power, stalled by trouble.

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, Instant};
use violetyoke_transport::environment::Disk;

#[derive(Debug, Default)]
struct Inner {
    places: RefCell<[Vec<u8>; 2]>,
    /// What is being written.
    open: RefCell<Option<(usize, Vec<u8>)>>,
    sync: Cell<Duration>,
    stalled_until: Cell<Option<Instant>>,
    /// It says that it has synced what it has not: the negative control.
    lies: Cell<bool>,
    syncs: Cell<u64>,
    bytes: Cell<u64>,
}

/// A machine's disk; it outlives the machine's processes.
#[derive(Clone, Debug, Default)]
pub struct Platter(Rc<Inner>);

impl Platter {
    pub fn takes(&self, sync: Duration) {
        self.0.sync.set(sync);
    }

    pub fn lies(&self, lies: bool) {
        self.0.lies.set(lies);
    }

    pub fn stall(&self, span: Duration) {
        self.0.stalled_until.set(Some(Instant::now() + span));
    }

    /// A process has died: what it wrote stays. With the power, what is not synced is lost; `torn`: half of it is there.
    pub fn ended(&self, power: bool, torn: bool) {
        if let Some((place, bytes)) = self.0.open.take() {
            let kept = match (power, torn) {
                (true, false) => return,
                (true, true) => bytes[..bytes.len() / 2].to_vec(),
                (false, _) => bytes,
            };
            self.0.places.borrow_mut()[place] = kept;
        }
    }

    pub fn wipe(&self) {
        self.0.open.take();
        *self.0.places.borrow_mut() = Default::default();
    }

    /// Syncs so far, and the bytes of them.
    pub fn written(&self) -> (u64, u64) {
        (self.0.syncs.get(), self.0.bytes.get())
    }
}

impl Disk for Platter {
    fn read(&self) -> [Vec<u8>; 2] {
        self.0.places.borrow().clone()
    }

    fn write_slot(&self, place: usize, bytes: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        let disk = self.0.clone();
        async move {
            *disk.open.borrow_mut() = Some((place, bytes));
            sleep(disk.sync.get()).await;
            while let Some(until) = disk.stalled_until.get().filter(|until| Instant::now() < *until) {
                sleep_until(until).await;
            }
            if disk.lies.get() {
                return Ok(());
            }
            if let Some((place, bytes)) = disk.open.take() {
                disk.syncs.set(disk.syncs.get() + 1);
                disk.bytes.set(disk.bytes.get() + bytes.len() as u64);
                disk.places.borrow_mut()[place] = bytes;
            }
            Ok(())
        }
        .boxed_local()
    }
}
