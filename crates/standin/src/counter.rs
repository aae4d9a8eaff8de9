//! A counter: `ADDGET NAME AMOUNT LIFE` over RESP2, answered in the order of the calls.

use crate::{any, listen, lock};
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How the counter treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    #[default]
    Answer,
    Silent,
    Busy,
    /// Closes the connection on the next call.
    Break,
    /// Answers well after the caller's time-out.
    Late,
    /// Adds, and answers with no number in it.
    Noise,
    /// Adds, and never answers.
    Mute,
}

/// A running counter; its threads end with the process.
#[derive(Clone)]
pub struct Counter {
    pub address: SocketAddr,
    state: Arc<State>,
}

#[derive(Default)]
struct State {
    mode: Mutex<Mode>,
    /// Calls that are answered before the mode holds.
    before: Mutex<u32>,
    calls: Mutex<Vec<(String, f64)>>,
    totals: Mutex<HashMap<String, (f64, Instant)>>,
    connections: AtomicU32,
}

/// Longest life of a name.
const LONGEST_LIFE: Duration = Duration::from_secs(60);

impl Counter {
    pub fn start() -> Counter {
        Counter::start_at(any()).expect("a loopback address")
    }

    pub fn start_at(address: SocketAddr) -> io::Result<Counter> {
        let listener = listen(address)?;
        let counter = Counter { address: listener.local_addr()?, state: Arc::default() };
        let state = counter.state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                state.connections.fetch_add(1, Ordering::SeqCst);
                let state = state.clone();
                thread::spawn(move || state.serve(stream));
            }
        });
        Ok(counter)
    }

    pub fn set(&self, mode: Mode) {
        self.set_after(0, mode);
    }

    /// Answers so many calls more before the mode holds.
    pub fn set_after(&self, calls: u32, mode: Mode) {
        *lock(&self.state.before) = calls;
        *lock(&self.state.mode) = mode;
    }

    pub fn connections(&self) -> u32 {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Name and amount of each call.
    pub fn calls(&self) -> Vec<(String, f64)> {
        lock(&self.state.calls).clone()
    }

    pub fn names(&self) -> Vec<String> {
        lock(&self.state.calls).iter().map(|(name, _)| name.clone()).collect()
    }

    /// Forgets which calls there were; the numbers stay.
    pub fn forget_calls(&self) {
        lock(&self.state.calls).clear();
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        // Answers one behind another must not wait for their peer's acknowledgements.
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(words) = read_resp(&mut reader) {
            let answer = match words.first().map(String::as_str) {
                Some("PING") => Some("+PONG\r\n".to_string()),
                Some("CLIENT" | "SELECT") => Some("+OK\r\n".to_string()),
                Some("ADDGET") => match self.add(&words) {
                    Some(answer) => answer,
                    None => return Ok(()),
                },
                _ => Some("-ERR no such call\r\n".to_string()),
            };
            if let Some(answer) = answer {
                stream.write_all(answer.as_bytes())?;
            }
        }
        Ok(())
    }

    /// The answer to a call, if it gets one; none at all: the connection ends.
    fn add(&self, words: &[String]) -> Option<Option<String>> {
        let amount =
            words.get(2).and_then(|amount| amount.parse::<f64>().ok()).filter(|amount| amount.is_finite());
        let life = words.get(3).and_then(|life| life.parse::<u64>().ok());
        let (4, Some(amount), Some(life)) = (words.len(), amount, life) else {
            return Some(Some("-ERR ADDGET NAME AMOUNT LIFE\r\n".to_string()));
        };
        lock(&self.calls).push((words[1].clone(), amount));
        let before = {
            let mut before = lock(&self.before);
            let now = *before > 0;
            *before = before.saturating_sub(1);
            now
        };
        let mode = if before { Mode::Answer } else { *lock(&self.mode) };
        match mode {
            Mode::Silent => return Some(None),
            Mode::Break => return None,
            Mode::Busy => return Some(Some("-BUSY\r\n".to_string())),
            Mode::Late => thread::sleep(Duration::from_millis(120)),
            Mode::Answer | Mode::Noise | Mode::Mute => {}
        }
        let now = Instant::now();
        let ends = now + Duration::from_millis(life.max(1)).min(LONGEST_LIFE);
        let mut totals = lock(&self.totals);
        let number = totals.entry(words[1].clone()).or_insert((0.0, ends));
        if number.1 <= now {
            *number = (0.0, ends);
        }
        number.0 += amount;
        if mode == Mode::Mute {
            return Some(None);
        }
        let text = if mode == Mode::Noise { "?!".to_string() } else { number.0.to_string() };
        Some(Some(format!("${}\r\n{text}\r\n", text.len())))
    }
}

fn read_resp(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let words = line.trim_end().strip_prefix('*')?.parse::<usize>().ok().filter(|words| *words <= 16)?;
    let mut word = || {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length =
            line.trim_end().strip_prefix('$')?.parse::<usize>().ok().filter(|length| *length <= 1024)?;
        let mut bytes = vec![0; length + 2];
        reader.read_exact(&mut bytes).ok()?;
        String::from_utf8(bytes[..length].to_vec()).ok()
    };
    (0..words).map(|_| word()).collect()
}
