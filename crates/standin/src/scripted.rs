//! A node whose replies are chosen by a test, byte by byte.

use crate::http::{read_http, HttpMessage};
use crate::{any_port, listen, lock};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The time between the two parts of a [`Reply::Split`].
const SPLIT_DELAY: Duration = Duration::from_millis(5);

/// What a scripted node does with a request.
#[derive(Clone)]
pub enum Reply {
    /// Writes these bytes and keeps the connection.
    Raw(Vec<u8>),
    /// Writes these bytes and closes.
    Close(Vec<u8>),
    /// Writes the first part, and the second part 5 ms later.
    Split(Vec<u8>, Vec<u8>),
    /// Writes these pieces one by one, with a pause after each.
    Pieces {
        /// The bytes to write.
        pieces: Vec<Vec<u8>>,
        /// The time after each.
        pause: Duration,
        /// Whether the connection is closed after the last piece.
        closes: bool,
    },
    /// Writes nothing, and keeps the connection open until the peer closes it or sends more.
    NeverReply,
}

/// A complete response with status 200 and this body.
pub fn ok(body: &[u8]) -> Reply {
    let mut bytes = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    Reply::Raw(bytes)
}

/// A reply of exactly this text.
pub fn raw(text: &str) -> Reply {
    Reply::Raw(text.as_bytes().to_vec())
}

/// The key of an entry that is added to the headers of each request: the number of the request on its connection,
/// from 1. It can't be the name of a received header, because it contains spaces.
pub const NTH: &str = "nth of its connection";

/// A running scripted node; its threads end with the process.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<State>,
}

type Script = Box<dyn FnMut(&HttpMessage) -> Reply + Send>;

struct State {
    script: Mutex<Script>,
    requests: Mutex<Vec<HttpMessage>>,
    connections: AtomicU32,
    ended_connections: AtomicU32,
    late_replies: AtomicU32,
}

impl Backend {
    /// Starts the node on any port. The script is called for each request, one at a time.
    ///
    /// # Panics
    /// When it cannot listen on a loopback address.
    #[expect(clippy::expect_used, reason = "for tests: without a loopback address no test can run")]
    pub fn start(script: impl FnMut(&HttpMessage) -> Reply + Send + 'static) -> Backend {
        let listener = listen(any_port()).expect("a loopback address");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::new(State {
            script: Mutex::new(Box::new(script)),
            requests: Mutex::default(),
            connections: AtomicU32::new(0),
            ended_connections: AtomicU32::new(0),
            late_replies: AtomicU32::new(0),
        });
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                shared.connections.fetch_add(1, Ordering::SeqCst);
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    // Errors are ignored: for a connection, only that it ended matters.
                    shared.serve(stream).unwrap_or_default();
                    shared.ended_connections.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Backend { address, state }
    }

    /// All requests so far, in order.
    pub fn requests(&self) -> Vec<HttpMessage> {
        lock(&self.state.requests).clone()
    }

    /// The number of requests so far.
    pub fn request_count(&self) -> usize {
        lock(&self.state.requests).len()
    }

    /// The number of connections opened so far.
    pub fn connections(&self) -> u32 {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// How often the second part of a [`Reply::Split`] has been written.
    pub fn late_replies(&self) -> u32 {
        self.state.late_replies.load(Ordering::SeqCst)
    }

    /// The number of connections that were ended by either side.
    pub fn ended_connections(&self) -> u32 {
        self.state.ended_connections.load(Ordering::SeqCst)
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut number = 0;
        while let Some(mut request) = read_http(&mut reader) {
            number += 1;
            request.headers.insert(NTH.into(), number.to_string());
            lock(&self.requests).push(request.clone());
            let reply = (lock(&self.script))(&request);
            // Failed writes are ignored, because the peer may have closed the connection: its requests still count,
            // and the next read ends the loop.
            match reply {
                Reply::Raw(bytes) => stream.write_all(&bytes).unwrap_or_default(),
                Reply::Close(bytes) => return stream.write_all(&bytes),
                Reply::Split(first, second) => {
                    stream.write_all(&first).unwrap_or_default();
                    thread::sleep(SPLIT_DELAY);
                    stream.write_all(&second).unwrap_or_default();
                    self.late_replies.fetch_add(1, Ordering::SeqCst);
                }
                Reply::Pieces { pieces, pause, closes } => {
                    for piece in pieces {
                        stream.write_all(&piece).unwrap_or_default();
                        thread::sleep(pause);
                    }
                    if closes {
                        return Ok(());
                    }
                }
                Reply::NeverReply => return reader.read(&mut [0; 16]).map(drop),
            }
        }
        Ok(())
    }
}
