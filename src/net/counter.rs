//! The shared counter: RESP2 calls, written one behind another, answered in their order.

use super::{Clock, Message, Messages};
use crate::interface::{Micros, Outcome};
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
}

pub struct Counter {
    queue: mpsc::UnboundedSender<Call>,
    shared: Rc<Shared>,
}

struct Shared {
    clock: Clock,
    /// After that long a call has been reported as never made and must not be written any more.
    timeout: Micros,
    messages: Messages,
    /// Newest call handed to a socket, and calls not yet answered.
    written: Cell<u64>,
    held: Cell<usize>,
}

impl Shared {
    fn end(&self, call: u64, outcome: Outcome, total: f64) {
        self.held.set(self.held.get() - 1);
        let _ = self.messages.send(Message::Counted { call, outcome, total });
    }
}

impl Counter {
    pub fn open(address: SocketAddr, timeout: Micros, clock: Clock, messages: Messages) -> Counter {
        let (queue, calls) = mpsc::unbounded_channel();
        let shared = Rc::new(Shared { clock, timeout, messages, written: Cell::new(0), held: Cell::new(0) });
        tokio::task::spawn_local(run(address, shared.clone(), calls));
        Counter { queue, shared }
    }

    /// Makes a call; false if it can't be. Ids must ascend from 1.
    pub fn call(&self, id: u64, at: Micros, name: u64, amount: f64, life: Micros) -> bool {
        if self.shared.held.get() >= MOST_CALLS {
            return false;
        }
        let taken = self.queue.send(Call { id, at, name, amount, life }).is_ok();
        self.shared.held.set(self.shared.held.get() + usize::from(taken));
        taken
    }

    /// How a call ends that got no answer in time: one that was never written has added nothing.
    pub fn overdue(&self, id: u64) -> Outcome {
        if id <= self.shared.written.get() {
            Outcome::Timeout
        } else {
            Outcome::ConnectFailed
        }
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
        let broken = match connected.and_then(|stream| stream.set_nodelay(true).map(|()| stream)) {
            Ok(stream) => {
                let mut slots = VecDeque::new();
                let mut answered = false;
                let end = converse(stream, &shared, &mut queue, &mut batch, &mut slots, &mut answered).await;
                // Written and unanswered: it may have been added, or may yet be.
                slots.drain(..).for_each(|(id, _)| shared.end(id, Outcome::Timeout, 0.0));
                if answered {
                    pause = FIRST_PAUSE;
                }
                end.is_err()
            }
            Err(_) => true,
        };
        if broken {
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

/// Speaks on one connection until it breaks (an error) or has stood idle when calls come (they stay).
async fn converse(
    mut stream: TcpStream,
    shared: &Shared,
    queue: &mut mpsc::UnboundedReceiver<Call>,
    batch: &mut Vec<Call>,
    slots: &mut VecDeque<(u64, Micros)>,
    answered: &mut bool,
) -> io::Result<()> {
    let (mut reader, mut writer) = stream.split();
    let (mut input, mut output) = (Vec::with_capacity(1024), Vec::with_capacity(1024));
    let mut used = shared.clock.now();
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
                encode(&call, &mut output);
                slots.push_back((call.id, now));
                shared.written.set(call.id);
            }
            used = now;
            timeout(STALL, writer.write_all(&output)).await??;
        }
        let stalled = slots.front().map(|(_, at)| shared.clock.instant(*at) + STALL);
        tokio::select! {
            read = reader.read_buf(&mut input) => {
                if read? == 0 {
                    // Closed while idle: the next call opens a new one at once.
                    return if slots.is_empty() { Ok(()) } else { Err(io::ErrorKind::ConnectionReset.into()) };
                }
                let mut at = 0;
                while let Some((length, outcome, total)) = reply(&input[at..])? {
                    at += length;
                    let (id, _) = slots.pop_front().ok_or(io::ErrorKind::InvalidData)?;
                    shared.end(id, outcome, total);
                    *answered = true;
                }
                input.drain(..at);
            }
            taken = queue.recv_many(batch, BATCH) => if taken == 0 {
                return Err(io::ErrorKind::Interrupted.into());
            },
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

fn encode(call: &Call, output: &mut Vec<u8>) {
    let name = format!("{:016x}", call.name);
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

/// The first whole answer in `input`, if any: its length, what became of the call, and the total.
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
        Some((b'-', _)) => Ok(Some((next, Outcome::Full, 0.0))),
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
