//! The client of the counter service. Calls are sent in the RESP2 protocol and pipelined on one connection; replies arrive
//! in the order of the calls.

use super::{tasks, Clock, Message, Messages};
use std::cell::Cell;
use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use violetyoke_decision::interface::{Micros, Outcome};

/// The maximum number of unanswered calls, so that a stalled counter service does not make memory grow without bound.
const MAX_CALLS: usize = 4096;
/// The maximum number of calls in one write.
const MAX_BATCH: usize = 64;
/// A connection on which the oldest reply is outstanding for this long is closed and replaced.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection that was idle for this long is replaced before the next call: the counter service closes idle connections
/// after 10 s or less.
const MAX_IDLE_TIME: Micros = 4_000_000;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause after the first failed attempt to connect; it doubles with each further one, up to `MAX_RECONNECT_PAUSE`.
const MIN_RECONNECT_PAUSE: Duration = Duration::from_millis(20);
const MAX_RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// A call that adds an amount to a counter and returns the total.
struct Call {
    id: u64,
    created_at: Micros,
    name: u64,
    amount: f64,
    /// How long the counter service keeps the counter after the call.
    ttl: Micros,
    written: Rc<Cell<bool>>,
}

pub struct CounterClient {
    queue: mpsc::UnboundedSender<Call>,
    shared: Rc<Shared>,
}

struct Shared {
    clock: Clock,
    /// The prefix of counter names, without the colon. It separates the counters of pools that share a counter service.
    namespace: Option<Rc<str>>,
    /// A call that was not written within this time has been reported as not made, and must not be written any more.
    timeout: Micros,
    messages: Messages,
    /// The number of calls that have not ended.
    open_calls: Cell<usize>,
}

impl Shared {
    fn end(&self, call: u64, outcome: Outcome, total: f64) {
        self.open_calls.set(self.open_calls.get() - 1);
        let _ = self.messages.send(Message::CounterCallEnded { call, outcome, total });
    }
}

impl CounterClient {
    pub fn open(
        address: SocketAddr,
        namespace: Option<Rc<str>>,
        timeout: Micros,
        clock: Clock,
        messages: Messages,
    ) -> CounterClient {
        let (queue, calls) = mpsc::unbounded_channel();
        let shared = Rc::new(Shared { clock, namespace, timeout, messages, open_calls: Cell::new(0) });
        tasks::spawn(run(address, shared.clone(), calls));
        CounterClient { queue, shared }
    }

    /// Queues a call. Returns a flag that is set once the call may have been written to the connection; `None` if there are
    /// too many unanswered calls.
    pub fn call(
        &self,
        id: u64,
        created_at: Micros,
        name: u64,
        amount: f64,
        ttl: Micros,
    ) -> Option<Rc<Cell<bool>>> {
        if self.shared.open_calls.get() >= MAX_CALLS {
            return None;
        }
        let written = Rc::new(Cell::new(false));
        self.queue.send(Call { id, created_at, name, amount, ttl, written: written.clone() }).ok()?;
        self.shared.open_calls.set(self.shared.open_calls.get() + 1);
        Some(written)
    }
}

/// Connects while there are calls, and fails the calls that arrive while no connection can be opened.
async fn run(address: SocketAddr, shared: Rc<Shared>, mut queue: mpsc::UnboundedReceiver<Call>) {
    let mut batch = Vec::new();
    let mut pause = MIN_RECONNECT_PAUSE;
    loop {
        if batch.is_empty() && queue.recv_many(&mut batch, MAX_BATCH).await == 0 {
            return;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match connected.and_then(|stream| stream.set_nodelay(true).map(|()| stream)) {
            // When this connection ends, the next one is opened without a pause. This cannot become a busy loop, as at least
            // one call is written to, or expires on, each connection.
            Ok(stream) => {
                pause = MIN_RECONNECT_PAUSE;
                let mut unanswered = VecDeque::new();
                let _ = serve_connection(stream, &shared, &mut queue, &mut batch, &mut unanswered).await;
                // These calls were written: the counter service may have executed them, or may still do so.
                unanswered.drain(..).for_each(|(id, _)| shared.end(id, Outcome::Timeout, 0.0));
            }
            Err(_) => {
                batch.drain(..).for_each(|call| shared.end(call.id, Outcome::ConnectFailed, 0.0));
                let pause_end = sleep(pause);
                tokio::pin!(pause_end);
                pause = (pause * 2).min(MAX_RECONNECT_PAUSE);
                loop {
                    tokio::select! {
                        () = &mut pause_end => break,
                        call = queue.recv() => match call {
                            Some(call) => shared.end(call.id, Outcome::ConnectFailed, 0.0),
                            None => return,
                        },
                    }
                }
            }
        }
    }
}

/// Sends calls and reads replies on one connection, until it breaks, or calls arrive after it was idle for too long. Calls
/// in `batch` have not been written; calls in `unanswered` have been written at the given time and wait for their replies.
async fn serve_connection(
    mut stream: TcpStream,
    shared: &Shared,
    queue: &mut mpsc::UnboundedReceiver<Call>,
    batch: &mut Vec<Call>,
    unanswered: &mut VecDeque<(u64, Micros)>,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let (mut input, mut output) = (Vec::with_capacity(1024), Vec::with_capacity(1024));
    let mut last_used_at = shared.clock.now();
    let mut is_queue_closed = false;
    loop {
        if !batch.is_empty() {
            let now = shared.clock.now();
            if unanswered.is_empty() && now > last_used_at + MAX_IDLE_TIME {
                return Ok(());
            }
            output.clear();
            for call in batch.drain(..) {
                if now >= call.created_at + shared.timeout {
                    shared.end(call.id, Outcome::ConnectFailed, 0.0);
                    continue;
                }
                encode(&call, shared.namespace.as_deref(), &mut output);
                unanswered.push_back((call.id, now));
                call.written.set(true);
            }
            last_used_at = now;
            timeout(STALL_TIMEOUT, writer.write_all(&output)).await??;
        }
        if is_queue_closed && unanswered.is_empty() {
            return Ok(());
        }
        let stalled_at =
            unanswered.front().map(|(_, written_at)| shared.clock.instant(*written_at) + STALL_TIMEOUT);
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                if read? == 0 {
                    return Ok(());
                }
                let mut consumed = 0;
                while let Some((length, outcome, total)) = decode_reply(&input[consumed..])? {
                    consumed += length;
                    let (id, _) = unanswered.pop_front().ok_or(io::ErrorKind::InvalidData)?;
                    shared.end(id, outcome, total);
                }
                input.drain(..consumed);
            }
            // When the queue is closed, outstanding replies are still awaited.
            received = queue.recv_many(batch, MAX_BATCH), if !is_queue_closed => is_queue_closed = received == 0,
            () = sleep_until(stalled_at) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

/// Sleeps until a time; `None` sleeps forever.
async fn sleep_until(time: Option<std::time::Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

fn encode(call: &Call, namespace: Option<&str>, output: &mut Vec<u8>) {
    let name = match namespace {
        Some(namespace) => format!("{namespace}:{:016x}", call.name),
        None => format!("{:016x}", call.name),
    };
    // Amounts have single precision in the simulator's protocol, and totals keep no more than seven digits.
    let amount = format!("{}", call.amount as f32);
    let ttl_ms = format!("{}", (call.ttl / 1000).max(1));
    let _ = write!(
        output,
        "*4\r\n$6\r\nADDGET\r\n${}\r\n{name}\r\n${}\r\n{amount}\r\n${}\r\n{ttl_ms}\r\n",
        name.len(),
        amount.len(),
        ttl_ms.len()
    );
}

/// Decodes the first complete reply in `input`, if there is one: its length, the outcome of the call, and the total. Returns
/// an error if the reply is invalid. The call may then have been executed, and the connection cannot be used any more.
fn decode_reply(input: &[u8]) -> io::Result<Option<(usize, Outcome, f64)>> {
    let line = |start: usize| {
        let end = input[start..].windows(2).position(|pair| pair == b"\r\n")?;
        Some((&input[start..start + end], start + end + 2))
    };
    let Some((first, next)) = line(0) else {
        return if input.len() > 1024 { Err(io::ErrorKind::InvalidData.into()) } else { Ok(None) };
    };
    let number = |bytes: &[u8]| {
        let text = std::str::from_utf8(bytes).ok()?;
        text.parse::<f64>().ok().filter(|value| value.is_finite())
    };
    match first.split_first() {
        // Only these two errors mean that the call was not executed. Any other one counts as an invalid reply.
        Some((b'-', text)) if text.starts_with(b"BUSY") || text.starts_with(b"ERR") => {
            Ok(Some((next, Outcome::Full, 0.0)))
        }
        Some((b'$', length)) => {
            let length = number(length).filter(|length| (1.0..=64.0).contains(length));
            let end = next + length.ok_or(io::ErrorKind::InvalidData)? as usize;
            if input.len() < end + 2 {
                return Ok(None);
            }
            let total = number(&input[next..end]).filter(|_| &input[end..end + 2] == b"\r\n");
            Ok(Some((end + 2, Outcome::Ok, total.ok_or(io::ErrorKind::InvalidData)?)))
        }
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}
