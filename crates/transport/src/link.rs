//! Connections between own processes: kept up by the side that opens them, found dead by silence on both.

use crate::frame::{append, codec};
use crate::net::{connect, Listener, Stream};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};
use tokio_util::codec::FramedRead;

/// An empty frame after so much silence of one's own.
const BEAT: Duration = Duration::from_millis(300);
/// So much silence of the other ends a connection.
pub const SILENCE: Duration = Duration::from_millis(1100);
const CONNECT: Duration = Duration::from_millis(350);
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// Bytes written in one go.
const BATCH: usize = 64 << 10;

/// Sends to one connection; what is sent while it is down is dropped.
#[derive(Clone, Debug)]
pub struct Sender(UnboundedSender<Bytes>);

impl Sender {
    pub fn send(&self, payload: Bytes) {
        // A connection that has ended tells so by its own event.
        let _ = self.0.send(payload);
    }

    pub fn same(&self, other: &Sender) -> bool {
        self.0.same_channel(&other.0)
    }
}

/// What happens on a connection.
#[derive(Debug)]
pub enum Event {
    Up(Sender),
    Frame(Bytes),
    Down,
}

/// Keeps a connection to `address` until the task is aborted; `told` gets each event.
pub async fn keep(address: SocketAddrV4, told: impl Fn(Event) + 'static) {
    let told: Rc<dyn Fn(Event)> = Rc::new(told);
    let mut pause = FIRST_PAUSE;
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT, connect(address.into())).await {
            if stream.ends_after(SILENCE).is_ok() {
                pause = FIRST_PAUSE;
                run(stream, &told).await;
            }
        }
        sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Takes connections for as long as the listener stands; `open` gives each what it tells its events to.
pub async fn take<F: Fn(Event) + 'static>(listener: Listener, open: impl Fn(SocketAddrV4) -> F) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(FIRST_PAUSE).await;
            continue;
        };
        let std::net::SocketAddr::V4(from) = from else { continue };
        if stream.ends_after(SILENCE).is_ok() {
            let told: Rc<dyn Fn(Event)> = Rc::new(open(from));
            tokio::task::spawn_local(async move { run(stream, &told).await });
        }
    }
}

async fn run(stream: Stream, told: &Rc<dyn Fn(Event)>) {
    let (reader, writer) = split(stream);
    let (sender, queue) = unbounded_channel();
    told(Event::Up(Sender(sender)));
    tokio::select! {
        _ = read(reader, told) => {}
        _ = write(writer, queue) => {}
    }
    told(Event::Down);
}

async fn read(reader: ReadHalf<Stream>, told: &Rc<dyn Fn(Event)>) {
    let mut frames = FramedRead::new(reader, codec());
    while let Ok(Some(Ok(frame))) = timeout(SILENCE, frames.next()).await {
        if !frame.is_empty() {
            told(Event::Frame(frame.freeze()));
        }
    }
}

async fn write(mut writer: WriteHalf<Stream>, mut queue: UnboundedReceiver<Bytes>) -> io::Result<()> {
    let mut out = BytesMut::new();
    loop {
        match timeout(BEAT, queue.recv()).await {
            Ok(None) => return Ok(()),
            Ok(Some(payload)) => append(&mut out, payload)?,
            Err(_) => append(&mut out, Bytes::new())?,
        }
        while out.len() < BATCH {
            let Ok(payload) = queue.try_recv() else { break };
            append(&mut out, payload)?;
        }
        timeout(SILENCE, writer.write_all(&out)).await??;
        out.clear();
        if out.capacity() > 2 * BATCH {
            out = BytesMut::new();
        }
    }
}
