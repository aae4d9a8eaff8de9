//! The interface through which an emulation replaces the operating system's network and disks. An environment is installed
//! for one thread.

use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// Receives accepted connections, each with the address of the peer.
pub type Incoming = UnboundedReceiver<(DuplexStream, SocketAddr)>;

/// The network and the disks of emulated machines. A call refers to the machine whose process runs at the moment.
pub trait Environment {
    /// Opens a connection.
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>>;
    /// Listens on an address until the receiver is dropped.
    fn listen(&self, at: SocketAddr) -> io::Result<Incoming>;
    /// The emulated disk for a folder.
    fn disk(&self, folder: &Path) -> Rc<dyn Disk>;
    /// The emulated append-only log for a folder. The default log does not store entries.
    fn log(&self, _folder: &Path) -> Rc<dyn AppendLog> {
        Rc::new(VolatileLog)
    }
}

/// A disk with two slots, each of which is written as a unit.
pub trait Disk {
    /// The contents of both slots, which may be from incomplete writes.
    fn read(&self) -> [Vec<u8>; 2];
    /// Writes and syncs one slot.
    fn write_slot(&self, slot: usize, bytes: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>>;
}

/// A log of entries, each of which is appended as a unit.
pub trait AppendLog {
    /// The complete entries, in order.
    fn read(&self) -> Vec<Vec<u8>>;
    /// Appends and syncs one entry.
    fn append(&self, entry: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>>;
}

struct VolatileLog;

impl AppendLog for VolatileLog {
    fn read(&self) -> Vec<Vec<u8>> {
        Vec::new()
    }

    fn append(&self, _entry: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>> {
        Box::pin(std::future::ready(Ok(())))
    }
}

thread_local! {
    static ENVIRONMENT: RefCell<Option<Rc<dyn Environment>>> = const { RefCell::new(None) };
}

/// Installs an environment for this thread; `None` removes it.
pub fn install(environment: Option<Rc<dyn Environment>>) {
    ENVIRONMENT.with(|installed| *installed.borrow_mut() = environment);
}

/// The environment of this thread; `None` if the operating system is used.
pub fn current() -> Option<Rc<dyn Environment>> {
    ENVIRONMENT.with(|installed| installed.borrow().clone())
}
