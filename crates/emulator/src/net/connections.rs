//! Connections: opened after a round trip, with a delay in each direction, and ended when a machine has lost power.

use super::Net;
use futures_util::future::pending;
use futures_util::FutureExt;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{duplex, split, AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::mpsc::channel;
use tokio::time::{sleep, sleep_until, Instant};

/// The maximum number of bytes in flight in one direction of a connection.
const WINDOW: usize = 64 << 10;
/// The maximum number of bytes delivered at once.
const CHUNK: usize = 16 << 10;

impl Net {
    pub(super) async fn open(self: Rc<Net>, from: Ipv4Addr, to: SocketAddr) -> io::Result<DuplexStream> {
        let IpAddr::V4(ip) = to.ip() else { return Err(io::ErrorKind::Unsupported.into()) };
        self.wait_until_reachable(from, ip).await;
        sleep(self.delay(from, ip)).await;
        self.wait_until_reachable(ip, from).await;
        let listener = self.listeners.borrow().get(&to).cloned();
        let (ours, near) = duplex(WINDOW);
        let (theirs, far) = duplex(WINDOW);
        self.connections.set(self.connections.get() + 1);
        let port = (10_000 + self.connections.get() % 50_000) as u16;
        let is_accepted =
            listener.is_some_and(|it| it.send((theirs, SocketAddr::from((from, port)))).is_ok());
        sleep(self.delay(ip, from)).await;
        if !is_accepted {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let ((near_read, near_write), (far_read, far_write)) = (split(near), split(far));
        let directions = [
            self.clone().deliver(from, ip, near_read, far_write).boxed_local(),
            self.clone().deliver(ip, from, far_read, near_write).boxed_local(),
        ];
        for direction in directions {
            self.spawn(direction);
        }
        Ok(ours)
    }

    /// Delivers the bytes of one direction of a connection until it ends.
    async fn deliver(
        self: Rc<Net>,
        from: Ipv4Addr,
        to: Ipv4Addr,
        mut reader: ReadHalf<DuplexStream>,
        mut writer: WriteHalf<DuplexStream>,
    ) {
        let losses_before = self.power_losses([from, to]);
        let (chunks, mut due) = channel::<(Instant, Vec<u8>)>(WINDOW / CHUNK);
        let net = self.clone();
        let reading = async move {
            loop {
                let mut chunk = vec![0; CHUNK];
                let size = reader.read(&mut chunk).await.unwrap_or(0);
                chunk.truncate(size);
                net.count(from, to, size);
                if chunks.send((Instant::now() + net.delay(from, to), chunk)).await.is_err() || size == 0 {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((at, chunk)) = due.recv().await {
                sleep_until(at).await;
                self.wait_until_reachable(from, to).await;
                let is_lost = self.power_losses([from, to]) != losses_before;
                if is_lost || chunk.is_empty() || writer.write_all(&chunk).await.is_err() {
                    break;
                }
            }
            #[expect(clippy::let_underscore_must_use, reason = "the other end may have closed it already")]
            let _ = writer.shutdown().await;
        };
        tokio::select! {
            () = writing => {}
            () = async { reading.await; pending::<()>().await } => {}
        }
    }
}
