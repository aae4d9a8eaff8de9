//! Connections between own processes: kept up by the side that opens them, found dead by silence on both. Each byte that
//! gets through counts as a sign of life: a large message on a slow link is no silence.

use crate::chunks::{append_keepalive, codec, Assembler, Outgoing, SendQueue, CHUNK};
use crate::net::{connect, Listener, Stream};
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::time::{sleep, timeout};
use tokio_util::codec::Decoder;

/// An empty frame after so much silence of one's own.
const KEEPALIVE: Duration = Duration::from_millis(300);
/// So much silence of the other ends a connection.
pub const SILENCE: Duration = Duration::from_millis(1100);
const CONNECT: Duration = Duration::from_millis(350);
const FIRST_PAUSE: Duration = Duration::from_millis(60);
const LONGEST_PAUSE: Duration = Duration::from_millis(300);
/// Bytes written in one go; an urgent message waits for no more than these.
const BATCH: usize = CHUNK;

/// Sends to one connection; what is sent while it is down is dropped.
#[derive(Clone, Debug)]
pub struct Sender(UnboundedSender<Outgoing>);

impl Sender {
    /// Sends a message after those that were sent before it.
    pub fn send(&self, payload: Bytes) {
        self.put(Outgoing { payload, urgent: false });
    }

    /// Sends a message that may overtake others: a heartbeat does not wait until a large state has crossed the link.
    pub fn send_urgent(&self, payload: Bytes) {
        self.put(Outgoing { payload, urgent: true });
    }

    fn put(&self, message: Outgoing) {
        // A connection that has ended tells so by its own event.
        let _ = self.0.send(message);
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

async fn read(mut reader: ReadHalf<Stream>, told: &Rc<dyn Fn(Event)>) -> io::Result<()> {
    let mut codec = codec();
    let mut assembler = Assembler::default();
    let mut received = BytesMut::new();
    loop {
        while let Some(frame) = codec.decode(&mut received)? {
            if let Some(message) = assembler.take(frame)? {
                told(Event::Frame(message));
            }
        }
        if timeout(SILENCE, reader.read_buf(&mut received)).await?? == 0 {
            return Ok(());
        }
    }
}

async fn write(mut writer: WriteHalf<Stream>, mut queue: UnboundedReceiver<Outgoing>) -> io::Result<()> {
    let mut waiting = SendQueue::default();
    let mut out = BytesMut::new();
    loop {
        if waiting.is_empty() {
            match timeout(KEEPALIVE, queue.recv()).await {
                Ok(None) => return Ok(()),
                Ok(Some(message)) => waiting.push(message),
                Err(_) => append_keepalive(&mut out),
            }
        }
        while let Ok(message) = queue.try_recv() {
            waiting.push(message);
        }
        while out.len() < BATCH && waiting.append_next(&mut out) {}
        while !out.is_empty() {
            let written = timeout(SILENCE, writer.write(&out)).await??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            out.advance(written);
        }
        if out.capacity() > 2 * BATCH {
            out = BytesMut::new();
        }
    }
}
