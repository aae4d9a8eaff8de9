//! Clients: a flood that sends again as soon as it is answered, and one that keeps a pace. All loops end by
//! themselves at a given time.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use violetyoke_standin::http::read_http;

/// What a flood has seen.
#[derive(Default)]
pub struct Flood {
    pub sent: AtomicU64,
    pub served: AtomicU64,
    pub refused: AtomicU64,
}

/// Floods from so many connections until `end`, in one thread: each sends its next request as soon as it has its
/// answer.
pub fn flood(
    address: SocketAddr,
    request: String,
    connections: usize,
    end: Instant,
) -> (Arc<Flood>, thread::JoinHandle<()>) {
    let flood = Arc::new(Flood::default());
    let seen = flood.clone();
    let task = thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        let local = tokio::task::LocalSet::new();
        for _ in 0..connections {
            let (request, seen) = (request.clone(), seen.clone());
            local.spawn_local(async move {
                while Instant::now() < end {
                    // A connection that is closed is opened anew; a refused one after a moment.
                    if one_connection(address, &request, end, &seen).await.is_err() {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                    }
                }
            });
        }
        runtime.block_on(async {
            let _ = tokio::time::timeout_at((end + Duration::from_millis(200)).into(), local).await;
        });
    });
    (flood, task)
}

async fn one_connection(
    address: SocketAddr,
    request: &str,
    end: Instant,
    seen: &Flood,
) -> std::io::Result<()> {
    let mut stream = tokio::net::TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut input = Vec::with_capacity(4096);
    while Instant::now() < end {
        stream.write_all(request.as_bytes()).await?;
        seen.sent.fetch_add(1, Relaxed);
        input.clear();
        let (status, closes) = loop {
            if stream.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
            if let Some(answer) = answer(&input) {
                break answer;
            }
        };
        let counter = if status == 200 { &seen.served } else { &seen.refused };
        counter.fetch_add(1, Relaxed);
        if closes {
            return Ok(());
        }
    }
    Ok(())
}

/// Status of a whole answer, and whether the connection ends with it.
pub fn answer(input: &[u8]) -> Option<(u16, bool)> {
    let end = input.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&input[..end]).ok()?.to_ascii_lowercase();
    let field =
        |name: &str| head.lines().find_map(|line| line.strip_prefix(name).map(str::trim).map(String::from));
    let length: usize = field("content-length:").and_then(|length| length.parse().ok()).unwrap_or(0);
    let status = head.split(' ').nth(1)?.parse().ok()?;
    (input.len() >= end + length)
        .then(|| (status, field("connection:").is_some_and(|value| value == "close")))
}

/// One request of a paced client: its status and time in milliseconds.
#[derive(Clone, Copy)]
pub struct Answered {
    pub status: u16,
    pub took: f64,
}

/// A client of one account that sends at a pace until `end`, on one connection.
pub fn paced(
    address: SocketAddr,
    account: usize,
    request: String,
    pause: Duration,
    end: Instant,
) -> thread::JoinHandle<Vec<Answered>> {
    thread::spawn(move || {
        let mut answered = Vec::new();
        let mut connection = None;
        // Each account in its own place of the pause, lest all send at one stroke.
        let mut next = Instant::now() + pause.mul_f64(account as f64 * 0.618 % 1.0);
        while next < end {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            let began = Instant::now();
            let status = call(address, &mut connection, &request).unwrap_or(0);
            answered.push(Answered { status, took: began.elapsed().as_secs_f64() * 1e3 });
            next += pause;
        }
        answered
    })
}

type Connection = (TcpStream, BufReader<TcpStream>);

fn call(address: SocketAddr, connection: &mut Option<Connection>, request: &str) -> Option<u16> {
    // One that was closed between requests is opened anew, once.
    for _ in 0..2 {
        let (mut stream, mut reader) = match connection.take() {
            Some(open) => open,
            None => {
                let stream = TcpStream::connect(address).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
                let reader = BufReader::new(stream.try_clone().ok()?);
                (stream, reader)
            }
        };
        if stream.write_all(request.as_bytes()).is_ok() {
            if let Some(answer) = read_http(&mut reader) {
                if answer.headers.get("connection").is_none_or(|value| value != "close") {
                    *connection = Some((stream, reader));
                }
                return Some(answer.status());
            }
        }
    }
    None
}

/// Whether the ingress at an address says that it is ready.
pub fn ready(address: SocketAddr) -> bool {
    call(address, &mut None, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") == Some(200)
}

/// Asks on a connection: the answer's status, and whether the connection ends with it. None: no whole answer came.
pub async fn ask(open: &mut tokio::net::TcpStream, request: &str) -> Option<(u16, bool)> {
    open.write_all(request.as_bytes()).await.ok()?;
    let mut input = Vec::with_capacity(1024);
    loop {
        if let Some(answer) = answer(&input) {
            return Some(answer);
        }
        if open.read_buf(&mut input).await.ok()? == 0 {
            return None;
        }
    }
}
