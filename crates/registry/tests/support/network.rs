//! An emulated network without delays, on which a registry runs in virtual time.

use futures_util::future::LocalBoxFuture;
use futures_util::FutureExt;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use tokio::io::{duplex, DuplexStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedSender};
use violetyoke_transport::environment::{Disk, Environment, Incoming};

/// Bytes that a stream holds before its writer waits.
const BUFFER_BYTES: usize = 64 << 10;

type Listeners = BTreeMap<SocketAddr, UnboundedSender<(DuplexStream, SocketAddr)>>;

/// The network: all listeners by address.
#[derive(Default)]
pub(crate) struct Network(Rc<RefCell<Listeners>>);

impl Environment for Network {
    fn connect(&self, to: SocketAddr) -> LocalBoxFuture<'static, io::Result<DuplexStream>> {
        let listeners = self.0.clone();
        async move {
            let (near, far) = duplex(BUFFER_BYTES);
            let listeners = listeners.borrow();
            let listener = listeners.get(&to).ok_or(io::ErrorKind::ConnectionRefused)?;
            listener.send((far, to)).map_err(|_| io::ErrorKind::ConnectionRefused)?;
            Ok(near)
        }
        .boxed_local()
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Incoming> {
        let (listener, incoming) = unbounded_channel();
        self.0.borrow_mut().insert(at, listener);
        Ok(incoming)
    }

    fn disk(&self, _: &Path) -> Rc<dyn Disk> {
        unreachable!("a registry has no disk")
    }
}
