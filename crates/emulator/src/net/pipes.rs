//! Connections: opened after a way there and back, each way of them carried in time, and ended as machines lose power.

use super::Net;
use futures_util::future::pending;
use futures_util::FutureExt;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{duplex, split, AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::mpsc::channel;
use tokio::time::{sleep, sleep_until, Instant};

/// Bytes in flight on one way of a connection, and the most that is carried in one go.
const WINDOW: usize = 64 << 10;
const PIECE: usize = 16 << 10;

impl Net {
    pub(super) async fn open(self: Rc<Net>, from: Ipv4Addr, to: SocketAddr) -> io::Result<DuplexStream> {
        let IpAddr::V4(ip) = to.ip() else { return Err(io::ErrorKind::Unsupported.into()) };
        self.passable(from, ip).await;
        sleep(self.delay(from, ip)).await;
        self.passable(ip, from).await;
        let listener = self.listeners.borrow().get(&to).cloned();
        let (ours, near) = duplex(WINDOW);
        let (theirs, far) = duplex(WINDOW);
        self.opened.set(self.opened.get() + 1);
        let port = (10_000 + self.opened.get() % 50_000) as u16;
        let opened = listener.is_some_and(|it| it.send((theirs, SocketAddr::from((from, port)))).is_ok());
        sleep(self.delay(ip, from)).await;
        if !opened {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let ((near_read, near_write), (far_read, far_write)) = (split(near), split(far));
        let ways = [
            self.clone().carry(from, ip, near_read, far_write).boxed_local(),
            self.clone().carry(ip, from, far_read, near_write).boxed_local(),
        ];
        for way in ways {
            self.spawn(way);
        }
        Ok(ours)
    }

    /// One way of a connection.
    async fn carry(
        self: Rc<Net>,
        from: Ipv4Addr,
        to: Ipv4Addr,
        mut reader: ReadHalf<DuplexStream>,
        mut writer: WriteHalf<DuplexStream>,
    ) {
        let before = self.losses([from, to]);
        let (pieces, mut due) = channel::<(Instant, Vec<u8>)>(WINDOW / PIECE);
        let net = self.clone();
        let reading = async move {
            loop {
                let mut piece = vec![0; PIECE];
                let size = reader.read(&mut piece).await.unwrap_or(0);
                piece.truncate(size);
                net.count(from, to, size);
                if pieces.send((Instant::now() + net.delay(from, to), piece)).await.is_err() || size == 0 {
                    return;
                }
            }
        };
        let writing = async {
            while let Some((at, piece)) = due.recv().await {
                sleep_until(at).await;
                self.passable(from, to).await;
                let lost = self.losses([from, to]) != before;
                if lost || piece.is_empty() || writer.write_all(&piece).await.is_err() {
                    break;
                }
            }
            // The other end may have gone.
            let _ = writer.shutdown().await;
        };
        tokio::select! {
            () = writing => {}
            () = async { reading.await; pending::<()>().await } => {}
        }
    }
}
