//! A node that does work: so many workers, a queue before them, a set time for each request, and faults that a
//! test or an operator switches on and off.

use crate::http::{read_http, Http};
use crate::{listen, lock};
use socket2::SockRef;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What a node is like.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Requests worked on at once, and requests that may wait; more are declined.
    pub workers: usize,
    pub queue: usize,
    /// How long a worker takes for one.
    pub service: Duration,
    /// After its start it works at this part of its speed, rising to all of it within this time.
    pub cold_share: f64,
    pub cold_time: Duration,
    /// Bytes of its answers, at least.
    pub answer: usize,
}

impl Default for Shape {
    fn default() -> Shape {
        Shape {
            workers: 4,
            queue: 16,
            service: Duration::from_millis(2),
            cold_share: 1.0,
            cold_time: Duration::ZERO,
            answer: 0,
        }
    }
}

/// How a node fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    #[default]
    None,
    /// Declines every request unseen.
    Decline,
    /// Takes requests and says nothing.
    Hang,
    /// Takes requests and resets their connections.
    Reset,
    /// Answers with what is not HTTP.
    Spoil,
    /// Does the work and answers 500.
    Error,
    /// Resets connections as they come, as a port that nobody listens on refuses them.
    Closed,
}

impl std::str::FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        Ok(match text {
            "none" => Fault::None,
            "decline" => Fault::Decline,
            "hang" => Fault::Hang,
            "reset" => Fault::Reset,
            "spoil" => Fault::Spoil,
            "error" => Fault::Error,
            "closed" => Fault::Closed,
            _ => return Err(format!("{text:?} is none of none, decline, hang, reset, spoil, error, closed")),
        })
    }
}

/// A running node; its threads end with the process.
#[derive(Clone)]
pub struct Node {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    shape: Shape,
    name: String,
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Default)]
struct Inner {
    fault: Fault,
    started: Option<Instant>,
    working: usize,
    waiting: usize,
    held: usize,
    most_held: usize,
    connections: usize,
    /// Ids of requests that came whole, and of those that were worked on, in order.
    came: Vec<String>,
    ran: Vec<(String, Instant)>,
}

impl Node {
    /// Starts a node that answers with its name.
    pub fn start(address: SocketAddr, name: &str, shape: Shape) -> io::Result<Node> {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let inner = Inner { started: Some(Instant::now()), ..Inner::default() };
        let (name, inner) = (name.to_string(), Mutex::new(inner));
        let state = Arc::new(State { shape, name, inner, changed: Condvar::new() });
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if lock(&shared.inner).fault == Fault::Closed {
                    reset(&stream);
                    continue;
                }
                lock(&shared.inner).connections += 1;
                let shared = shared.clone();
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                    lock(&shared.inner).connections -= 1;
                });
            }
        });
        Ok(Node { address, state })
    }

    /// Fails so from now on. What hangs goes on when the fault ends, with a reset.
    pub fn fail(&self, fault: Fault) {
        lock(&self.state.inner).fault = fault;
        self.state.changed.notify_all();
    }

    /// Starts anew, cold.
    pub fn restart(&self) {
        lock(&self.state.inner).started = Some(Instant::now());
    }

    /// Ids of requests that came whole, in order.
    pub fn came(&self) -> Vec<String> {
        lock(&self.state.inner).came.clone()
    }

    /// Ids of requests that were worked on, in order.
    pub fn ran(&self) -> Vec<String> {
        lock(&self.state.inner).ran.iter().map(|(id, _)| id.clone()).collect()
    }

    /// The same, with when the work began.
    pub fn runs(&self) -> Vec<(String, Instant)> {
        lock(&self.state.inner).ran.clone()
    }

    /// Requests held, now and at most so far.
    pub fn held(&self) -> (usize, usize) {
        let inner = lock(&self.state.inner);
        (inner.held, inner.most_held)
    }

    pub fn connections(&self) -> usize {
        lock(&self.state.inner).connections
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_http(&mut reader) {
            let Some(id) = request.headers.get("req-id").cloned() else {
                stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
                continue;
            };
            let fault = {
                let mut inner = lock(&self.inner);
                inner.came.push(id.clone());
                inner.fault
            };
            match fault {
                Fault::Decline => {
                    self.write(&mut stream, "503 Service Unavailable", "Srv-Declined: 1\r\n", b"")?;
                    continue;
                }
                Fault::Hang => {
                    let inner = lock(&self.inner);
                    // Until the fault ends; nobody reads on, so a peer that gives up is noticed afterwards.
                    let ended = self.changed.wait_while(inner, |inner| inner.fault == Fault::Hang);
                    drop(ended);
                    reset(&stream);
                    return Ok(());
                }
                Fault::Reset | Fault::Closed => {
                    reset(&stream);
                    return Ok(());
                }
                Fault::Spoil => {
                    stream.write_all(b"\x00\x01 rubbish \xff\r\n\r\n more of it")?;
                    return Ok(());
                }
                Fault::None | Fault::Error => {}
            }
            if !self.begin() {
                self.write(&mut stream, "503 Service Unavailable", "Srv-Declined: 1\r\n", b"")?;
                continue;
            }
            lock(&self.inner).ran.push((id.clone(), Instant::now()));
            thread::sleep(self.service());
            self.end();
            if fault == Fault::Error {
                self.write(&mut stream, "500 Internal Server Error", "", b"")?;
            } else {
                let body = self.body(&request, &id);
                self.write(&mut stream, "200 OK", "", &body)?;
            }
        }
        // The peer has ended its sending; what it may still read has been written.
        let _ = reader.read(&mut [0; 1]);
        Ok(())
    }

    /// Waits for a worker; false where too many wait already.
    fn begin(&self) -> bool {
        let mut inner = lock(&self.inner);
        if inner.working >= self.shape.workers && inner.waiting >= self.shape.queue {
            return false;
        }
        inner.held += 1;
        inner.most_held = inner.most_held.max(inner.held);
        inner.waiting += 1;
        let free = self.changed.wait_while(inner, |inner| inner.working >= self.shape.workers);
        let mut inner = free.unwrap_or_else(std::sync::PoisonError::into_inner);
        inner.waiting -= 1;
        inner.working += 1;
        true
    }

    fn end(&self) {
        let mut inner = lock(&self.inner);
        inner.working -= 1;
        inner.held -= 1;
        self.changed.notify_all();
    }

    fn service(&self) -> Duration {
        let age = lock(&self.inner).started.map_or(Duration::MAX, |started| started.elapsed());
        if age >= self.shape.cold_time {
            return self.shape.service;
        }
        let warm = age.as_secs_f64() / self.shape.cold_time.as_secs_f64();
        self.shape.service.div_f64(self.shape.cold_share + (1.0 - self.shape.cold_share) * warm)
    }

    fn body(&self, request: &Http, id: &str) -> Vec<u8> {
        let line = request.first.rsplit_once(' ').map_or(request.first.as_str(), |(line, _)| line);
        let mut body =
            format!("{} answers {line} ({id}, {} bytes)\n", self.name, request.body.len()).into_bytes();
        body.resize(body.len().max(self.shape.answer), b'.');
        body
    }

    fn write(&self, stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let held = lock(&self.inner).held;
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status}\r\nContent-Length: {length}\r\nSrv-Load: inflight={held}\r\n{fields}\r\n"
        );
        let mut message = head.into_bytes();
        message.extend_from_slice(body);
        stream.write_all(&message)
    }
}

/// Has a connection end so that its peer learns of a reset and not of an orderly close, once it is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
