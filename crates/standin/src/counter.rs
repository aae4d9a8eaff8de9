//! A stub of the counter server: `ADDGET NAME AMOUNT LIFETIME_MS` over RESP2, answered in the order of the calls.

use crate::{any_port, listen, lock};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the counter answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Adds and answers the total.
    #[default]
    Answer,
    /// Neither adds nor answers.
    Silent,
    /// Answers BUSY and does not add.
    Busy,
    /// Closes the connection on the next call.
    Disconnect,
    /// Answers after 120 ms, well after the caller's time-out.
    Late,
    /// Adds, and answers with text that is not a number.
    Malformed,
    /// Adds and does not answer.
    AddSilently,
}

/// A running counter; its threads end with the process.
#[derive(Clone)]
pub struct Counter {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    mode: Mutex<ScheduledMode>,
    calls: Mutex<Vec<(String, f64)>>,
    totals: Mutex<HashMap<String, Total>>,
    connections: AtomicU32,
}

#[derive(Default)]
struct ScheduledMode {
    mode: Mode,
    /// Number of calls that are still answered before the mode applies.
    answered_before: u32,
}

struct Total {
    value: f64,
    expires: Instant,
}

/// The reaction to a call.
enum Reaction {
    Answer(String),
    Silence,
    Disconnect,
}

/// Maximum lifetime of a name.
const MAX_LIFETIME: Duration = Duration::from_secs(60);
/// The delay of answers in [`Mode::Late`].
const LATENESS: Duration = Duration::from_millis(120);
const MAX_ARGUMENTS: usize = 16;
const MAX_ARGUMENT_BYTES: usize = 1024;

impl Counter {
    /// Starts it on any port.
    ///
    /// # Panics
    /// When it cannot listen on a loopback address.
    #[expect(clippy::expect_used, reason = "for tests: without a loopback address no test can run")]
    pub fn start() -> Counter {
        Counter::start_at(any_port()).expect("a loopback address")
    }

    /// Starts it.
    ///
    /// # Errors
    /// Those of the listener.
    pub fn start_at(address: SocketAddr) -> io::Result<Counter> {
        let listener = listen(address)?;
        let counter = Counter { address: listener.local_addr()?, state: Arc::default() };
        let state = Arc::clone(&counter.state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                state.connections.fetch_add(1, Ordering::SeqCst);
                let state = Arc::clone(&state);
                thread::spawn(move || state.serve(stream));
            }
        });
        Ok(counter)
    }

    /// Sets the mode from now on.
    pub fn set(&self, mode: Mode) {
        self.set_after(0, mode);
    }

    /// Sets a mode that applies after this many more calls have been answered.
    pub fn set_after(&self, calls: u32, mode: Mode) {
        *lock(&self.state.mode) = ScheduledMode { mode, answered_before: calls };
    }

    /// The number of connections opened so far.
    pub fn connections(&self) -> u32 {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Name and amount of each call, in order.
    pub fn calls(&self) -> Vec<(String, f64)> {
        lock(&self.state.calls).clone()
    }

    /// The name of each call, in order.
    pub fn names(&self) -> Vec<String> {
        lock(&self.state.calls).iter().map(|(name, _)| name.clone()).collect()
    }

    /// Removes the recorded calls; totals stay.
    pub fn clear_calls(&self) {
        lock(&self.state.calls).clear();
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        // Pipelined answers must not wait for the peer's acknowledgements.
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(arguments) = read_resp(&mut reader) {
            let reaction = match arguments.first().map(String::as_str) {
                Some("PING") => Reaction::Answer("+PONG\r\n".to_string()),
                Some("CLIENT" | "SELECT") => Reaction::Answer("+OK\r\n".to_string()),
                Some("ADDGET") => self.react_to_add(&arguments),
                _ => Reaction::Answer("-ERR no such call\r\n".to_string()),
            };
            match reaction {
                Reaction::Answer(answer) => stream.write_all(answer.as_bytes())?,
                Reaction::Silence => {}
                Reaction::Disconnect => return Ok(()),
            }
        }
        Ok(())
    }

    fn react_to_add(&self, arguments: &[String]) -> Reaction {
        let amount = arguments.get(2).and_then(|text| text.parse::<f64>().ok()).filter(|n| n.is_finite());
        let lifetime = arguments.get(3).and_then(|text| text.parse::<u64>().ok());
        let (4, Some(amount), Some(lifetime_ms)) = (arguments.len(), amount, lifetime) else {
            return Reaction::Answer("-ERR ADDGET NAME AMOUNT LIFE\r\n".to_string());
        };
        let name = &arguments[1];
        lock(&self.calls).push((name.clone(), amount));
        let mode = self.next_mode();
        match mode {
            Mode::Silent => return Reaction::Silence,
            Mode::Disconnect => return Reaction::Disconnect,
            Mode::Busy => return Reaction::Answer("-BUSY\r\n".to_string()),
            Mode::Late => thread::sleep(LATENESS),
            Mode::Answer | Mode::Malformed | Mode::AddSilently => {}
        }
        let total = self.add(name, amount, Duration::from_millis(lifetime_ms.max(1)).min(MAX_LIFETIME));
        let text = match mode {
            Mode::AddSilently => return Reaction::Silence,
            Mode::Malformed => "?!".to_string(),
            _ => total.to_string(),
        };
        Reaction::Answer(format!("${}\r\n{text}\r\n", text.len()))
    }

    /// The mode of the next call.
    fn next_mode(&self) -> Mode {
        let mut scheduled = lock(&self.mode);
        if scheduled.answered_before == 0 {
            return scheduled.mode;
        }
        scheduled.answered_before -= 1;
        Mode::Answer
    }

    /// Adds to the total of a name, which starts from zero if it is new or has expired. Returns the new total.
    fn add(&self, name: &str, amount: f64, lifetime: Duration) -> f64 {
        let now = Instant::now();
        let mut totals = lock(&self.totals);
        let expires = now + lifetime;
        let total = totals.entry(name.to_string()).or_insert(Total { value: 0.0, expires });
        if total.expires <= now {
            *total = Total { value: 0.0, expires };
        }
        total.value += amount;
        total.value
    }
}

/// Reads one call: an array of bulk strings.
fn read_resp(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let count = read_length(reader, '*').filter(|count| *count <= MAX_ARGUMENTS)?;
    let mut argument = || {
        let length = read_length(reader, '$').filter(|length| *length <= MAX_ARGUMENT_BYTES)?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        String::from_utf8(bytes[..length].to_vec()).ok()
    };
    (0..count).map(|_| argument()).collect()
}

/// Reads a line of a sign and a number.
fn read_length(reader: &mut impl BufRead, sign: char) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    line.trim_end().strip_prefix(sign)?.parse().ok()
}
