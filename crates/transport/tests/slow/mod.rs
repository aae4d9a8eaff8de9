//! A network with one listener, whose connections carry so many bytes a second in each direction, in virtual time.

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

/// Bytes that a writer may send before the link has carried them.
const WINDOW: usize = 4 << 10;
/// Bytes that the link carries at once.
const PACKET: usize = 500;

#[derive(Default)]
struct State {
    listener: RefCell<Option<UnboundedSender<(DuplexStream, SocketAddr)>>>,
    /// How long the link takes to carry a packet; it carries none while there is no time.
    packet_time: Cell<Option<Duration>>,
    connections: Cell<u32>,
}

#[derive(Clone, Default)]
pub(crate) struct SlowNetwork(Rc<State>);

impl SlowNetwork {
    /// Carries so many bits a second from now on.
    pub(crate) fn bits_a_second(&self, bits: u64) {
        self.0.packet_time.set(Some(Duration::from_micros(PACKET as u64 * 8 * 1_000_000 / bits)));
    }

    /// Carries nothing from now on; connections stay open.
    pub(crate) fn stop(&self) {
        self.0.packet_time.set(None);
    }

    /// Connections that were opened so far.
    pub(crate) fn connections(&self) -> u32 {
        self.0.connections.get()
    }
}

/// Runs a test in virtual time on a network whose connections carry so many bits a second.
pub(crate) fn run_on_network<F: Future<Output = ()>>(bits: u64, test: impl FnOnce(SlowNetwork) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime");
    let network = SlowNetwork::default();
    network.bits_a_second(bits);
    environment::install(Some(Rc::new(network.clone())));
    LocalSet::new().block_on(&runtime, test(network));
    environment::install(None);
}

async fn carry(state: Rc<State>, mut from: ReadHalf<DuplexStream>, mut to: WriteHalf<DuplexStream>) {
    let mut packet = vec![0; PACKET];
    while let Ok(read @ 1..) = from.read(&mut packet).await {
        loop {
            match state.packet_time.get() {
                Some(takes) => break sleep(takes).await,
                None => sleep(Duration::from_millis(10)).await,
            }
        }
        if to.write_all(&packet[..read]).await.is_err() {
            return;
        }
    }
    // The reader may have gone: there is nothing more to be carried.
    drop(to.shutdown().await);
}

impl Environment for SlowNetwork {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let state = self.0.clone();
        async move {
            let (near, near_end) = duplex(WINDOW);
            let (far, far_end) = duplex(WINDOW);
            let ((near_read, near_write), (far_read, far_write)) = (split(near_end), split(far_end));
            tokio::task::spawn_local(carry(state.clone(), near_read, far_write));
            tokio::task::spawn_local(carry(state.clone(), far_read, near_write));
            state.connections.set(state.connections.get() + 1);
            let listener = state.listener.borrow();
            let opened = listener.as_ref().ok_or(io::ErrorKind::ConnectionRefused)?;
            opened.send((far, to)).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(near)
        }
        .boxed_local()
    }

    fn listen(&self, _: SocketAddr) -> io::Result<Incoming> {
        let (opened, queue) = unbounded_channel();
        *self.0.listener.borrow_mut() = Some(opened);
        Ok(queue)
    }

    fn disk(&self, _: &Path) -> Rc<dyn Disk> {
        unreachable!("no test of connections asks for a disk")
    }
}
