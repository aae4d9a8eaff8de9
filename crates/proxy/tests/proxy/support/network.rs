//! An in-memory network without losses, whose connections are established without delay by default.

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, DuplexStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use tokio::time::sleep;
use violetyoke_transport::environment::{Disk, Environment, Incoming};

/// Buffer size of a connection in each direction (bytes).
const BUFFER_BYTES: usize = 64 << 10;

thread_local! {
    static CONNECT_DELAY: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Sets the delay for establishing connections on this thread, until the next test starts.
pub(crate) fn delay_connections(delay: Duration) {
    CONNECT_DELAY.set(delay);
}

/// Listeners by address. Connections to other addresses are refused.
#[derive(Default)]
pub(crate) struct InMemoryNetwork {
    listeners: RefCell<HashMap<SocketAddr, UnboundedSender<(DuplexStream, SocketAddr)>>>,
}

impl Environment for InMemoryNetwork {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let (ours, theirs) = duplex(BUFFER_BYTES);
        let from = SocketAddr::from(([10, 1, 0, 9], 10_000));
        let accepted =
            self.listeners.borrow().get(&to).is_some_and(|listener| listener.send((theirs, from)).is_ok());
        let result = if accepted { Ok(ours) } else { Err(io::ErrorKind::ConnectionRefused.into()) };
        let delay = CONNECT_DELAY.get();
        async move {
            if !delay.is_zero() {
                sleep(delay).await;
            }
            result
        }
        .boxed_local()
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Incoming> {
        let (sender, incoming) = unbounded_channel();
        self.listeners.borrow_mut().insert(at, sender);
        Ok(incoming)
    }

    fn disk(&self, _folder: &Path) -> Rc<dyn Disk> {
        unreachable!("a proxy has no disk")
    }
}
