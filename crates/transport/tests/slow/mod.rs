//! A network with one listener, whose connections have a limited capacity in each direction, in virtual time.

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, split, AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::task::LocalSet;
use tokio::time::sleep;
use violetyoke_transport::environment::{self, Disk, Environment, Incoming};

/// The number of bytes that may be in transit on a link.
const WINDOW: usize = 4 << 10;
/// The size of a packet (bytes).
const PACKET: usize = 500;

#[derive(Default)]
struct State {
    listener: RefCell<Option<UnboundedSender<(DuplexStream, SocketAddr)>>>,
    /// The time that a link takes to transmit a packet; `None` if it transmits nothing.
    packet_time: Cell<Option<Duration>>,
    connections: Cell<u32>,
}

#[derive(Clone, Default)]
pub(crate) struct SlowNetwork(Rc<State>);

impl SlowNetwork {
    /// Sets the capacity of all links.
    pub(crate) fn set_bits_per_second(&self, bits_per_second: u64) {
        self.0.packet_time.set(Some(Duration::from_micros(PACKET as u64 * 8 * 1_000_000 / bits_per_second)));
    }

    /// Stops all transmission; connections stay open.
    pub(crate) fn stop(&self) {
        self.0.packet_time.set(None);
    }

    /// The number of connections that have been opened.
    pub(crate) fn connections(&self) -> u32 {
        self.0.connections.get()
    }
}

/// Runs a test in virtual time on a network whose links have this capacity.
pub(crate) fn run_on_network<F: Future<Output = ()>>(
    bits_per_second: u64,
    test: impl FnOnce(SlowNetwork) -> F,
) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let network = SlowNetwork::default();
    network.set_bits_per_second(bits_per_second);
    environment::install(Some(Rc::new(network.clone())));
    LocalSet::new().block_on(&runtime, test(network));
    environment::install(None);
}

/// Transmits bytes in one direction.
async fn transmit(state: Rc<State>, mut from: ReadHalf<DuplexStream>, mut to: WriteHalf<DuplexStream>) {
    let mut packet = vec![0; PACKET];
    while let Ok(length @ 1..) = from.read(&mut packet).await {
        loop {
            match state.packet_time.get() {
                Some(packet_time) => break sleep(packet_time).await,
                None => sleep(Duration::from_millis(10)).await,
            }
        }
        if to.write_all(&packet[..length]).await.is_err() {
            return;
        }
    }
    // Fails if the reader has closed the connection, which is no error here.
    drop(to.shutdown().await);
}

impl Environment for SlowNetwork {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let state = self.0.clone();
        async move {
            let (near, near_end) = duplex(WINDOW);
            let (far, far_end) = duplex(WINDOW);
            let ((near_read, near_write), (far_read, far_write)) = (split(near_end), split(far_end));
            tokio::task::spawn_local(transmit(state.clone(), near_read, far_write));
            tokio::task::spawn_local(transmit(state.clone(), far_read, near_write));
            state.connections.set(state.connections.get() + 1);
            let listener = state.listener.borrow();
            let connections = listener.as_ref().ok_or(io::ErrorKind::ConnectionRefused)?;
            connections.send((far, to)).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(near)
        }
        .boxed_local()
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Incoming> {
        let (connections, incoming) = unbounded_channel();
        *self.0.listener.borrow_mut() = Some(connections);
        Ok(incoming)
    }

    fn disk(&self, _: &Path) -> Rc<dyn Disk> {
        unreachable!("tests of connections use no disk")
    }
}
