//! Connections between processes of the system. The side that opens a connection reopens it whenever it ends. Both sides
//! close a connection on which they have received no bytes for some time. Every byte counts, so a large message on a slow
//! link does not cause a time-out.

use crate::chunks::{append_keepalive, frame_decoder, Assembler, OutgoingMessage, SendQueue, CHUNK};
use crate::error::FrameError;
use crate::net::{connect, Listener, Stream};
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::Decoder;

/// A keep-alive (an empty frame) is sent if no message was sent for this time.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(300);
/// A connection on which nothing was received for this time is closed. It covers three keep-alives and their transmission.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(1100);
/// The time-out of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Bounds of the exponential backoff between attempts to connect.
const MIN_BACKOFF: Duration = Duration::from_millis(60);
const MAX_BACKOFF: Duration = Duration::from_millis(300);
/// The size of a write (bytes). An urgent message waits for at most one write.
const WRITE_BATCH: usize = CHUNK;

/// Sends messages on one connection. Messages that are sent after the connection has ended are lost; its event handler is
/// notified of the end.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: UnboundedSender<OutgoingMessage>,
    connect_time: Duration,
}

impl Sender {
    /// The time that the connection took to open, which is about the round-trip time to the peer. Zero if the peer has opened
    /// the connection.
    pub fn connect_time(&self) -> Duration {
        self.connect_time
    }

    /// Sends a message in order with the others sent by this method.
    pub fn send(&self, payload: Bytes) {
        self.enqueue(OutgoingMessage { payload, is_urgent: false });
    }

    /// Sends a message that may overtake others, such as a heartbeat, which must not wait for a large state.
    pub fn send_urgent(&self, payload: Bytes) {
        self.enqueue(OutgoingMessage { payload, is_urgent: true });
    }

    fn enqueue(&self, message: OutgoingMessage) {
        // The message is lost if the connection has ended, which `Event::Disconnected` reports.
        drop(self.queue.send(message));
    }
}

/// Identifies an accepted connection among those of its listener. Numbered in the order of acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// An event on a connection.
#[derive(Debug)]
pub enum Event {
    /// The connection is open; messages are sent with the sender.
    Connected(Sender),
    /// A complete message was received.
    Message(Bytes),
    /// The connection has ended.
    Disconnected,
}

/// Maintains a connection to `address`, with exponential backoff between attempts, until the task is aborted. Calls
/// `on_event` with each event.
pub async fn maintain(address: SocketAddrV4, on_event: impl Fn(Event) + 'static) {
    let on_event: Rc<dyn Fn(Event)> = Rc::new(on_event);
    let mut backoff = MIN_BACKOFF;
    loop {
        let started_at = Instant::now();
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, connect(address.into())).await {
            if stream.set_user_timeout(IDLE_TIMEOUT).is_ok() {
                backoff = MIN_BACKOFF;
                run(stream, started_at.elapsed(), &on_event).await;
            }
        }
        sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Accepts connections until the future is dropped or its task is aborted, which also ends all accepted connections. `open`
/// returns the event handler of a connection.
pub async fn accept_all<F: Fn(Event) + 'static>(listener: Listener, open: impl Fn(ConnectionId) -> F) {
    let mut connections = JoinSet::new();
    let mut accepted = 0;
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(MIN_BACKOFF).await;
            continue;
        };
        let is_v4 = matches!(from, SocketAddr::V4(_));
        if is_v4 && stream.set_user_timeout(IDLE_TIMEOUT).is_ok() {
            accepted += 1;
            let on_event: Rc<dyn Fn(Event)> = Rc::new(open(ConnectionId(accepted)));
            connections.spawn_local(async move { run(stream, Duration::ZERO, &on_event).await });
        }
        // Removes the tasks of connections that have ended.
        while connections.try_join_next().is_some() {}
    }
}

async fn run(stream: Stream, connect_time: Duration, on_event: &Rc<dyn Fn(Event)>) {
    let (reader, writer) = split(stream);
    let (sender, queue) = unbounded_channel();
    on_event(Event::Connected(Sender { queue: sender, connect_time }));
    tokio::select! {
        _ = read(reader, on_event) => {}
        _ = write(writer, queue) => {}
    }
    on_event(Event::Disconnected);
}

/// Why a connection has ended. The event handler is notified only of the end, not of the reason.
#[derive(Debug, thiserror::Error)]
enum ConnectionError {
    #[error("nothing was received or sent for {} ms", IDLE_TIMEOUT.as_millis())]
    Idle(#[from] tokio::time::error::Elapsed),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Frame(#[from] FrameError),
}

async fn read(mut reader: ReadHalf<Stream>, on_event: &Rc<dyn Fn(Event)>) -> Result<(), ConnectionError> {
    let mut decoder = frame_decoder();
    let mut assembler = Assembler::default();
    let mut received = BytesMut::new();
    loop {
        while let Some(frame) = decoder.decode(&mut received)? {
            if let Some(message) = assembler.push(frame)? {
                on_event(Event::Message(message));
            }
        }
        if timeout(IDLE_TIMEOUT, reader.read_buf(&mut received)).await?? == 0 {
            return Ok(());
        }
    }
}

async fn write(
    mut writer: WriteHalf<Stream>,
    mut queue: UnboundedReceiver<OutgoingMessage>,
) -> Result<(), ConnectionError> {
    let mut send_queue = SendQueue::default();
    let mut out = BytesMut::new();
    loop {
        if send_queue.is_empty() {
            match timeout(KEEPALIVE_INTERVAL, queue.recv()).await {
                Ok(None) => return Ok(()),
                Ok(Some(message)) => send_queue.push(message),
                Err(_) => append_keepalive(&mut out),
            }
        }
        while let Ok(message) = queue.try_recv() {
            send_queue.push(message);
        }
        while out.len() < WRITE_BATCH && send_queue.append_next(&mut out) {}
        while !out.is_empty() {
            let written = timeout(IDLE_TIMEOUT, writer.write(&out)).await??;
            if written == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero).into());
            }
            out.advance(written);
        }
        if out.capacity() > 2 * WRITE_BATCH {
            out = BytesMut::new();
        }
    }
}
