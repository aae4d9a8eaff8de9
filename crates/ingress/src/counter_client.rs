//! The shared counter: RESP2 calls, written one behind another, answered in their order.

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

/// Most calls handed over and not yet answered: a stalled counter must not grow memory without bound.
const MOST_CALLS: usize = 4096;
/// Calls written in one go.
const BATCH: usize = 64;
/// How long a connection may owe its oldest answer before it is given up for a new one.
const STALL: Duration = Duration::from_secs(2);
/// Idle time after which a connection is not trusted: the counter closes idle ones after 10 s or less.
const IDLE: Micros = 4_000_000;
const CONNECT: Duration = Duration::from_millis(250);
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

struct Call {
    id: u64,
    at: Micros,
    name: u64,
    amount: f64,
    life: Micros,
    written: Rc<Cell<bool>>,
}

pub struct CounterClient {
    queue: mpsc::UnboundedSender<Call>,
    shared: Rc<Shared>,
}

struct Shared {
    clock: Clock,
    /// What names begin with, and a colon: pools that share a counter must not meet there.
    space: Option<Rc<str>>,
    /// After that long a call has been reported as never made and must not be written any more.
    timeout: Micros,
    messages: Messages,
    /// Calls not yet answered.
    held: Cell<usize>,
}

impl Shared {
    fn end(&self, call: u64, outcome: Outcome, total: f64) {
        self.held.set(self.held.get() - 1);
        let _ = self.messages.send(Message::CounterCallEnded { call, outcome, total });
    }
}

impl CounterClient {
    pub fn open(
        address: SocketAddr,
        space: Option<Rc<str>>,
        timeout: Micros,
        clock: Clock,
        messages: Messages,
    ) -> CounterClient {
        let (queue, calls) = mpsc::unbounded_channel();
        let shared = Rc::new(Shared { clock, space, timeout, messages, held: Cell::new(0) });
        tasks::spawn(run(address, shared.clone(), calls));
        CounterClient { queue, shared }
    }

    /// Makes a call, and tells by then whether it may have been written; none if it can't be made.
    pub fn call(&self, id: u64, at: Micros, name: u64, amount: f64, life: Micros) -> Option<Rc<Cell<bool>>> {
        if self.shared.held.get() >= MOST_CALLS {
            return None;
        }
        let written = Rc::new(Cell::new(false));
        self.queue.send(Call { id, at, name, amount, life, written: written.clone() }).ok()?;
        self.shared.held.set(self.shared.held.get() + 1);
        Some(written)
    }
}

async fn run(address: SocketAddr, shared: Rc<Shared>, mut queue: mpsc::UnboundedReceiver<Call>) {
    let mut batch = Vec::new();
    let mut pause = FIRST_PAUSE;
    loop {
        if batch.is_empty() && queue.recv_many(&mut batch, BATCH).await == 0 {
            return;
        }
        let connected = timeout(CONNECT, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        match connected.and_then(|stream| stream.set_nodelay(true).map(|()| stream)) {
            // However it ends, the next one is opened at once: each takes a call along, so this can't spin.
            Ok(stream) => {
                pause = FIRST_PAUSE;
                let mut slots = VecDeque::new();
                let _ = converse(stream, &shared, &mut queue, &mut batch, &mut slots).await;
                // Written and unanswered: it may have been added, or may yet be.
                slots.drain(..).for_each(|(id, _)| shared.end(id, Outcome::Timeout, 0.0));
            }
            Err(_) => {
                batch.drain(..).for_each(|call| shared.end(call.id, Outcome::ConnectFailed, 0.0));
                let wake = sleep(pause);
                tokio::pin!(wake);
                pause = (pause * 2).min(LONGEST_PAUSE);
                loop {
                    tokio::select! {
                        () = &mut wake => break,
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

/// Speaks on one connection until it breaks or has stood idle when calls come. Calls in `batch` stay there
/// until they are written; those in `slots` have been, and wait for their answers.
async fn converse(
    mut stream: TcpStream,
    shared: &Shared,
    queue: &mut mpsc::UnboundedReceiver<Call>,
    batch: &mut Vec<Call>,
    slots: &mut VecDeque<(u64, Micros)>,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let (mut input, mut output) = (Vec::with_capacity(1024), Vec::with_capacity(1024));
    let mut used = shared.clock.now();
    let mut ends = false;
    loop {
        if !batch.is_empty() {
            let now = shared.clock.now();
            if slots.is_empty() && now > used + IDLE {
                return Ok(());
            }
            output.clear();
            for call in batch.drain(..) {
                if now >= call.at + shared.timeout {
                    shared.end(call.id, Outcome::ConnectFailed, 0.0);
                    continue;
                }
                encode(&call, shared.space.as_deref(), &mut output);
                slots.push_back((call.id, now));
                call.written.set(true);
            }
            used = now;
            timeout(STALL, writer.write_all(&output)).await??;
        }
        if ends && slots.is_empty() {
            return Ok(());
        }
        let stalled = slots.front().map(|(_, at)| shared.clock.instant(*at) + STALL);
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                if read? == 0 {
                    return Ok(());
                }
                let mut at = 0;
                while let Some((length, outcome, total)) = reply(&input[at..])? {
                    at += length;
                    let (id, _) = slots.pop_front().ok_or(io::ErrorKind::InvalidData)?;
                    shared.end(id, outcome, total);
                }
                input.drain(..at);
            }
            // No more calls will come: what is out may still be answered.
            taken = queue.recv_many(batch, BATCH), if !ends => ends = taken == 0,
            () = until(stalled) => return Err(io::ErrorKind::TimedOut.into()),
        }
    }
}

async fn until(at: Option<std::time::Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

fn encode(call: &Call, space: Option<&str>, output: &mut Vec<u8>) {
    let name = match space {
        Some(space) => format!("{space}:{:016x}", call.name),
        None => format!("{:016x}", call.name),
    };
    // The simulator's wire carries amounts as single floats; seven digits are all that totals keep.
    let amount = format!("{}", call.amount as f32);
    let life = format!("{}", (call.life / 1000).max(1));
    let _ = write!(
        output,
        "*4\r\n$6\r\nADDGET\r\n${}\r\n{name}\r\n${}\r\n{amount}\r\n${}\r\n{life}\r\n",
        name.len(),
        amount.len(),
        life.len()
    );
}

/// The first whole answer in `input`, if any: its length, what became of the call, and the total. An error:
/// nothing legible; the call may have been added, and the connection is of no further use.
fn reply(input: &[u8]) -> io::Result<Option<(usize, Outcome, f64)>> {
    let line = |from: usize| {
        let end = input[from..].windows(2).position(|pair| pair == b"\r\n")?;
        Some((&input[from..from + end], from + end + 2))
    };
    let Some((first, next)) = line(0) else {
        return if input.len() > 1024 { Err(io::ErrorKind::InvalidData.into()) } else { Ok(None) };
    };
    let number = |bytes: &[u8]| {
        let text = std::str::from_utf8(bytes).ok()?;
        text.parse::<f64>().ok().filter(|value| value.is_finite())
    };
    match first.split_first() {
        // Only these two say that nothing was added; any other word is noise.
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
