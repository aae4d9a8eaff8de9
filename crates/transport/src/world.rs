//! What an emulated world gives in place of the operating system's network and disks, installed on one thread.

use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::UnboundedReceiver;

/// Streams, and from where, as they are opened.
pub type Opened = UnboundedReceiver<(DuplexStream, SocketAddr)>;

/// A world. What it is asked for, it is asked by the process that runs at the moment.
pub trait World {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>>;
    fn listen(&self, at: SocketAddr) -> io::Result<Opened>;
    fn disk(&self, folder: &Path) -> Rc<dyn Disk>;
}

/// A disk with two places that are written whole.
pub trait Disk {
    /// What is there, torn or not.
    fn read(&self) -> [Vec<u8>; 2];
    /// Writes and syncs one place.
    fn put(&self, place: usize, bytes: Vec<u8>) -> LocalBoxFuture<'static, io::Result<()>>;
}

thread_local! {
    static WORLD: RefCell<Option<Rc<dyn World>>> = const { RefCell::new(None) };
}

/// Installs a world on this thread, or takes it away.
pub fn install(world: Option<Rc<dyn World>>) {
    WORLD.with(|place| *place.borrow_mut() = world);
}

/// The world of this thread, if it is not the real one.
pub fn here() -> Option<Rc<dyn World>> {
    WORLD.with(|place| place.borrow().clone())
}
